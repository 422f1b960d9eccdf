"""The entry hosts of a cell: acceptance, election, and the leader's loops."""

from ._host import EntryHost, UnavailableError
from ._job_writer import Submission
from ._peers import PeerClient, serve_peer
from ._ports import (
    AdviceClient,
    Configuration,
    Directory,
    FencedError,
    HistoryGoneError,
    Row,
    RowKey,
    Rows,
    Store,
    StoreConflictError,
    StoreError,
    StoreLostError,
    StoreRefusedError,
    Surroundings,
    WorkerClient,
    WorkerFailedError,
)
from ._settings import CellSettings

__all__ = [
    "AdviceClient",
    "CellSettings",
    "Configuration",
    "Directory",
    "EntryHost",
    "FencedError",
    "HistoryGoneError",
    "PeerClient",
    "Row",
    "RowKey",
    "Rows",
    "Store",
    "StoreConflictError",
    "StoreError",
    "StoreLostError",
    "StoreRefusedError",
    "Submission",
    "Surroundings",
    "UnavailableError",
    "WorkerClient",
    "WorkerFailedError",
    "serve_peer",
]
