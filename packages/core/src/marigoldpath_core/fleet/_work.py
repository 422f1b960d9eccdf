"""The state of jobs, steps and tasks in memory."""

import math

from marigoldpath_core.jobs import (
    AcceptedJob,
    JobSpec,
    JobState,
    Progress,
    Queue,
    RecordedStart,
    Resources,
    StepSpec,
    TaskKey,
)

from ._estimate import Estimate
from ._run import Run

# The variance of the logarithm of how much the tasks of one step take longer than those
# of other steps with the same image.
INITIAL_STEP_VARIANCE = 0.2**2


class Task:
    """A task of one occurrence of a step.

    A task of a speculative step can have two runs: the primary one, `run`, and `copy`.
    It has a copy only as long as it has a primary run.
    """

    __slots__ = (
        "_done",
        "_run",
        "avoided_workers",
        "checkpoint",
        "copy",
        "crashed_runs",
        "failed_runs",
        "key",
        "number",
        "place_wait_until_ms",
        "recorded_start",
        "released_ms",
        "step",
    )

    def __init__(self, key: TaskKey, step: "Step") -> None:
        self.key = key
        self.step = step
        self._done = False
        self._run: Run | None = None
        # The second run, on another worker than `run`.
        self.copy: Run | None = None
        # The number of the newest run.
        self.number = 0
        # Terminations on several workers arrive in any order, and a new leader receives
        # them again. The set of run numbers counts each failed run once.
        self.failed_runs: set[int] = set()
        # The numbers of the runs under which a worker probably crashed.
        self.crashed_runs: set[int] = set()
        self.recorded_start: RecordedStart | None = None
        self.checkpoint = ""
        # The workers where a run of the task failed, stalled or was refused.
        self.avoided_workers: set[str] = set()
        # When its wait for a preferred place ends, None if it has not begun.
        self.place_wait_until_ms: float | None = None
        # When the last run that started was released.
        self.released_ms = -math.inf

    @property
    def done(self) -> bool:
        """Whether a run of the task is done."""
        return self._done

    @done.setter
    def done(self, value: bool) -> None:
        was_waiting = self.is_waiting
        self._done = value
        self.step.waiting_tasks += self.is_waiting - was_waiting

    @property
    def run(self) -> Run | None:
        """The run with resources allocated on a worker, None if there is none."""
        return self._run

    @run.setter
    def run(self, value: Run | None) -> None:
        was_waiting = self.is_waiting
        self._run = value
        self.step.waiting_tasks += self.is_waiting - was_waiting

    @property
    def runs(self) -> tuple[Run, ...]:
        """The runs with resources allocated on a worker, the primary one first."""
        return tuple(run for run in (self._run, self.copy) if run is not None)

    @property
    def is_waiting(self) -> bool:
        """Return whether the task is not done and has no run."""
        return not self._done and self._run is None

    @property
    def waiting_since_ms(self) -> float:
        """The time since which the task waits, if it does."""
        return max(self.step.opened_ms, self.released_ms)


class Ticket:
    """Permission to run a step on one incarnation of a worker until `until_ms`."""

    __slots__ = ("incarnation", "text", "until_ms")

    def __init__(self, text: str, until_ms: float, incarnation: int) -> None:
        self.text = text
        self.until_ms = until_ms
        self.incarnation = incarnation


