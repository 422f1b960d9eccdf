"""State and history of the requests of one zone."""

from ._history import History, HistoryEntry
from ._ledger import Ledger
from ._state import RequestPhase, RequestState, TaskPhase, TaskState

__all__ = [
    "History",
    "HistoryEntry",
    "Ledger",
    "RequestPhase",
    "RequestState",
    "TaskPhase",
    "TaskState",
]
