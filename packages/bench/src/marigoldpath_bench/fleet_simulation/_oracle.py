"""Judges a cell by what its workers started and ended."""

from collections import defaultdict
from enum import Enum
from typing import NamedTuple

from marigoldpath_core.fleet import TerminationReason
from marigoldpath_core.jobs import AcceptedJob, JobState, TaskKey


class RunRecord:
    """One run as the worker wrote it down; times in milliseconds."""

    def __init__(self, task: TaskKey, number: int, worker_id: str, start_ms: float):
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.start_ms = start_ms
        self.end_ms: float | None = None
        self.kind: TerminationReason | None = None
        self.noted_ms: float | None = None
        # A lease that lapses before an end is noted frees the task for good.
        self.is_forgotten = False


class Violation(NamedTuple):
    """A rule that was broken."""

    rule: str
    at_ms: float
    what: str


class SubmissionReply(Enum):
    """What the caller of a job knows of it."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class Oracle:
    """Keeps all runs and finds the rules that they break."""

    def __init__(self) -> None:
        self._runs: dict[TaskKey, list[RunRecord]] = defaultdict(list)
        self._jobs: dict[str, AcceptedJob] = {}
        self._cancelled: dict[str, float] = {}
        self._answers: dict[str, SubmissionReply] = {}
        self._faults: list[Violation] = []

    @property
    def jobs(self) -> dict[str, AcceptedJob]:
        """The jobs that callers handed in."""
        return self._jobs

    @property
    def cancelled(self) -> dict[str, float]:
        """The cancelled jobs and when they were."""
        return self._cancelled

    def record_job(
        self, job: AcceptedJob, answer: SubmissionReply = SubmissionReply.ACCEPTED
    ) -> None:
        """Note a job and what its caller knows of it."""
        self._jobs[job.spec.job_id] = job
        self._answers[job.spec.job_id] = answer

    def record_unrequested_start(self, task: TaskKey, now_ms: float) -> None:
        """Note an order for a task that nobody handed in, or not so."""
        self._fault("UNASKED", now_ms, f"{task}")

    def record_violation(self, rule: str, now_ms: float, what: str) -> None:
        """Note a rule that was seen broken from outside."""
        self._fault(rule, now_ms, what)

    def record_start(
        self, task: TaskKey, number: int, worker_id: str, now_ms: float
    ) -> RunRecord:
        """Note a start and check what is known at once."""
        for other in self._runs[task]:
            if other.end_ms is None:
                self._fault("TWICE", now_ms, f"{task} also runs on {other.worker_id}")
        self._check_order(task, now_ms)
        record = RunRecord(task, number, worker_id, now_ms)
        self._runs[task].append(record)
        return record

    def record_overcommitment(self, worker_id: str, now_ms: float) -> None:
        """Note that a worker holds more than its capacity."""
        self._fault("LIMIT", now_ms, worker_id)

    def faults(self, final: dict[str, JobState | None]) -> list[Violation]:
        """Return all faults; `final` has the states told after the last repair."""
        faults = list(self._faults)
        for task, runs in self._runs.items():
            faults.extend(self._check_repeats(task, runs))
        for job_id, job in self._jobs.items():
            faults.extend(self._check_state(job, final.get(job_id)))
        return faults

    def _check_order(self, task: TaskKey, now_ms: float) -> None:
        job = self._jobs[task.job_id]
        for number in job.spec.steps[task.step].after:
            if not self._is_done(job, number):
                self._fault("ORDER", now_ms, f"{task} before step {number}")

    def _is_done(self, job: AcceptedJob, number: int) -> bool:
        step = job.spec.steps[number]
        done = [
            any(
                run.kind is TerminationReason.DONE
                for run in self._runs[TaskKey(job.spec.job_id, 0, number, task_index)]
            )
            for task_index in range(step.width)
        ]
        return any(done) if step.gang else all(done)

    def _check_repeats(self, task: TaskKey, runs: list[RunRecord]) -> list[Violation]:
        job = self._jobs[task.job_id]
        step = job.spec.steps[task.step]
        if step.long_running:
            return []
        faults = []
        for run in runs:
            before = [
                other
                for other in runs
                if other.end_ms is not None
                and other.end_ms <= run.start_ms
                and other is not run
                and other.noted_ms is not None
                and not other.is_forgotten
            ]
            if any(other.kind is TerminationReason.DONE for other in before):
                faults.append(Violation("TWICE", run.start_ms, f"{task} after its end"))
            failed = sum(
                1 for other in before if other.kind is TerminationReason.FAILED
            )
            if failed >= job.queue.attempts and not step.gang:
                faults.append(
                    Violation("BUDGET", run.start_ms, f"{task} {failed} failed")
                )
        return faults

    def _check_state(self, job: AcceptedJob, state: JobState | None) -> list[Violation]:
        job_id = job.spec.job_id
        answer = self._answers[job_id]
        if answer is SubmissionReply.REFUSED:
            runs = any(
                runs and task.job_id == job_id for task, runs in self._runs.items()
            )
            return [Violation("REFUSED", 0.0, f"{job_id} ran")] if runs else []
        if answer is SubmissionReply.UNKNOWN and state is None:
            return []
        if job_id in self._cancelled:
            if state is JobState.CANCELLED:
                return []
            if state in (JobState.DONE, JobState.FAILED):
                return []
            return [Violation("CANCEL", 0.0, f"{job_id} is {state}")]
        all_done = all(
            self._is_done(job, number) for number in range(len(job.spec.steps))
        )
        if state is JobState.DONE and not all_done:
            return [Violation("MIXED", 0.0, f"{job_id} is shown as done")]
        if state is JobState.FAILED and not self._has_failed(job):
            return [Violation("LOST", 0.0, f"{job_id} is shown as failed")]
        lasts = any(step.long_running for step in job.spec.steps)
        if state not in (JobState.DONE, JobState.FAILED) and not lasts:
            return [Violation("LOST", 0.0, f"{job_id} did not end: {state}")]
        return []

    def _has_failed(self, job: AcceptedJob) -> bool:
        return any(
            sum(1 for run in runs if run.kind is TerminationReason.FAILED)
            >= job.queue.attempts
            for task, runs in self._runs.items()
            if task.job_id == job.spec.job_id
        )

    def _fault(self, rule: str, now_ms: float, what: str) -> None:
        self._faults.append(Violation(rule, now_ms, what))
