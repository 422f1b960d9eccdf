"""Writes one row at a time and finds out what became of it."""

from enum import Enum, auto
from typing import NamedTuple

from marigoldpath_core.messages import (
    Effect,
    Log,
    ReadRow,
    Row,
    RowRead,
    RowReadFailed,
    RowWriteReplied,
    WriteStatus,
)
from marigoldpath_core.settings import JournalSettings

from ._ring import Ring
from ._rows import JournalRow, decode_row, encode_row

# A table that does not answer gets at most 10 requests/s from each zone.
RETRY_MS = 100
# Longer than a table write that is merely slow: 5 ms is usual.
STALLED_MS = 500


class Fate(Enum):
    """What became of a row."""

    WRITTEN = auto()
    REPLACED = auto()
    UNKNOWN = auto()


class Settled(NamedTuple):
    """The end of a row's write.

    REPLACED: `other` was created with this sequence, so the row never will be.
    UNKNOWN: the ring has wrapped past the sequence; `other` is a later row.
    """

    row: JournalRow
    fate: Fate
    other: JournalRow | None = None


class _Phase(Enum):
    IDLE = auto()
    WRITING = auto()
    WRITE_DUE = auto()
    READING = auto()
    READ_DUE = auto()


class RowWriter:
    """Holds the row in flight until it is known whether it was written.

    A reply that says "written" counts only with a version higher than the one
    overwritten: a repeated reply to an earlier write of the slot has no higher one.
    """

    def __init__(self, settings: JournalSettings, ring: Ring) -> None:
        self._settings = settings
        self._ring = ring
        self._row: JournalRow | None = None
        self._phase = _Phase.IDLE
        self._began_ms: int | None = None
        self._due_ms = 0
        self._answering = True
        self._distrusted: set[str] = set()
        self._settled: Settled | None = None

    @property
    def idle(self) -> bool:
        """Return whether no row is in flight."""
        return self._row is None

    @property
    def answering(self) -> bool:
        """Return whether the table answered the last write in time."""
        return self._answering

    @property
    def next_begin_ms(self) -> int:
        """Return the time before which no further write may begin."""
        if self._began_ms is None:
            return 0
        return self._began_ms + self._settings.interval_ms

    @property
    def wake_ms(self) -> int | None:
        """Return when `tick` has something to do, None while it has nothing."""
        if self._phase in (_Phase.WRITE_DUE, _Phase.READ_DUE):
            return self._due_ms
        if self._phase is _Phase.WRITING and self._answering:
            return (self._began_ms or 0) + STALLED_MS
        return None

    def take_settled(self) -> Settled | None:
        """Return the end of a write that was not taken yet."""
        settled, self._settled = self._settled, None
        return settled

    def abandon(self) -> None:
        """Forget the row in flight, as at the change of an epoch.

        Its reply may still come and is not told apart from the reply to a later
        write of the same slot, so later writes of that slot are settled by a read.
        """
        if self._row is not None:
            self._distrusted.add(self._ring.key(self._row.sequence))
        self._row = None
        self._settled = None
        self._phase = _Phase.IDLE
        self._answering = True

    def begin(self, row: JournalRow, now_ms: int) -> list[Effect]:
        """Write a row; only one is in flight at a time."""
        self._row = row
        return self._write(row, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Write or read again when it is time."""
        row = self._row
        if row is None:
            return []
        if self._phase is _Phase.WRITING:
            if now_ms >= (self._began_ms or 0) + STALLED_MS:
                self._answering = False
            return []
        if self._phase is _Phase.WRITE_DUE and now_ms >= self._due_ms:
            return self._write(row, now_ms)
        if self._phase is _Phase.READ_DUE and now_ms >= self._due_ms:
            return self._read(row)
        return []

    def write_replied(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        """Take the reply to a write."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if event.status is WriteStatus.WRITTEN:
            return self._reply_written(row, event)
        if self._phase is not _Phase.WRITING:
            return []
        if event.status is WriteStatus.UNKNOWN:
            self._answering = False
        return self._read(row)

    def row_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        """Take the row read to settle a write; raises JournalFormatError."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if self._phase is not _Phase.READING:
            return []
        found = None if event.row is None else decode_row(event.row)
        if found is None or event.row is None:
            return self._found_older(row, 0, None, now_ms)
        if found.sequence < row.sequence:
            return self._found_older(row, found.sequence, event.row, now_ms)
        self._ring.saw(event.key, event.row.version)
        if found.sequence > row.sequence:
            self._settle(Settled(row, Fate.UNKNOWN, found))
        elif found.batch == row.batch:
            self._settle(Settled(row, Fate.WRITTEN))
        else:
            self._settle(Settled(row, Fate.REPLACED, found))
        return []

    def row_read_failed(self, event: RowReadFailed, now_ms: int) -> list[Effect]:
        """Read again after a while."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if self._phase is _Phase.READING:
            self._answering = False
            self._phase = _Phase.READ_DUE
            self._due_ms = now_ms + RETRY_MS
        return []

    def _reply_written(self, row: JournalRow, event: RowWriteReplied) -> list[Effect]:
        if event.version <= self._ring.version(row.sequence):
            return []
        if event.key in self._distrusted:
            return self._read(row) if self._phase is _Phase.WRITING else []
        self._ring.saw(event.key, event.version)
        self._settle(Settled(row, Fate.WRITTEN))
        return []

    def _found_older(
        self, row: JournalRow, sequence: int, found: Row | None, now_ms: int
    ) -> list[Effect]:
        if sequence != self._ring.replaced(row.sequence):
            # The read is older than the replay. To write over its version would fail.
            self._phase = _Phase.READ_DUE
            self._due_ms = now_ms + RETRY_MS
            return []
        if found is not None:
            self._ring.saw(found.key, found.version)
        self._phase = _Phase.WRITE_DUE
        self._due_ms = max(now_ms, self.next_begin_ms)
        return self.tick(now_ms)

    def _write(self, row: JournalRow, now_ms: int) -> list[Effect]:
        self._phase = _Phase.WRITING
        self._began_ms = now_ms
        return [self._ring.write(row.sequence, encode_row(row))]

    def _read(self, row: JournalRow) -> list[Effect]:
        self._phase = _Phase.READING
        key = self._ring.key(row.sequence)
        return [
            Log("journal_write_read_back", {"key": key, "sequence": row.sequence}),
            ReadRow(key),
        ]

    def _settle(self, settled: Settled) -> None:
        self._row = None
        self._phase = _Phase.IDLE
        self._answering = True
        self._settled = settled
