"""Events: replies, reports and requests that the core receives."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Answer, Origin, Request, RequestKey

from ._platform import EntryHost, Row, RowValue, WorkerHost
from ._worker import StartStatus, TaskStatus, TaskUsage, WorkerReport


class Tick(NamedTuple):
    """Time has passed."""


class RowRead(NamedTuple):
    """The result of a row read; `row` is None if the row does not exist."""

    key: str
    row: Row | None


class RowReadFailed(NamedTuple):
    """A read of a row failed: there was no reply, or it was an error or invalid."""

    key: str


class RowsRead(NamedTuple):
    """The rows with a key prefix, each as of some time during the read."""

    prefix: str
    rows: tuple[Row, ...]


class RowsReadFailed(NamedTuple):
    """A read of a key prefix failed: no reply, an error or an invalid reply."""

    prefix: str


class WriteStatus(StrEnum):
    """The result of a write to the table, as far as it is known."""

    WRITTEN = "written"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"


class RowWriteReplied(NamedTuple):
    """The result of a write; `version` is the new version if the status is WRITTEN."""

    key: str
    status: WriteStatus
    version: int = 0


class ObjectRead(NamedTuple):
    """The result of an object read.

    `value` is None if the object does not exist or the read `failed`.
    """

    key: str
    value: RowValue | None
    failed: bool = False


class HostsListed(NamedTuple):
    """The platform's host list, which shows the state of some time before."""

    workers: tuple[WorkerHost, ...]
    entry_hosts: tuple[EntryHost, ...] = ()


class TasksListed(NamedTuple):
    """A worker's reply to a list or to a renewal."""

    worker: str
    report: WorkerReport


class WorkerFailed(NamedTuple):
    """A worker did not reply to a list, a renewal or a stop."""

    worker: str
    reason: str = ""


class StartsReplied(NamedTuple):
    """A worker's reply to StartTasks; `statuses` is by task id."""

    worker: str
    clock_ms: int
    statuses: dict[str, StartStatus]


class StartsFailed(NamedTuple):
    """A worker did not reply to StartTasks.

    `sent` is False if the worker cannot have received the starts.
    """

    worker: str
    tasks: tuple[str, ...]
    sent: bool = True


class TaskTerminated(NamedTuple):
    """A task terminated on a worker."""

    worker: str
    task: str
    status: TaskStatus
    answer: Answer | None = None


class EventsPolled(NamedTuple):
    """All terminations up to `clock_ms` on the worker's clock have been reported.

    `incarnation` is the incarnation of the worker that replied to the poll.
    """

    worker: str
    clock_ms: int
    incarnation: str


class UsageReported(NamedTuple):
    """Resource usage of tasks on a worker, which lags behind the actual usage."""

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
    """An entry host did not accept the outcome that was sent to it."""

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
