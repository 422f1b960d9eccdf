"""Events: what the shell tells the core."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Answer, Origin, Request, RequestKey

from ._platform import EntryHost, Row, RowValue, WorkerHost
from ._worker import StartStatus, TaskStatus, TaskUsage, WorkerReport


class Tick(NamedTuple):
    """Time has passed."""


class RowRead(NamedTuple):
    """The table answered a read; `row` is None when there is no such row."""

    key: str
    row: Row | None


class RowReadFailed(NamedTuple):
    """The table did not answer a read."""

    key: str


class RowsRead(NamedTuple):
    """The rows under a prefix, each as it was at some moment of the read."""

    prefix: str
    rows: tuple[Row, ...]


class RowsReadFailed(NamedTuple):
    """The table did not answer the read of a prefix."""

    prefix: str


class WriteStatus(StrEnum):
    """What is known of a write to the table."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class RowWriteReplied(NamedTuple):
    """The end of a write; `version` is that of the row written."""

    key: str
    status: WriteStatus
    version: int = 0


class ObjectRead(NamedTuple):
    """The object store answered; `value` is None without an object or an answer."""

    key: str
    value: RowValue | None
    failed: bool = False


class HostsListed(NamedTuple):
    """The platform's host list, which lags behind the truth."""

    workers: tuple[WorkerHost, ...]
    entry_hosts: tuple[EntryHost, ...] = ()


class TasksListed(NamedTuple):
    """A worker's reply to a list or to a renewal."""

    worker: str
    report: WorkerReport


class WorkerFailed(NamedTuple):
    """A worker did not answer a list, a renewal or a stop."""

    worker: str
    reason: str = ""


class StartsReplied(NamedTuple):
    """A worker's reply to starts."""

    worker: str
    clock_ms: int
    statuses: dict[str, StartStatus]


class StartsFailed(NamedTuple):
    """Starts without a reply; `sent` is False if the worker cannot have read them."""

    worker: str
    tasks: tuple[str, ...]
    sent: bool = True


class TaskTerminated(NamedTuple):
    """A task ended on a worker."""

    worker: str
    task: str
    status: TaskStatus
    answer: Answer | None = None


class EventsPolled(NamedTuple):
    """All ends up to `clock_ms` on the worker's clock have been passed on."""

    worker: str
    clock_ms: int
    incarnation: str


class UsageReported(NamedTuple):
    """Usage of tasks on a worker, with a lag."""

    worker: str
    usages: tuple[TaskUsage, ...]


class RequestSubmitted(NamedTuple):
    """A request reached the leader; `traceparent` is the W3C header of its trace."""

    request: Request
    origin: Origin
    traceparent: str = ""


class CancelRequested(NamedTuple):
    """A caller cancels a request."""

    key: RequestKey
    origin: Origin


class OutcomeRefusedByOrigin(NamedTuple):
    """The entry host that waited for an outcome is gone."""

    origin: Origin


Event = (
    Tick
    | RowRead
    | RowReadFailed
    | RowsRead
    | RowsReadFailed
    | RowWriteReplied
    | ObjectRead
    | HostsListed
    | TasksListed
    | WorkerFailed
    | StartsReplied
    | StartsFailed
    | TaskTerminated
    | EventsPolled
    | UsageReported
    | RequestSubmitted
    | CancelRequested
    | OutcomeRefusedByOrigin
)
