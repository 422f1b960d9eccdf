"""The events and effects of the fleet scheduler.

Events are the scheduler's input. Effects are the actions that it requests.
"""

from enum import Enum
from typing import NamedTuple

from marigoldpath_core.jobs import (
    AcceptedJob,
    Progress,
    Queue,
    Resources,
    TaskKey,
    Workspace,
)


class TerminationReason(Enum):
    """The reason why a run terminated, as reported by the worker.

    GANG_MEMBER_TERMINATED: another task of the gang terminated. GANG_INCOMPLETE: the
    other tasks of the gang did not start on their workers within a timeout.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_TERMINATED = "broken"
    GANG_INCOMPLETE = "alone"


class StartResult(Enum):
    """The result of a start command; UNKNOWN if the reply was lost."""

    STARTED = "started"
    FENCED = "fenced"
    STALE_RUN = "old_run"
    EXPIRED = "late"
    NO_FREE_CAPACITY = "no_room"
    BAD_TICKET = "bad_ticket"
    INCARNATION_MISMATCH = "other_life"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class WorkerEntry(NamedTuple):
    """A worker in the directory.

    `incarnation` is the time of its start in milliseconds since the Unix epoch, 0 if
    the directory does not state it. `remaining_ms` is the time until a draining worker
    is removed. Workers of the same `kind` have similar hardware.
    """

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
    kind: str = ""


class RunningTask(NamedTuple):
    """A running task in a worker's report.

    For a task with a response time target, `load` is the tail response time in
    milliseconds. For any other task it is the processor usage.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int
    load: int


class TerminatedRun(NamedTuple):
    """A terminated run in a worker's report.

    `number` rises with each termination of one incarnation of the worker.
    """

    number: int
    task: TaskKey
    run: int
    kind: TerminationReason
    checkpoint: str


class JobAccepted(NamedTuple):
    """A job was read from the store or reported by the host that accepted it."""

    job: AcceptedJob
    progress: Progress | None = None


class JobCancelled(NamedTuple):
    """A cancellation was stored."""

    job_id: str


class JobsRead(NamedTuple):
    """All jobs in the store were read and reported as JobAccepted events.

    The reads began at `began_ms` of the monotonic clock.
    """

    began_ms: float


class QueuesChanged(NamedTuple):
    """A new configuration is active.

    `workspaces` is None if the configuration is not known yet. A new leader also gets
    `inherited_quotas`: the largest quotas within which earlier leaders may have started
    the tasks that run now, None if they are not known.
    """

    queues: dict[str, Queue]
    workspaces: dict[str, Workspace] | None = None
    inherited_quotas: dict[str, Resources] | None = None


class WorkersListed(NamedTuple):
    """The directory was read; `entries` are all workers in it."""

    entries: tuple[WorkerEntry, ...]


class WorkerReport(NamedTuple):
    """A worker's reply to a poll; `clock_ms` is on the worker's clock.

    The leader sent the poll at `polled_ms` of its monotonic clock, with `restarts`. A
    leader that was suspended reads replies late, so only that time shows how old the
    reply can be.
    """

    worker_id: str
    clock_ms: int
    incarnation: int
    running: tuple[RunningTask, ...]
    ended: tuple[TerminatedRun, ...]
    polled_ms: float = 0.0
    restarts: int = 0


class WorkerUnresponsive(NamedTuple):
    """A worker did not reply to a poll.

    `is_gone` is whether the connection was refused, or another worker replied at the
    address: the process of the worker has probably ended.
    """

    worker_id: str
    reason: str = ""
    is_gone: bool = False


class StartReplied(NamedTuple):
    """The result of a StartRun with `restarts`; `clock_ms` is 0 without a reply."""

    worker_id: str
    task: TaskKey
    run: int
    result: StartResult
    clock_ms: int = 0
    restarts: int = 0


class StopReplied(NamedTuple):
    """A worker acknowledged a StopRun with `restarts`.

    The run cannot start after `clock_ms` on the worker's clock.
    """

    worker_id: str
    task: TaskKey
    run: int
    clock_ms: int
    restarts: int = 0


class AdviceReplied(NamedTuple):
    """The result of RequestAdvice.

    `tickets` maps the id of each approved worker to its ticket. It is None if the
    service did not reply.
    """

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    tickets: dict[str, str] | None
    requested_ms: float


class Tick(NamedTuple):
    """Time has passed; `wall_ms` is milliseconds since the Unix epoch.

    `advice_hosts` is the number of hosts that may send slow advice requests. `lag_ms`
    is how much later than planned the leader's process handles this event.
    """

    wall_ms: int
    advice_hosts: int = 1
    lag_ms: float = 0.0


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


# How many restarts of one worker the fencing tokens of an epoch distinguish.
MAX_COUNTED_RESTARTS = 999


def fencing_token(epoch: int, restarts: int) -> int:
    """Return the token of a command to a worker.

    The token rises with the epoch, and within it with each restart of the worker that
    the leader learns of. The new incarnation of a worker may receive commands that were
    meant for the one before. It refuses them as soon as it has seen the next token.
    """
    return epoch * (MAX_COUNTED_RESTARTS + 1) + min(restarts, MAX_COUNTED_RESTARTS)


class StartRun(NamedTuple):
    """Start a run; the worker refuses it after `until_clock_ms` on its clock.

    The worker must also refuse it if its incarnation is not `incarnation`. A later
    incarnation has not received any epoch yet, so without this check it would also
    execute the commands of a previous leader.
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
    restarts: int = 0


class StopRun(NamedTuple):
    """Stop a run."""

    worker_id: str
    address: str
    task: TaskKey
    run: int
    restarts: int = 0


class ThrottleRun(NamedTuple):
    """Limit the speed of a run to a percentage of its full speed."""

    worker_id: str
    address: str
    task: TaskKey
    run: int
    percent: int
    restarts: int = 0


class RequestAdvice(NamedTuple):
    """Request advice on which of the workers may run a step.

    `cost_ms` is the expected duration of the request.
    """

    job_id: str
    occurrence: int
    step: int
    workers: tuple[str, ...]
    cost_ms: float


class LogEvent(NamedTuple):
    """Log a decision."""

    event: str
    fields: dict[str, object]


Effect = StartRun | StopRun | ThrottleRun | RequestAdvice | LogEvent


class RosterEntry(NamedTuple):
    """A worker in the roster, with the jobs whose tasks could be running there.

    If `jobs` is None, tasks of any job could be running there and new runs may be
    started. Otherwise no run may be started. `zone` is the worker's availability zone.
    If `unleased_since` is not 0, no leader of that epoch or of a later one has granted
    the worker a lease, and none may as long as the entry could be stored.
    """

    address: str
    jobs: tuple[str, ...] | None
    zone: str = ""
    unleased_since: int = 0


class EndedLeaders(NamedTuple):
    """No leader of an epoch before `epoch` has sent a command for `elapsed_ms`."""

    epoch: int
    elapsed_ms: float


class Commit(NamedTuple):
    """The changes that the next transaction stores.

    `progress` is by job id. `ends` maps the id of a worker to its incarnation and the
    number of the last termination whose effects are stored by this commit or earlier.
    `roster` is None if it has not changed. `final` lists the jobs in `progress` that
    become final. The stored progress of `removed_jobs` is deleted.
    """

    progress: dict[str, Progress]
    ends: dict[str, tuple[int, int]]
    roster: dict[str, RosterEntry] | None
    final: tuple[str, ...]
    removed_jobs: tuple[str, ...] = ()