class Step:
    """One occurrence of a step."""

    def __init__(self, job: "Job", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self.tasks = [
            Task(TaskKey(job.spec.job_id, occurrence, number, task_index), self)
            for task_index in range(self.spec.width)
        ]
        if self.spec.gang:
            # Its tasks start together, so they avoid the same workers.
            for task in self.tasks:
                task.avoided_workers = self.tasks[0].avoided_workers
        self.remaining_tasks = self.spec.width
        # When all steps that this one waits for were done.
        self.opened_ms = 0.0
        # When it was last logged why tasks of the step wait.
        self.waiting_logged_ms = -math.inf
        # The number of tasks that are not done and have no run; its tasks update it.
        self.waiting_tasks = self.spec.width
        # How long the newest whole runs of the step took; only for speculative steps.
        self.done_run_ms: list[float] = []
        self.tickets: dict[str, Ticket] = {}
        # The incarnations of the workers that were in an advice request, approved or
        # not. The next incarnation may get another answer.
        self.queried_workers: dict[str, int] = {}
        # The incarnations of the workers in the advice request in flight.
        self.requested_incarnations: dict[str, int] = {}
        # The ids of the usable workers when all of them were last found to be queried.
        self.exhausted_pool_ids: frozenset[str] | None = None
        # The logarithm of how many times as long its tasks take as others of the image.
        self.time_error = Estimate(0.0, INITIAL_STEP_VARIANCE)
        # Whether a worker reported a running task of the step to this leader that
        # cannot have been done by another run.
        self.seen_running = False
        # Whether `seen_running` holds for a preceding step, directly or through its
        # predecessors. If so, no previous leader can have started this step.
        self.is_new_in_epoch = False
        # Whether the outcome of a start that an earlier leader recorded is not known.
        self.has_unsettled_starts = False
        # When the quota began to hold back the step without a pause, if it does.
        self.held_back_since_ms = math.inf
        self.is_request_in_flight = False
        # The time of the last advice request. The initial value is so long ago that the
        # first request is not delayed.
        self.requested_ms = -1e12

    def has_queried(self, worker_id: str, incarnation: int) -> bool:
        """Return whether an incarnation of a worker was in an advice request."""
        return self.queried_workers.get(worker_id) == incarnation

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the unique key of the step in the cell."""
        return self.job.spec.job_id, self.occurrence, self.number

    @property
    def allows_copies(self) -> bool:
        """Return whether a task of the step can have a copy beside its primary run."""
        spec = self.spec
        return spec.speculative and not (spec.gang or spec.long_running or spec.fills)

    @property
    def need(self) -> Resources:
        """Return the resources to allocate to a run; a filler gets no processors."""
        if self.spec.fills:
            return self.spec.need._replace(cpu_millis=0)
        return self.spec.need

    @property
    def waiting(self) -> list[Task]:
        """Return the tasks that are not done and have no run."""
        return [task for task in self.tasks if task.is_waiting]


class Job:
    """An accepted job whose final state, if any, is not stored yet."""

    def __init__(self, accepted: AcceptedJob, progress: Progress | None) -> None:
        self.accepted = accepted
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], Step] = {}
        self.stored_progress = progress
        # Whether the stored progress allows the job to run outside its zone, and
        # whether that permission has been requested.
        self.may_leave_zone = progress is not None and progress.may_leave_zone
        self.zone_exit_requested = self.may_leave_zone
        self.begun_occurrences = 0
        self.due_ms = 0.0
        # When it was accepted, on the leader's clock.
        self.accepted_at_ms = 0.0
        # Until when it comes after all other jobs, if its workspace sent it above its
        # rate.
        self.excess_until_ms = -math.inf
        self.has_started = False

    @property
    def spec(self) -> JobSpec:
        """Return the job as the caller submitted it."""
        return self.accepted.spec

    @property
    def queue(self) -> Queue:
        """Return the policy of the job's queue."""
        return self.accepted.queue

    @property
    def zone(self) -> str:
        """Return the availability zone the job is confined to, empty for none."""
        return "" if self.may_leave_zone else self.accepted.zone

    @property
    def was_excess(self) -> bool:
        """Return whether its workspace sent it above its rate, however long ago."""
        return self.excess_until_ms > -math.inf

    @property
    def has_runs(self) -> bool:
        """Return whether any task of the job has a run."""
        return any(
            step.remaining_tasks > step.waiting_tasks for step in self.steps.values()
        )

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.spec.occurrences)

    def begin_occurrence(self, occurrence: int) -> list[Step]:
        """Create the steps of an occurrence and restore their stored progress."""
        steps = [
            Step(self, occurrence, number) for number in range(len(self.spec.steps))
        ]
        for step in steps:
            self.steps[occurrence, step.number] = step
            if self.stored_progress is not None:
                _restore(step, self.stored_progress)
        self.begun_occurrences = max(self.begun_occurrences, occurrence + 1)
        return steps

    def predecessors_done(self, step: Step) -> bool:
        """Return whether all steps that `step` waits for are done."""
        return all(
            self.steps[step.occurrence, number].remaining_tasks == 0
            for number in step.spec.after
        )

    def progress(self) -> Progress:
        """Return the progress to store."""
        done: dict[tuple[int, int], int] = {}
        failures: dict[tuple[int, int, int], tuple[int, ...]] = {}
        checkpoints: dict[tuple[int, int, int], str] = {}
        crashes: dict[tuple[int, int, int], tuple[int, ...]] = {}
        recorded_starts: dict[tuple[int, int, int], RecordedStart] = {}
        if self.state.is_final:
            return Progress(self.state)
        for (occurrence, number), step in self.steps.items():
            mask = 0
            for task in step.tasks:
                task_index = task.key.task_index
                if task.done:
                    mask |= 1 << task_index
                    continue
                if task.crashed_runs:
                    crashed = tuple(sorted(task.crashed_runs))
                    crashes[occurrence, number, task_index] = crashed
                if task.recorded_start is not None:
                    recorded_starts[occurrence, number, task_index] = (
                        task.recorded_start
                    )
                if task.failed_runs:
                    failed = tuple(sorted(task.failed_runs))
                    failures[occurrence, number, task_index] = failed
                if task.checkpoint and task.run is None:
                    checkpoints[occurrence, number, task_index] = task.checkpoint
            if mask:
                done[occurrence, number] = mask
        return Progress(
            self.state,
            done,
            failures,
            checkpoints,
            self.zone_exit_requested,
            crashes,
            recorded_starts,
        )


def _restore(step: Step, stored_progress: Progress) -> None:
    mask = stored_progress.done.get((step.occurrence, step.number), 0)
    for task in step.tasks:
        key = (step.occurrence, step.number, task.key.task_index)
        if mask >> task.key.task_index & 1:
            task.done = True
            step.remaining_tasks -= 1
        task.failed_runs = set(stored_progress.failures.get(key, ()))
        task.crashed_runs = set(stored_progress.crashes.get(key, ()))
        task.recorded_start = stored_progress.recorded_starts.get(key)
        step.has_unsettled_starts |= task.recorded_start is not None
        task.checkpoint = stored_progress.checkpoints.get(key, "")
