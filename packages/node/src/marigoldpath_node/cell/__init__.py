"""The entry hosts of a cell: job submission, leader election and the leader's loops."""

from ._admission import OverloadedError, OverQuotaError
from ._host import (
    EntryHost,
    ForeignJobError,
    UnavailableError,
)
from ._job_writer import SubmissionOutcome
from ._peers import PeerClient, serve_peer
from ._ports import (
    AdviceClient,
    CellDependencies,
    Configuration,
    FencedError,
    HistoryGoneError,
    Row,
    RowKey,
    Store,
    StoreConflictError,
    StoreError,
    StoreLostError,
    StoreRefusedError,
    VersionedRows,
    WorkerClient,
    WorkerDirectory,
    WorkerFailedError,
    WorkerGoneError,
)
from ._settings import CellSettings
from ._store_health import StoreHealth

__all__ = [
    "AdviceClient",
    "CellDependencies",
    "CellSettings",
    "Configuration",
    "EntryHost",
    "FencedError",
    "ForeignJobError",
    "HistoryGoneError",
    "OverQuotaError",
    "OverloadedError",
    "PeerClient",
    "Row",
    "RowKey",
    "Store",
    "StoreConflictError",
    "StoreError",
    "StoreHealth",
    "StoreLostError",
    "StoreRefusedError",
    "SubmissionOutcome",
    "UnavailableError",
    "VersionedRows",
    "WorkerClient",
    "WorkerDirectory",
    "WorkerFailedError",
    "WorkerGoneError",
    "serve_peer",
]
