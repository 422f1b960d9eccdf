"""What a cell needs of its surroundings; adapters implement it."""

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
from marigoldpath_core.jobs import Queue, TaskKey
from marigoldpath_node.exposition import CellMetrics


class StoreError(Exception):
    """The store did not do what was asked."""


class StoreRefusedError(StoreError):
    """The store did nothing, or the call was never sent."""


class StoreLostError(StoreError):
    """There was no answer: the call may have been performed, or may be later."""


class HistoryGoneError(StoreError):
    """The changes that were asked for are no longer kept."""


class RowKey(NamedTuple):
    """Names a row; a transaction stays within one part."""

    table: str
    part: str
    key: str


class Row(NamedTuple):
    """A stored row; a missing or removed one has an empty value."""

    key: RowKey
    value: bytes
    version: int


class StoreConflictError(StoreError):
    """Nothing was done, as a row did not have the expected version."""

    def __init__(self, rows: tuple[Row, ...]) -> None:
        super().__init__(f"unexpected versions of {[row.key for row in rows]}")
        self.rows = rows


class Rows(NamedTuple):
    """Rows as of one moment and the store's newest version then."""

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
        """Apply all or nothing and return the new version.

        Raises StoreConflictError, StoreRefusedError or StoreLostError.
        """
        ...

    async def read(
        self,
        table: str,
        part: str,
        first: str = "",
        last: str = "",
        reply_s: float | None = None,
    ) -> Rows:
        """Return the rows with keys from `first` to before `last`.

        `reply_s` bounds the wait for each page of them. Raises StoreError.
        """
        ...

    async def changes(self, table: str, after: int, wait_ms: int) -> Rows:
        """Return the rows changed after a version; raises StoreError."""
        ...


class WorkerFailedError(Exception):
    """A worker did not answer, or refused as unhealthy or as another life."""


class FencedError(Exception):
    """A worker has seen a later epoch."""


class WorkerClient(Protocol):
    """Orders to workers."""

    async def look(self, worker_id: str, epoch: int, order: WorkerPoll) -> WorkerReport:
        """Return what the worker lists.

        Raises WorkerFailedError or FencedError.
        """
        ...

    async def start(self, order: StartRun, epoch: int) -> StartReplied:
        """Order a start and return its outcome."""
        ...

    async def stop(self, order: StopRun, epoch: int) -> StopReplied:
        """Order a stop; raises WorkerFailedError or FencedError."""
        ...

    async def pace(self, order: ThrottleRun, epoch: int) -> None:
        """Order a pace; raises WorkerFailedError or FencedError."""
        ...


class AdviceClient(Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Return the tickets of the approved workers, None without an answer."""
        ...


class Directory(Protocol):
    """The list of workers."""

    async def list_workers(self) -> tuple[WorkerEntry, ...]:
        """Return the valid entries; raises StoreError."""
        ...


class Configuration(NamedTuple):
    """A version of the operator's configuration: its queues by name."""

    version: int
    queues: dict[str, Queue]


class Surroundings(NamedTuple):
    """All that a process of the cell reaches, and the logger."""

    store: Store
    workers: WorkerClient
    directory: Directory
    advice: AdviceClient
    log: Any
    metrics: CellMetrics
