"""The history of a request: its events in order, with reasons."""

from collections import deque
from typing import NamedTuple

MAX_ENTRIES = 24


class HistoryEntry(NamedTuple):
    """One event; `at_ms` is the leader's time in milliseconds since the Unix epoch."""

    at_ms: int
    event: str
    reason: str


class History:
    """The first and the latest events of a request, bounded in number."""

    __slots__ = ("_first", "_latest")

    def __init__(self) -> None:
        self._first: HistoryEntry | None = None
        self._latest: deque[HistoryEntry] = deque(maxlen=MAX_ENTRIES - 1)

    @property
    def entries(self) -> list[HistoryEntry]:
        """The events in order."""
        return [] if self._first is None else [self._first, *self._latest]

    def add(self, at_ms: int, event: str, reason: str = "") -> None:
        """Append an event."""
        entry = HistoryEntry(at_ms, event, reason)
        if self._first is None:
            self._first = entry
        else:
            self._latest.append(entry)
