"""Reads what earlier leaders wrote before a new one writes."""

from enum import Enum, auto

from marigoldpath_core.messages import (
    Effect,
    Log,
    ObjectRead,
    ReadObject,
    ReadRows,
    RowsRead,
    RowsReadFailed,
)
from marigoldpath_core.settings import JournalSettings

from ._recovery import RowsAfterSnapshot, rows_after_snapshot
from ._ring import Ring
from ._rows import decode_snapshot
from ._state import JournalState
from ._writer import RETRY_MS


class _Phase(Enum):
    READING_ROWS = auto()
    READING_SNAPSHOT = auto()
    RETRY_DUE = auto()
    LOADED = auto()


class Opening:
    """One replay of the ring, repeated from its start until it succeeds.

    Replies to reads cannot be told apart when repeated. A late one is a true view of
    the past: the append of the epoch's row then meets a later row and reads again.
    """

    def __init__(self, settings: JournalSettings, ring: Ring) -> None:
        self._settings = settings
        self._ring = ring
        self._phase = _Phase.READING_ROWS
        self._due_ms = 0
        self._plan: RowsAfterSnapshot | None = None
        self._state: JournalState | None = None
        self._highest_epoch = 0

    @property
    def state(self) -> JournalState | None:
        """Return the replayed state, None until it is complete."""
        return self._state

    @property
    def highest_epoch(self) -> int:
        """Return the highest epoch of any row seen."""
        return self._highest_epoch

    @property
    def wake_ms(self) -> int | None:
        """Return when `tick` has something to do."""
        return self._due_ms if self._phase is _Phase.RETRY_DUE else None

    def begin(self) -> list[Effect]:
        """Read all slots."""
        self._phase = _Phase.READING_ROWS
        return [ReadRows(self._ring.prefix)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Read again when it is time."""
        if self._phase is _Phase.RETRY_DUE and now_ms >= self._due_ms:
            return self.begin()
        return []

    def rows_read(self, event: RowsRead, now_ms: int) -> list[Effect]:
        """Take the rows of all slots; raises JournalFormatError."""
        if self._phase is not _Phase.READING_ROWS:
            return []
        plan = rows_after_snapshot(event.rows)
        if plan is None or self._ring.is_stale(event.rows):
            return self._retry("rows_incomplete", now_ms)
        for row in event.rows:
            self._ring.saw(row.key, row.version)
            self._highest_epoch = max(self._highest_epoch, row.value["epoch"])
        self._plan = plan
        if plan.snapshot is None:
            return self._replay(JournalState(self._settings.retention_ms))
        self._phase = _Phase.READING_SNAPSHOT
        return [ReadObject(plan.snapshot.object_key)]

    def rows_read_failed(self, event: RowsReadFailed, now_ms: int) -> list[Effect]:
        """Read again after a while."""
        if self._phase is not _Phase.READING_ROWS:
            return []
        return self._retry("rows_not_read", now_ms)

    def object_read(self, event: ObjectRead, now_ms: int) -> list[Effect]:
        """Take the newest snapshot; raises JournalFormatError."""
        if self._phase is not _Phase.READING_SNAPSHOT or self._plan is None:
            return []
        named = self._plan.snapshot
        if named is None or event.key != named.object_key:
            return []
        if event.failed or event.value is None:
            return self._retry("snapshot_not_read", now_ms)
        retention_ms = self._settings.retention_ms
        return self._replay(decode_snapshot(event.value, named.sequence, retention_ms))

    def _replay(self, state: JournalState) -> list[Effect]:
        plan = self._plan
        if plan is None:
            return []
        for row in plan.rows:
            row.apply(state)
        self._ring.covered = plan.snapshot.sequence if plan.snapshot else 0
        self._ring.last = plan.last
        self._state = state
        self._phase = _Phase.LOADED
        return []

    def _retry(self, reason: str, now_ms: int) -> list[Effect]:
        self._phase = _Phase.RETRY_DUE
        self._due_ms = now_ms + RETRY_MS
        return [Log("journal_open_retried", {"reason": reason}, "warning")]
