"""Types of jobs, queues and progress."""

from enum import Enum
from typing import NamedTuple


class Resources(NamedTuple):
    """The resources that a task needs or a worker has.

    `cpu_millis` is in thousandths of a processor, `memory_mb` in megabytes.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Workspace(NamedTuple):
    """A group of callers that share a quota.

    When the workers are full, workspaces get capacity in proportion to `weight`.
    `quota` limits the resources of all running tasks of the workspace; an amount of 0
    is no limit.
    """

    name: str
    weight: float = 1.0
    quota: Resources = Resources()


class AdvicePolicy(NamedTuple):
    """The expected duration of advice requests and the lifetime of tickets.

    A request takes `call_ms` and another `worker_ms` for each worker in it. A ticket is
    valid for `valid_ms`.
    """

    call_ms: float
    worker_ms: float
    valid_ms: float

    def cost_ms(self, workers: int) -> float:
        """Return the expected duration of a request with this number of workers."""
        return self.call_ms + self.worker_ms * workers


class Queue(NamedTuple):
    """The policy of a queue.

    Priority 0 is the most urgent. A job fails when one of its tasks has failed
    `attempts` times. A job is on time if it completes within `stretch` times the
    duration of its longest chain of steps, plus `target_ms`.
    """

    name: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: float
    advice: AdvicePolicy | None = None

    @property
    def priority_class(self) -> str:
        """Return a name that the queues of one service and priority have in common."""
        return f"{self.priority} {self.service}"

    def allowed_ms(self, critical_path_ms: float) -> float:
        """Return how long a job with this critical path may take to be on time."""
        return self.stretch * critical_path_ms + self.target_ms


class StepSpec(NamedTuple):
    """One step of a job, with `width` identical tasks.

    `after` holds the indices of the earlier steps that must be done first. A step with
    `fills` has best-effort tasks, the fillers, which use spare processor time.
    `max_per_worker` and `max_unavailable` are 0 if there is no limit. `target_ms` is
    the response time that long-running tasks must meet, 0 if there is none. Tasks of
    the same `image` behave alike. With `speculative`, copies of a task may run at the
    same time; the first to complete counts.
    """

    width: int
    need: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    colocated: bool = False
    checkpointable: bool = False
    long_running: bool = False
    fills: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    max_unavailable: int = 0
    target_ms: int = 0
    image: str = ""
    speculative: bool = False


class JobSpec(NamedTuple):
    """A job as submitted; `payload` is passed to each task.

    With `occurrences` above 0 the steps run that many times, the first at `start_ms`
    since the Unix epoch and then every `interval_ms`.
    """

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    start_ms: int = 0
    interval_ms: int = 0

    @property
    def critical_path_ms(self) -> int:
        """Return the estimated duration of the longest chain of steps."""
        lengths: list[int] = []
        for step in self.steps:
            predecessors_ms = max((lengths[number] for number in step.after), default=0)
            lengths.append(predecessors_ms + step.estimate_ms)
        return max(lengths, default=0)


class AcceptedJob(NamedTuple):
    """A stored job: its specification, its queue and when it was accepted.

    `epoch` is the leader's epoch known to the accepting host. `accepted_ms` is
    milliseconds since the Unix epoch. The job runs only on workers of `zone`, unless
    its progress has `may_leave_zone` or `zone` is empty. A job that was submitted
    without an API key belongs to no workspace, and its `workspace` is empty.
    """

    spec: JobSpec
    queue: Queue
    epoch: int
    accepted_ms: int
    zone: str = ""
    workspace: str = ""


class TaskKey(NamedTuple):
    """The unique key of a task in the cell."""

    job_id: str
    occurrence: int
    step: int
    task_index: int


class JobState(Enum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


class RecordedStart(NamedTuple):
    """A start that was stored before it was sent: run number, worker, incarnation."""

    run: int
    worker_id: str
    incarnation: int


class Progress(NamedTuple):
    """The stored progress of a job.

    `done` maps (occurrence, step) to a bit mask of done tasks. `failures` maps a task
    to the numbers of its failed runs, and `checkpoints` maps a task to its newest
    checkpoint. A job with `may_leave_zone` may run outside its availability zone.
    `crashes` maps a task to the numbers of its runs under which a worker crashed, and
    `recorded_starts` to its newest start, if that was to be stored before it was sent.
    Of a job with several occurrences, all below `begun_occurrences` have begun, and
    those in `begun_early`. Those of them that are not done have a key in `done`, all
    others that have begun are done. Earlier builds stored neither field.
    """

    state: JobState
    done: dict[tuple[int, int], int] = {}  # noqa: RUF012
    failures: dict[tuple[int, int, int], tuple[int, ...]] = {}  # noqa: RUF012
    checkpoints: dict[tuple[int, int, int], str] = {}  # noqa: RUF012
    may_leave_zone: bool = False
    crashes: dict[tuple[int, int, int], tuple[int, ...]] = {}  # noqa: RUF012
    recorded_starts: dict[tuple[int, int, int], RecordedStart] = {}  # noqa: RUF012
    begun_occurrences: int = 0
    begun_early: tuple[int, ...] = ()

    @property
    def last_occurrence(self) -> int:
        """The last occurrence with progress, -1 if there is none."""
        return max(self.occurrences, default=-1)

    @property
    def occurrences(self) -> tuple[int, ...]:
        """The occurrences with progress, in ascending order."""
        tables = (
            self.done,
            self.failures,
            self.checkpoints,
            self.crashes,
            self.recorded_starts,
        )
        return tuple(sorted({key[0] for table in tables for key in table}))
