"""Loads the rows and the snapshot of earlier leaders before a new leader writes."""

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

from ._replay_plan import ReplayPlan, make_replay_plan
from ._ring import Ring
from ._rows import decode_snapshot
from ._state import JournalState
from ._writer import RETRY_DELAY_MS


class _Phase(Enum):
    READING_ROWS = auto()
    READING_SNAPSHOT = auto()
    RETRY_DUE = auto()
    LOADED = auto()


class JournalLoader:
    """Reads and replays the rows of the ring buffer, and retries until it succeeds.

    A delayed reply to an earlier read cannot be distinguished from the reply to the
    latest one. It contains an earlier but consistent state: the write of the new
    epoch's first row then finds another row in its slot, and the journal applies that
    row or reads all rows again.
    """

    def __init__(self, settings: JournalSettings, ring: Ring) -> None:
        self._settings = settings
        self._ring = ring
        self._phase = _Phase.READING_ROWS
        self._due_ms = 0
        self._plan: ReplayPlan | None = None
        self._state: JournalState | None = None
        self._highest_epoch = 0

    @property
    def state(self) -> JournalState | None:
        """Return the replayed state, or None until all rows are replayed."""
        return self._state

    @property
    def highest_epoch(self) -> int:
        """Return the highest epoch of all rows that were read."""
        return self._highest_epoch

    @property
    def wake_ms(self) -> int | None:
        """Return the time at which `tick` must be called, or None."""
        return self._due_ms if self._phase is _Phase.RETRY_DUE else None

    def begin(self) -> list[Effect]:
        """Start a read of all slots."""
        self._phase = _Phase.READING_ROWS
        return [ReadRows(self._ring.prefix)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Repeat a failed read when it is due."""
        if self._phase is _Phase.RETRY_DUE and now_ms >= self._due_ms:
            return self.begin()
        return []

    def rows_read(self, event: RowsRead, now_ms: int) -> list[Effect]:
        """Process the rows of all slots; raises JournalFormatError."""
        if self._phase is not _Phase.READING_ROWS:
            return []
        plan = make_replay_plan(event.rows)
        if plan is None or self._ring.is_stale(event.rows):
            return self._retry("rows_incomplete", now_ms)
        for row in event.rows:
            self._ring.record_version(row.key, row.version)
            self._highest_epoch = max(self._highest_epoch, row.value["epoch"])
        self._plan = plan
        if plan.snapshot is None:
            return self._replay(JournalState(self._settings.retention_ms))
        self._phase = _Phase.READING_SNAPSHOT
        return [ReadObject(plan.snapshot.object_key)]

    def rows_read_failed(self, event: RowsReadFailed, now_ms: int) -> list[Effect]:
        """Schedule another read of all slots."""
        if self._phase is not _Phase.READING_ROWS:
            return []
        return self._retry("rows_not_read", now_ms)

    def object_read(self, event: ObjectRead, now_ms: int) -> list[Effect]:
        """Process the newest snapshot object; raises JournalFormatError."""
        if self._phase is not _Phase.READING_SNAPSHOT or self._plan is None:
            return []
        snapshot = self._plan.snapshot
        if snapshot is None or event.key != snapshot.object_key:
            return []
        if event.failed or event.value is None:
            return self._retry("snapshot_not_read", now_ms)
        retention_ms = self._settings.retention_ms
        return self._replay(
            decode_snapshot(event.value, snapshot.sequence, retention_ms)
        )

    def _replay(self, state: JournalState) -> list[Effect]:
        plan = self._plan
        if plan is None:
            return []
        for row in plan.rows:
            row.apply(state)
        self._ring.snapshot_sequence = plan.snapshot.sequence if plan.snapshot else 0
        self._ring.last_sequence = plan.last_sequence
        self._state = state
        self._phase = _Phase.LOADED
        return []

    def _retry(self, reason: str, now_ms: int) -> list[Effect]:
        self._phase = _Phase.RETRY_DUE
        self._due_ms = now_ms + RETRY_DELAY_MS
        return [Log("journal_open_retried", {"reason": reason}, "warning")]
