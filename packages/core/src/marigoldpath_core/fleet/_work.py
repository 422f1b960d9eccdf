"""The state of jobs, steps, tasks and runs in memory."""

from enum import Enum

from marigoldpath_core.jobs import (
    AcceptedJob,
    JobSpec,
    JobState,
    Progress,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)


class RunState(Enum):
    """Where a run stands from the leader's view."""

    SENT = "sent"
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on a worker; times in milliseconds.

    `until_clock_ms` and `seen_clock_ms` are on the worker's clock: after the first an
    order that is still under way is refused, unless it is None; a list from after the
    second shows whether the run is there.
    """

    __slots__ = (
        "is_listed",
        "load",
        "need",
        "number",
        "pace",
        "percent",
        "progressed_ms",
        "seen_clock_ms",
        "state",
        "still_reports",
        "stop_sent_ms",
        "task",
        "until_clock_ms",
        "worker_id",
    )

    def __init__(
        self, task: "Task", number: int, worker_id: str, need: Resources, now_ms: float
    ) -> None:
        self.task = task
        self.number = number
        self.worker_id = worker_id
        self.need = need
        self.state = RunState.SENT
        self.until_clock_ms: int | None = 0
        self.is_listed = False
        self.seen_clock_ms: int | None = None
        self.percent = 0
        self.progressed_ms = now_ms
        self.still_reports = 0
        self.stop_sent_ms = 0.0
        self.load = 0
        self.pace = 100


class Task:
    """A task of one occurrence of a step."""

    __slots__ = (
        "avoided",
        "checkpoint",
        "done",
        "failed_runs",
        "key",
        "number",
        "run",
        "step",
    )

    def __init__(self, key: TaskKey, step: "Step") -> None:
        self.key = key
        self.step = step
        self.done = False
        self.run: Run | None = None
        self.number = 0
        # Ends of several workers come in any order, and again to a new leader.
        self.failed_runs: set[int] = set()
        self.checkpoint = ""
        self.avoided: set[str] = set()

    @property
    def is_waiting(self) -> bool:
        """Return whether the task needs a start."""
        return not self.done and self.run is None


class Ticket:
    """Leave to run a step on one life of a worker until `until_ms`."""

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
        self.left = self.spec.width
        self.tickets: dict[str, Ticket] = {}
        # The workers that the advice service was asked about, approved or not.
        self.asked: set[str] = set()
        # The usable workers when none was left to ask about.
        self.covered: frozenset[str] | None = None
        # Whether this leader saw a task of the step running, and whether it saw that
        # of a step before it, so that no earlier leader can have started this one.
        self.was_running = False
        self.is_fresh = False
        self.is_asking = False
        self.asked_ms = -1e12

    @property
    def key(self) -> tuple[str, int, int]:
        """Return what names the step in the cell."""
        return self.job.spec.job_id, self.occurrence, self.number

    @property
    def need(self) -> Resources:
        """Return what a run holds; a filler's processors are not counted."""
        if self.spec.fills:
            return self.spec.need._replace(cpu_millis=0)
        return self.spec.need

    @property
    def waiting(self) -> list[Task]:
        """Return the tasks that need a start."""
        return [task for task in self.tasks if task.is_waiting]

    @property
    def is_started(self) -> bool:
        """Return whether any task has run."""
        return any(task.number or task.done for task in self.tasks)


class Job:
    """An accepted job that is not final."""

    def __init__(self, accepted: AcceptedJob, progress: Progress | None) -> None:
        self.accepted = accepted
        self.state = JobState.QUEUED
        self.steps: dict[tuple[int, int], Step] = {}
        self.stored = progress
        # Whether it may run outside its zone, as wanted and as stored.
        self.may_leave_zone = progress is not None and progress.may_leave_zone
        self.wants_spread = self.may_leave_zone
        self.begun_occurrences = 0
        self.due_ms = 0.0
        self.has_started = False

    @property
    def spec(self) -> JobSpec:
        """Return what the caller submitted."""
        return self.accepted.spec

    @property
    def queue(self) -> Queue:
        """Return the policy of the job's queue."""
        return self.accepted.queue

    @property
    def zone(self) -> str:
        """Return the availability zone that the job is confined to, empty for none."""
        return "" if self.may_leave_zone else self.accepted.zone

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.spec.occurrences)

    def begin_occurrence(self, occurrence: int) -> list[Step]:
        """Create the steps of an occurrence from what is stored of them."""
        steps = [
            Step(self, occurrence, number) for number in range(len(self.spec.steps))
        ]
        for step in steps:
            self.steps[occurrence, step.number] = step
            if self.stored is not None:
                _restore(step, self.stored)
        self.begun_occurrences = max(self.begun_occurrences, occurrence + 1)
        return steps

    def predecessors_done(self, step: Step) -> bool:
        """Return whether all steps that `step` waits for are done."""
        return all(
            self.steps[step.occurrence, number].left == 0 for number in step.spec.after
        )

    def longest_chain_ms(self) -> int:
        """Return the longest chain of estimated work, in milliseconds."""
        lengths: list[int] = []
        for step in self.spec.steps:
            before = max((lengths[number] for number in step.after), default=0)
            lengths.append(before + step.estimate_ms)
        return max(lengths, default=0)

    def progress(self) -> Progress:
        """Return what is to be stored."""
        done: dict[tuple[int, int], int] = {}
        failures: dict[tuple[int, int, int], tuple[int, ...]] = {}
        checkpoints: dict[tuple[int, int, int], str] = {}
        if self.state.is_final:
            return Progress(self.state)
        for (occurrence, number), step in self.steps.items():
            mask = 0
            for task in step.tasks:
                task_index = task.key.task_index
                if task.done:
                    mask |= 1 << task_index
                    continue
                if task.failed_runs:
                    failed = tuple(sorted(task.failed_runs))
                    failures[occurrence, number, task_index] = failed
                if task.checkpoint and task.run is None:
                    checkpoints[occurrence, number, task_index] = task.checkpoint
            if mask:
                done[occurrence, number] = mask
        return Progress(self.state, done, failures, checkpoints, self.wants_spread)


def _restore(step: Step, stored: Progress) -> None:
    mask = stored.done.get((step.occurrence, step.number), 0)
    for task in step.tasks:
        key = (step.occurrence, step.number, task.key.task_index)
        if mask >> task.key.task_index & 1:
            task.done = True
            step.left -= 1
        task.failed_runs = set(stored.failures.get(key, ()))
        task.checkpoint = stored.checkpoints.get(key, "")
