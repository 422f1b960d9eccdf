"""Writes one row at a time and determines whether each write succeeded."""

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

# At this delay, each zone sends at most 10 requests/s to an unresponsive table.
RETRY_DELAY_MS = 100
# Writes usually take 5 ms; this exceeds the time of a slow but successful write.
UNRESPONSIVE_AFTER_MS = 500


class RowResult(Enum):
    """The result of writing a row."""

    WRITTEN = auto()
    CONFLICT = auto()
    UNKNOWN = auto()


class CompletedWrite(NamedTuple):
    """A write of a row whose result has been determined.

    CONFLICT: `other_row` was written with the same sequence number, so `row` will never
    be written. UNKNOWN: `other_row` is a later row in the same slot, so it cannot be
    determined whether `row` was written before it.
    """

    row: JournalRow
    result: RowResult
    other_row: JournalRow | None = None


class _Phase(Enum):
    IDLE = auto()
    WRITING = auto()
    WRITE_DUE = auto()
    READING = auto()
    READ_DUE = auto()


class RowWriter:
    """Writes a row, and retries and reads until the result of the write is known.

    A reply with the status `WRITTEN` is ignored unless its version is higher than the
    recorded version of the slot. The version in a duplicate of the reply to an earlier
    write of the slot is not higher.
    """

    def __init__(self, settings: JournalSettings, ring: Ring) -> None:
        self._settings = settings
        self._ring = ring
        self._row: JournalRow | None = None
        self._phase = _Phase.IDLE
        self._write_started_ms: int | None = None
        self._due_ms = 0
        self._table_responsive = True
        self._ambiguous_keys: set[str] = set()
        self._completed: CompletedWrite | None = None

    @property
    def idle(self) -> bool:
        """Return whether no row is in flight."""
        return self._row is None

    @property
    def table_responsive(self) -> bool:
        """Return whether the table is expected to reply to writes.

        This is False after a write without a reply for `UNRESPONSIVE_AFTER_MS`, a write
        with an unknown result or a failed read. It is True again once the result of the
        write is known or the row is abandoned.
        """
        return self._table_responsive

    @property
    def next_write_ms(self) -> int:
        """Return the earliest time at which the next write is allowed."""
        if self._write_started_ms is None:
            return 0
        return self._write_started_ms + self._settings.interval_ms

    @property
    def wake_ms(self) -> int | None:
        """Return the time at which `tick` must be called, or None."""
        if self._phase in (_Phase.WRITE_DUE, _Phase.READ_DUE):
            return self._due_ms
        if self._phase is _Phase.WRITING and self._table_responsive:
            return (self._write_started_ms or 0) + UNRESPONSIVE_AFTER_MS
        return None

    def take_completed(self) -> CompletedWrite | None:
        """Return the completed write, if any, and clear it."""
        completed, self._completed = self._completed, None
        return completed

    def abandon(self) -> None:
        """Discard the row in flight, for example when the epoch changes.

        The reply to its write can still arrive, and cannot be distinguished from the
        reply to a later write to the same slot. The results of later writes to that
        slot are therefore determined by a read.
        """
        if self._row is not None:
            self._ambiguous_keys.add(self._ring.key(self._row.sequence))
        self._row = None
        self._completed = None
        self._phase = _Phase.IDLE
        self._table_responsive = True

    def begin(self, row: JournalRow, now_ms: int) -> list[Effect]:
        """Start to write a row; no other row may be in flight."""
        self._row = row
        return self._write(row, now_ms)

    def tick(self, now_ms: int) -> list[Effect]:
        """Repeat a write or read that is due, and detect an unresponsive table."""
        row = self._row
        if row is None:
            return []
        if self._phase is _Phase.WRITING:
            if now_ms >= (self._write_started_ms or 0) + UNRESPONSIVE_AFTER_MS:
                self._table_responsive = False
            return []
        if self._phase is _Phase.WRITE_DUE and now_ms >= self._due_ms:
            return self._write(row, now_ms)
        if self._phase is _Phase.READ_DUE and now_ms >= self._due_ms:
            return self._read(row)
        return []

    def write_replied(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        """Process the reply to a write."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if event.status is WriteStatus.WRITTEN:
            return self._process_written_reply(row, event)
        if self._phase is not _Phase.WRITING:
            return []
        if event.status is WriteStatus.UNKNOWN:
            self._table_responsive = False
        return self._read(row)

    def row_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        """Determine the result of a write from a read; raises JournalFormatError."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if self._phase is not _Phase.READING:
            return []
        found_row = None if event.row is None else decode_row(event.row)
        if found_row is None or event.row is None:
            return self._process_older_row(row, 0, None, now_ms)
        if found_row.sequence < row.sequence:
            return self._process_older_row(row, found_row.sequence, event.row, now_ms)
        self._ring.record_version(event.key, event.row.version)
        if found_row.sequence > row.sequence:
            self._complete(CompletedWrite(row, RowResult.UNKNOWN, found_row))
        elif found_row.batch == row.batch:
            self._complete(CompletedWrite(row, RowResult.WRITTEN))
        else:
            self._complete(CompletedWrite(row, RowResult.CONFLICT, found_row))
        return []

    def row_read_failed(self, event: RowReadFailed, now_ms: int) -> list[Effect]:
        """Schedule another read of the row."""
        row = self._row
        if row is None or event.key != self._ring.key(row.sequence):
            return []
        if self._phase is _Phase.READING:
            self._table_responsive = False
            self._phase = _Phase.READ_DUE
            self._due_ms = now_ms + RETRY_DELAY_MS
        return []

    def _process_written_reply(
        self, row: JournalRow, event: RowWriteReplied
    ) -> list[Effect]:
        if event.version <= self._ring.version(row.sequence):
            return []
        if event.key in self._ambiguous_keys:
            return self._read(row) if self._phase is _Phase.WRITING else []
        self._ring.record_version(event.key, event.version)
        self._complete(CompletedWrite(row, RowResult.WRITTEN))
        return []

    def _process_older_row(
        self, row: JournalRow, sequence: int, found_row: Row | None, now_ms: int
    ) -> list[Effect]:
        if sequence != self._ring.overwritten_sequence(row.sequence):
            # The read was stale: the slot is known to contain a later row than the one
            # returned, so a write conditional on the returned version would fail.
            self._phase = _Phase.READ_DUE
            self._due_ms = now_ms + RETRY_DELAY_MS
            return []
        if found_row is not None:
            self._ring.record_version(found_row.key, found_row.version)
        self._phase = _Phase.WRITE_DUE
        self._due_ms = max(now_ms, self.next_write_ms)
        return self.tick(now_ms)

    def _write(self, row: JournalRow, now_ms: int) -> list[Effect]:
        self._phase = _Phase.WRITING
        self._write_started_ms = now_ms
        return [self._ring.write_effect(row.sequence, encode_row(row))]

    def _read(self, row: JournalRow) -> list[Effect]:
        self._phase = _Phase.READING
        key = self._ring.key(row.sequence)
        return [
            Log("journal_write_read_back", {"key": key, "sequence": row.sequence}),
            ReadRow(key),
        ]

    def _complete(self, completed: CompletedWrite) -> None:
        self._row = None
        self._phase = _Phase.IDLE
        self._table_responsive = True
        self._completed = completed
