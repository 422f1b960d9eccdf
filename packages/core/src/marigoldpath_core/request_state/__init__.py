"""State and history of the requests of one zone."""

from ._history import History, HistoryEntry
from ._index import RequestIndex
from ._state import RequestPhase, RequestState, TaskPhase, TaskState

__all__ = [
    "History",
    "HistoryEntry",
    "RequestIndex",
    "RequestPhase",
    "RequestState",
    "TaskPhase",
    "TaskState",
]
