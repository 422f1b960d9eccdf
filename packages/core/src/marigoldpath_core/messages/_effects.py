"""Effects: the input and output that the core requests."""

from typing import Any, NamedTuple

from marigoldpath_core.requests import Origin, Outcome, Size

from ._platform import RowValue


class ReadRow(NamedTuple):
    """Read a row; the result is RowRead or RowReadFailed."""

    key: str


class ReadRows(NamedTuple):
    """Read all rows with a key prefix; the result is RowsRead or RowsReadFailed."""

    prefix: str


class WriteRow(NamedTuple):
    """Replace a row if it still has `version`; the result is RowWriteReplied."""

    key: str
    value: RowValue
    version: int


class CreateRow(NamedTuple):
    """Create a row if there is none; the result is RowWriteReplied."""

    key: str
    value: RowValue


class ReadObject(NamedTuple):
    """Read an object; the result is ObjectRead."""

    key: str


class PutObject(NamedTuple):
    """Write an object; the result is RowWriteReplied with the object's key."""

    key: str
    value: RowValue


class ListTasks(NamedTuple):
    """List a worker's tasks; the result is TasksListed or WorkerFailed."""

    worker: str


class Start(NamedTuple):
    """The start of one task; both times are on the worker's clock."""

    task: str
    size: Size
    start_before_ms: int
    lease_until_ms: int
    work: dict[str, Any]
    traceparent: str = ""


class StartTasks(NamedTuple):
    """Start tasks on a worker; the result is StartsReplied or StartsFailed."""

    worker: str
    holder: str
    starts: tuple[Start, ...]


class RenewLeases(NamedTuple):
    """Renew leases and list tasks; the result is TasksListed or WorkerFailed."""

    worker: str
    holder: str
    tasks: tuple[str, ...]
    lease_until_ms: int


class StopTasks(NamedTuple):
    """Stop tasks; the termination of each is reported by TaskTerminated.

    `checkpoint` requests that the tasks save a checkpoint before they stop.
    """

    worker: str
    tasks: tuple[str, ...]
    checkpoint: bool = False


class ThrottleTasks(NamedTuple):
    """Limit the processor time of tasks to `percent` of their size."""

    worker: str
    tasks: tuple[str, ...]
    percent: int


class SendOutcome(NamedTuple):
    """Send the outcome of a request to the entry host that waits for it."""

    origin: Origin
    outcome: Outcome
    traceparent: str = ""


class Log(NamedTuple):
    """Log a decision and its reason."""

    event: str
    fields: dict[str, Any]
    level: str = "info"


Effect = (
    ReadRow
    | ReadRows
    | WriteRow
    | CreateRow
    | ReadObject
    | PutObject
    | ListTasks
    | StartTasks
    | RenewLeases
    | StopTasks
    | ThrottleTasks
    | SendOutcome
    | Log
)
