"""Events that the scheduler takes and effects that it asks for."""

from enum import Enum
from typing import NamedTuple

from marigoldpath_core.jobs import AcceptedJob, Progress, Queue, Resources, TaskKey


class TerminationReason(Enum):
    """How a run ended, as the worker tells it."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class StartResult(Enum):
    """What became of an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    EXPIRED = "late"
    NO_ROOM = "no_room"
    BAD_TICKET = "bad_ticket"
    INCARNATION_MISMATCH = "other_life"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class WorkerEntry(NamedTuple):
    """A worker as the directory lists it; `incarnation` is 0 where it is not told."""

    worker_id: str
    service: str
    address: str
    zone: str
    labels: tuple[str, ...]
    rack: str
    capacity: Resources
    draining: bool
    remaining_ms: int
    incarnation: int


class RunningTask(NamedTuple):
    """A row of a worker's list of runs.

    `load` is the tail of the response times in milliseconds for a task with a target,
    and the processor time in use for any other.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int


class TerminatedRun(NamedTuple):
    """An end that a worker tells; `number` rises within a life of the worker."""

    number: int
    task: TaskKey
    run: int
    kind: TerminationReason
    checkpoint: str


class JobAccepted(NamedTuple):
    """A job was read from the store or told by the host that accepted it."""

    job: AcceptedJob
    progress: Progress | None = None


class JobCancelled(NamedTuple):
    """A cancellation was stored."""

    job_id: str


class JobsRead(NamedTuple):
    """All stored jobs were told by reads that began at `began_ms` (monotonic)."""

    began_ms: float


class QueuesChanged(NamedTuple):
    """A configuration is in force."""

    queues: dict[str, Queue]


class WorkersListed(NamedTuple):
    """The directory was read."""

    entries: tuple[WorkerEntry, ...]


class WorkerReport(NamedTuple):
    """A worker's answer to a look; `clock_ms` is on the worker's clock."""

    worker_id: str
    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[TerminatedRun, ...]


class WorkerUnresponsive(NamedTuple):
    """A look at a worker was not answered."""

    worker_id: str


class StartReplied(NamedTuple):
    """The outcome of StartRun; `clock_ms` is 0 without an answer."""

    worker_id: str
    task: TaskKey
    run: int
    result: StartResult
    clock_ms: int = 0


class StopReplied(NamedTuple):
    """A stop was acknowledged: the run cannot begin after `clock_ms` any more."""

    worker_id: str
    task: TaskKey
    run: int
    clock_ms: int


class AdviceReplied(NamedTuple):
    """The outcome of RequestAdvice; `tickets` is None when there was no answer."""

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    tickets: dict[str, str] | None
    asked_ms: float


class Tick(NamedTuple):
    """Time has passed; `wall_ms` is milliseconds since the epoch of Unix.

    `advice_hosts` is the number of hosts that may ask the advice service slow
    questions.
    """

    wall_ms: int
    advice_hosts: int = 1


Event = (
    JobAccepted
    | JobCancelled
    | JobsRead
    | QueuesChanged
    | WorkersListed
    | WorkerReport
    | WorkerUnresponsive
    | StartReplied
    | StopReplied
    | AdviceReplied
    | Tick
)


class StartRun(NamedTuple):
    """Start a run; the worker refuses it after `until_clock_ms` on its clock.

    The order must reach no other life of the worker than `incarnation`: a later life
    has seen no epoch and would carry out that of a replaced leader.
    """

    worker_id: str
    address: str
    task: TaskKey
    run: int
    payload: str
    checkpoint: str
    ticket: str
    until_clock_ms: int
    incarnation: int


class StopRun(NamedTuple):
    """Stop a run."""

    worker_id: str
    address: str
    task: TaskKey
    run: int


class ThrottleRun(NamedTuple):
    """Let a run work at a share of its speed, in percent."""

    worker_id: str
    address: str
    task: TaskKey
    run: int
    percent: int


class RequestAdvice(NamedTuple):
    """Ask which of the workers may run a step; `cost_ms` is the expected time."""

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    cost_ms: float


class LogEvent(NamedTuple):
    """A decision to be logged."""

    event: str
    fields: dict[str, object]


Effect = StartRun | StopRun | ThrottleRun | RequestAdvice | LogEvent


class RosterEntry(NamedTuple):
    """A worker that may run tasks; `jobs` is None while it may be sent any."""

    address: str
    jobs: tuple[str, ...] | None
    zone: str = ""


class Commit(NamedTuple):
    """What the next transaction stores.

    `ends` maps a worker to its life and the number of the last end that is covered.
    The progress of `removed_jobs` jobs is removed.
    """

    progress: dict[str, Progress]
    ends: dict[str, tuple[int, int]]
    roster: dict[str, RosterEntry] | None
    final: tuple[str, ...]
    removed_jobs: tuple[str, ...] = ()
