"""The journal of an availability zone."""

from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum, auto
from typing import NamedTuple, cast

from marigoldpath_core.messages import (
    Effect,
    Event,
    Log,
    ObjectRead,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import JournalSettings

from ._entries import Entry, EpochBegun, Snapshot
from ._errors import JournalFormatError, JournalNotReadyError
from ._loader import JournalLoader
from ._ring import Ring
from ._rows import JournalRow, encode_snapshot
from ._snapshots import SnapshotWriter
from ._state import JournalState
from ._writer import CompletedWrite, RowResult, RowWriter

Handler = Callable[..., list[Effect]]
_HANDLERS: Registry[type, Handler] = Registry("journal event handler")
# Marks entries that the journal itself appends; no ticket is returned for them.
_NO_TICKET = 0


class UnconfirmedEntries(NamedTuple):
    """Tickets that had no confirmation when the journal stopped writing.

    The entries in `not_written` are in no row and will never be written. It is unknown
    whether the entries in `possibly_written` are in a row.
    """

    not_written: tuple[int, ...]
    possibly_written: tuple[int, ...]


class _Phase(Enum):
    CLOSED = auto()
    LOADING = auto()
    STARTING_EPOCH = auto()
    READY = auto()
    FENCED = auto()
    UNREADABLE = auto()


class _PendingEntry(NamedTuple):
    ticket: int
    entry: Entry


def _tickets(pending: Iterable[_PendingEntry]) -> list[int]:
    return [
        pending_entry.ticket
        for pending_entry in pending
        if pending_entry.ticket != _NO_TICKET
    ]


class Journal:
    """Writes entries in batches, one row at a time, and replays all rows when opened.

    A journal can be opened again, each time for a higher epoch.
    """

    def __init__(
        self, settings: JournalSettings, availability_zone: str, host: str
    ) -> None:
        self._settings = settings
        self._host = host
        self._ring = Ring(availability_zone, settings.slots)
        self._writer = RowWriter(settings, self._ring)
        self._snapshots = SnapshotWriter(availability_zone)
        self._loader = JournalLoader(settings, self._ring)
        self._phase = _Phase.CLOSED
        self._epoch = 0
        self._batch_number = 0
        self._last_ticket = 0
        self._state = JournalState(settings.retention_ms)
        self._unconfirmed_snapshot: Snapshot | None = None
        self._pending: deque[_PendingEntry] = deque()
        self._in_flight: list[_PendingEntry] = []
        self._confirmed: list[int] = []
        self._unconfirmed = UnconfirmedEntries((), ())

    @property
    def ready(self) -> bool:
        """Return whether entries can be appended."""
        return self._phase is _Phase.READY

    @property
    def fenced(self) -> bool:
        """Return whether a row of a higher epoch was found.

        Another leader has then begun its epoch, so this leader must step down.
        """
        return self._phase is _Phase.FENCED

    @property
    def unreadable(self) -> bool:
        """Return whether a row or snapshot has a format that cannot be read."""
        return self._phase is _Phase.UNREADABLE

    @property
    def available(self) -> bool:
        """Return whether an entry appended now is expected to be written soon."""
        return (
            self.ready
            and self._writer.table_responsive
            and self._is_writable(
                self._ring.last_sequence + 1 + (not self._writer.idle)
            )
        )

    @property
    def recovered(self) -> JournalState:
        """Return the state that results from all confirmed rows.

        When the journal becomes ready, this is the replayed state. Each row that is
        confirmed later updates it. A snapshot is a copy of this state.
        """
        return self._state

    @property
    def unconfirmed(self) -> UnconfirmedEntries:
        """Return the tickets that had no confirmation when writing last stopped.

        Writing stops when the journal is fenced, unreadable, closed or opened again.
        """
        return self._unconfirmed

    @property
    def needs_snapshot(self) -> bool:
        """Return whether `snapshot` should be called.

        This is so if enough rows were written since the last snapshot and no other
        snapshot is in progress.
        """
        appended = self._ring.last_sequence - self._ring.snapshot_sequence
        return (
            self.ready
            and not self._snapshots.active
            and self._unconfirmed_snapshot is None
            and appended >= min(self._settings.snapshot_after, self._settings.slots)
        )

    @property
    def wake_ms(self) -> int | None:
        """Return the next time at which `tick` must be called, or None."""
        if self._phase is _Phase.LOADING:
            return self._loader.wake_ms
        if not self._writing:
            return None
        times = [self._writer.wake_ms, self._snapshots.wake_ms]
        if self._can_write_row():
            times.append(self._writer.next_write_ms)
        return min((time for time in times if time is not None), default=None)

    def open(self, epoch: int, now_ms: int) -> list[Effect]:
        """Start to read all rows, which are then replayed.

        After the replay an entry that begins `epoch` is written, and once it is
        confirmed, the journal is ready.
        """
        self._stop(_Phase.LOADING)
        self._epoch = epoch
        self._writer.abandon()
        self._snapshots.abandon()
        self._loader = JournalLoader(self._settings, self._ring)
        return self._loader.begin()

    def close(self) -> None:
        """Stop writing; `unconfirmed` then has the tickets without confirmation."""
        self._stop(_Phase.CLOSED)

    def append(self, entry: Entry, now_ms: int) -> int:
        """Queue an entry for the next row and return its ticket.

        Raises JournalNotReadyError unless the journal is ready.
        """
        if not self.ready:
            raise JournalNotReadyError("open the journal before appending to it")
        self._last_ticket += 1
        self._pending.append(_PendingEntry(self._last_ticket, entry))
        return self._last_ticket

    def withdraw(self, ticket: int) -> bool:
        """Remove a pending entry; return False if the ticket is not pending.

        If it is not pending, a row with its entry may already have been written.
        """
        for pending in self._pending:
            if pending.ticket == ticket != _NO_TICKET:
                self._pending.remove(pending)
                return True
        return False

    def confirmed(self) -> list[int]:
        """Return the tickets of entries that became durable since the last call."""
        tickets, self._confirmed = self._confirmed, []
        return tickets

    def snapshot(self, now_ms: int) -> list[Effect]:
        """Write `recovered` to an object and then reference the object in a row.

        Does nothing unless the journal is writing, or if a snapshot is in progress. The
        snapshot contains exactly the confirmed rows. If it also contained pending
        entries, it could make an entry durable after the journal has reported that the
        entry was not written.
        """
        if not self._writing or self._snapshots.active or self._unconfirmed_snapshot:
            return []
        if self.ready:
            # Before that, the state's times are on the previous leader's clock.
            self._state.expire(now_ms)
        sequence = self._ring.last_sequence
        value = encode_snapshot(self._state, sequence)
        return self._snapshots.begin(value, sequence, self._epoch)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Process an event; events of other components are ignored."""
        if type(event) not in _HANDLERS:
            return []
        try:
            effects = _HANDLERS.get(type(event))(self, event, now_ms)
        except JournalFormatError as error:
            self._stop(_Phase.UNREADABLE)
            return [Log("journal_unreadable", {"reason": str(error)}, "error")]
        return [*effects, *self.tick(now_ms)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Write the next row and retry failed operations that are due."""
        if self._phase is _Phase.LOADING:
            return self._loader.tick(now_ms)
        if not self._writing:
            return []
        effects = [*self._writer.tick(now_ms), *self._snapshots.tick(now_ms)]
        if self._phase is _Phase.STARTING_EPOCH and not self._is_writable(
            self._ring.last_sequence + 1
        ):
            effects += self.snapshot(now_ms)
        if self._can_write_row() and now_ms >= self._writer.next_write_ms:
            effects += self._write_next_row(now_ms)
        return effects

    @property
    def _writing(self) -> bool:
        return self._phase in (_Phase.STARTING_EPOCH, _Phase.READY)

    def _is_writable(self, sequence: int) -> bool:
        snapshot = self._unconfirmed_snapshot
        return self._ring.is_writable(sequence, snapshot.sequence if snapshot else 0)

    def _can_write_row(self) -> bool:
        return (
            self._writing
            and self._writer.idle
            and bool(self._pending)
            and self._is_writable(self._ring.last_sequence + 1)
        )

    def _write_next_row(self, now_ms: int) -> list[Effect]:
        while self._pending and len(self._in_flight) < self._settings.max_entries:
            self._in_flight.append(self._pending.popleft())
        self._batch_number += 1
        row = JournalRow(
            self._ring.last_sequence + 1,
            self._epoch,
            self._host,
            f"{self._host}:{self._epoch}:{self._batch_number}",
            tuple(pending.entry for pending in self._in_flight),
        )
        return self._writer.begin(row, now_ms)

    def _process_completed_write(self, now_ms: int) -> list[Effect]:
        completed = self._writer.take_completed()
        if completed is None:
            return []
        if completed.result is RowResult.WRITTEN:
            self._row_written(completed.row, now_ms)
            return []
        return self._row_not_written(completed, now_ms)

    def _row_written(self, row: JournalRow, now_ms: int) -> None:
        self._apply_row(row)
        self._state.expire(now_ms)
        self._confirmed += _tickets(self._in_flight)
        self._in_flight = []
        self._phase = _Phase.READY

    def _row_not_written(self, completed: CompletedWrite, now_ms: int) -> list[Effect]:
        other_row = cast(JournalRow, completed.other_row)
        if completed.result is RowResult.CONFLICT:
            self._requeue_in_flight()
        # Once this epoch's first row is written, leaders of lower epochs can no longer
        # write, so the other row is of a higher epoch.
        if self.ready or other_row.epoch >= self._epoch:
            return self._become_fenced(other_row.epoch)
        if completed.result is RowResult.UNKNOWN:
            # Since the load, the previous leader has overwritten this slot with a later
            # row, so rows in between were not loaded.
            return self.open(self._epoch, now_ms)
        self._apply_row(other_row)
        fields = {"sequence": other_row.sequence, "epoch": other_row.epoch}
        return [Log("journal_row_of_old_leader", fields)]

    def _apply_row(self, row: JournalRow) -> None:
        row.apply(self._state)
        self._ring.last_sequence = row.sequence
        snapshot = row.snapshot
        if snapshot:
            self._ring.snapshot_sequence = max(
                self._ring.snapshot_sequence, snapshot.sequence
            )
        if snapshot == self._unconfirmed_snapshot:
            self._unconfirmed_snapshot = None

    def _requeue_in_flight(self) -> None:
        self._pending.extendleft(reversed(self._in_flight))
        self._in_flight = []

    def _become_fenced(self, epoch: int) -> list[Effect]:
        self._stop(_Phase.FENCED)
        return [Log("journal_lost", {"epoch": self._epoch, "higher_epoch": epoch})]

    def _stop(self, phase: _Phase) -> None:
        if self._writing:
            self._unconfirmed = UnconfirmedEntries(
                tuple(_tickets(self._pending)), tuple(_tickets(self._in_flight))
            )
        self._phase = phase
        self._unconfirmed_snapshot = None
        self._pending.clear()
        self._in_flight = []

    def _finish_loading(self, now_ms: int) -> list[Effect]:
        state = self._loader.state
        if state is None:
            return []
        if self._loader.highest_epoch >= self._epoch:
            return self._become_fenced(self._loader.highest_epoch)
        self._state = state
        begun = EpochBegun(self._epoch, self._host, now_ms)
        self._pending.append(_PendingEntry(_NO_TICKET, begun))
        self._phase = _Phase.STARTING_EPOCH
        return []

    @_HANDLERS.register(RowsRead)
    def _rows_read(self, event: RowsRead, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING or event.prefix != self._ring.prefix:
            return []
        effects = self._loader.rows_read(event, now_ms)
        return [*effects, *self._finish_loading(now_ms)]

    @_HANDLERS.register(RowsReadFailed)
    def _rows_read_failed(self, event: RowsReadFailed, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING or event.prefix != self._ring.prefix:
            return []
        return self._loader.rows_read_failed(event, now_ms)

    @_HANDLERS.register(ObjectRead)
    def _object_read(self, event: ObjectRead, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING:
            return []
        effects = self._loader.object_read(event, now_ms)
        return [*effects, *self._finish_loading(now_ms)]

    @_HANDLERS.register(RowRead)
    def _row_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        effects = self._writer.row_read(event, now_ms)
        return [*effects, *self._process_completed_write(now_ms)]

    @_HANDLERS.register(RowReadFailed)
    def _row_read_failed(self, event: RowReadFailed, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        return self._writer.row_read_failed(event, now_ms)

    @_HANDLERS.register(RowWriteReplied)
    def _row_write_replied(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        snapshot = self._snapshots.replied(event, now_ms)
        if snapshot is not None:
            # This entry is written before the other pending entries, because its row
            # may overwrite a row that only this snapshot covers.
            self._pending.appendleft(_PendingEntry(_NO_TICKET, snapshot))
            self._unconfirmed_snapshot = snapshot
            return []
        effects = self._writer.write_replied(event, now_ms)
        return [*effects, *self._process_completed_write(now_ms)]
