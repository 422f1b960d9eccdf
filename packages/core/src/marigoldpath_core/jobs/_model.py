"""The data of jobs."""

from enum import Enum
from typing import NamedTuple


class Resources(NamedTuple):
    """What a task needs or a worker has."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class AdvicePolicy(NamedTuple):
    """The expected cost of a question to the advice service and the life of a ticket.

    `call_ms` and `worker_ms` are milliseconds for a call and for each worker named.
    """

    call_ms: float
    worker_ms: float
    valid_ms: float

    def cost_ms(self, workers: int) -> float:
        """Return the expected time of a question that names so many workers."""
        return self.call_ms + self.worker_ms * workers


class Queue(NamedTuple):
    """The policy of a queue.

    Priority 0 is the most urgent. A task may fail `attempts` times. A job is on time
    within `stretch` times its longest chain of work and `target_ms` more.
    """

    name: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: float
    advice: AdvicePolicy | None = None


class StepSpec(NamedTuple):
    """One step of a job: `width` tasks that are alike.

    `after` lists earlier steps that must be done first. `max_per_worker` and
    `max_unavailable` are 0 when there is no limit. `target_ms` is the response time
    that the tasks of a service must keep, 0 when there is none.
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


class JobSpec(NamedTuple):
    """A job as submitted; `payload` is passed to each task.

    With `occurrences` above 0 the steps run that many times, the first at `start_ms`
    since the epoch of Unix and then each `interval_ms`.
    """

    job_id: str
    payload: str
    steps: tuple[StepSpec, ...]
    occurrences: int = 0
    start_ms: int = 0
    interval_ms: int = 0


class AcceptedJob(NamedTuple):
    """A stored job: its specification, its queue and when it was accepted.

    `epoch` is the leader's epoch known to the accepting host; `accepted_ms` is
    milliseconds since the epoch of Unix. Until its progress says that it is spread, the
    job runs on workers of `zone` alone, or on any where `zone` is empty.
    """

    spec: JobSpec
    queue: Queue
    epoch: int
    accepted_ms: int
    zone: str = ""


class TaskKey(NamedTuple):
    """The name of a task within the cell."""

    job_id: str
    occurrence: int
    step: int
    task_index: int


class JobState(Enum):
    """What a caller is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Return whether the state never changes again."""
        return self in (JobState.DONE, JobState.FAILED, JobState.CANCELLED)


class Progress(NamedTuple):
    """What is stored of a job that has begun.

    `done` maps (occurrence, step) to a bit mask of done tasks, `failures` a task to the
    numbers of its failed runs, and `checkpoints` a task to its newest one. A job that
    `may_leave_zone` may run outside its availability zone.
    """

    state: JobState
    done: dict[tuple[int, int], int] = {}  # noqa: RUF012
    failures: dict[tuple[int, int, int], tuple[int, ...]] = {}  # noqa: RUF012
    checkpoints: dict[tuple[int, int, int], str] = {}  # noqa: RUF012
    may_leave_zone: bool = False
