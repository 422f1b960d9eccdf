"""Interfaces to the services that a cell depends on; adapters implement them."""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from marigoldpath_core.fleet import (
    StartReplied,
    StartRun,
    StopReplied,
    StopRun,
    ThrottleRun,
    WorkerEntry,
    WorkerPoll,
    WorkerReport,
)
from marigoldpath_core.jobs import Queue, TaskKey, Workspace
from marigoldpath_node.exposition import CellMetrics


class StoreError(Exception):
    """A call to the store failed."""


class StoreRefusedError(StoreError):
    """The store refused the call, or the call was not sent; nothing was changed."""


class StoreLostError(StoreError):
    """No reply arrived; the call may have been applied or may still be applied."""


class HistoryGoneError(StoreError):
    """The store no longer has the requested changes."""


class RowKey(NamedTuple):
    """The key of a row; all rows of a transaction must be in one partition."""

    table: str
    partition: str
    key: str


class Row(NamedTuple):
    """A stored row; `value` is empty if the row is missing or was removed."""

    key: RowKey
    value: bytes
    version: int


class StoreConflictError(StoreError):
    """The transaction was rejected because a row did not have the expected version.

    `rows` are the rows with an expected version as they are stored now.
    """

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__(f"unexpected versions of {[row.key for row in rows]}")
        self.rows = rows


class VersionedRows(NamedTuple):
    """Rows that were read, and the version of the store at the time of the read."""

    rows: tuple[Row, ...]
    version: int


class Store(Protocol):
    """A transactional store of versioned rows."""

    async def commit(
        self,
        expected: dict[RowKey, int],
        puts: dict[RowKey, bytes],
        removals: tuple[RowKey, ...] = (),
    ) -> int:
        """Apply a transaction atomically and return the new version.

        Each row in `expected` must have the given version; 0 means that the row must
        not exist. Raises StoreConflictError, StoreRefusedError or StoreLostError.
        """
        ...

    async def read(
        self,
        table: str,
        partition: str,
        first: str = "",
        last: str = "",
        *,
        reply_s: float | None = None,
        page_rows: int | None = None,
        on_page: Callable[[], None] | None = None,
    ) -> VersionedRows:
        """Return the rows of a partition with keys from `first`, and before `last`.

        The range has no upper bound if `last` is empty.
        `reply_s` is the timeout for each page of rows, and `page_rows` the number of
        rows of a page. `on_page` is called after each page. Raises StoreError.
        """
        ...

    async def changes(self, table: str, after: int, wait_ms: int) -> VersionedRows:
        """Return the rows of a table that changed after a version.

        Wait up to `wait_ms` for a change. Raises HistoryGoneError if the store no
        longer has all changes after that version, or another StoreError.
        """
        ...


class WorkerFailedError(Exception):
    """A worker did not reply, or it refused a call.

    A worker refuses calls while it is unhealthy, and calls for another incarnation.
    """


class WorkerGoneError(WorkerFailedError):
    """No process listens at the worker's address, or that of another worker does."""


class RelayFailedError(WorkerFailedError):
    """A relay failed, so it is not known whether the worker received the call."""


class FencedError(Exception):
    """A worker refused a command because it has seen a later epoch."""


class WorkerClient(Protocol):
    """Sends polls and commands to workers."""

    async def poll(self, worker_id: str, epoch: int, poll: WorkerPoll) -> WorkerReport:
        """Poll a worker and return its report.

        Raises WorkerFailedError or FencedError.
        """
        ...

    async def start(self, command: StartRun, epoch: int) -> StartReplied:
        """Send a command to start a run, and return its result.

        Raises no error if the command is not sent, not answered or refused; the field
        `result` of the returned value states the failure.
        """
        ...

    async def stop(self, command: StopRun, epoch: int) -> StopReplied:
        """Send a command to stop a run.

        Raises WorkerFailedError or FencedError.
        """
        ...

    async def throttle(self, command: ThrottleRun, epoch: int) -> None:
        """Send a command to throttle a run.

        Raises WorkerFailedError or FencedError.
        """
        ...


class AdviceClient(Protocol):
    """Sends requests to the advice service, which approves workers for a step."""

    async def request_advice(
        self, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Return the tickets of the approved workers, or None if no reply arrives.

        `cost_ms` is the expected duration of the request.
        """
        ...


class WorkerDirectory(Protocol):
    """Lists the workers of a cell."""

    async def list_workers(self) -> tuple[WorkerEntry, ...]:
        """Return the valid entries of workers.

        Raises StoreError.
        """
        ...


class Configuration(NamedTuple):
    """A version of the operator's configuration.

    Its queues and workspaces are by name.
    """

    version: int
    queues: dict[str, Queue]
    workspaces: dict[str, Workspace] = {}  # noqa: RUF012


class CellDependencies(NamedTuple):
    """The services that an entry host uses, its logger and its metrics."""

    store: Store
    workers: WorkerClient
    directory: WorkerDirectory
    advice: AdviceClient
    log: Any
    metrics: CellMetrics
