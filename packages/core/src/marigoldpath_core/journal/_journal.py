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
from ._opening import Opening
from ._ring import Ring
from ._rows import JournalRow, encode_snapshot
from ._snapshots import SnapshotWriter
from ._state import JournalState
from ._writer import Fate, RowWriter, Settled

Handler = Callable[..., list[Effect]]
_HANDLERS: Registry[type, Handler] = Registry("journal event handler")
# The ticket of entries that the journal itself appends.
_NO_TICKET = 0


class UnconfirmedEntries(NamedTuple):
    """Tickets without confirmation after the journal was lost or closed.

    Entries of `not_written` are in no row and never will be. An entry of
    `unknown` may be.
    """

    not_written: tuple[int, ...]
    unknown: tuple[int, ...]


class _Phase(Enum):
    CLOSED = auto()
    LOADING = auto()
    BEGINNING = auto()
    READY = auto()
    LOST = auto()
    UNREADABLE = auto()


class _Pending(NamedTuple):
    ticket: int
    entry: Entry


def _tickets(pending: Iterable[_Pending]) -> list[int]:
    return [each.ticket for each in pending if each.ticket != _NO_TICKET]


class Journal:
    """Appends entries in groups, one row in flight, and replays them when opened.

    One object serves one epoch after another; each `open` needs a higher epoch.
    """

    def __init__(
        self, settings: JournalSettings, availability_zone: str, host: str
    ) -> None:
        self._settings = settings
        self._host = host
        self._ring = Ring(availability_zone, settings.slots)
        self._writer = RowWriter(settings, self._ring)
        self._snapshots = SnapshotWriter(availability_zone)
        self._opening = Opening(settings, self._ring)
        self._phase = _Phase.CLOSED
        self._epoch = 0
        self._batch = 0
        self._ticket = 0
        self._state = JournalState(settings.retention_ms)
        self._named: Snapshot | None = None
        self._pending: deque[_Pending] = deque()
        self._in_flight: list[_Pending] = []
        self._confirmed: list[int] = []
        self._unconfirmed = UnconfirmedEntries((), ())

    @property
    def ready(self) -> bool:
        """Return whether entries can be appended."""
        return self._phase is _Phase.READY

    @property
    def fenced(self) -> bool:
        """Return whether a higher epoch was seen; its holder must step down."""
        return self._phase is _Phase.LOST

    @property
    def unreadable(self) -> bool:
        """Return whether a row or snapshot has a format that this version lacks."""
        return self._phase is _Phase.UNREADABLE

    @property
    def available(self) -> bool:
        """Return whether an entry appended now can be expected to be written soon."""
        return (
            self.ready
            and self._writer.answering
            and self._is_free(self._ring.last + 1 + (not self._writer.idle))
        )

    @property
    def recovered(self) -> JournalState:
        """Return the state that all confirmed rows give.

        It is what the replay gave when the journal becomes ready, follows each
        confirmed row from then on, and is what snapshots hold.
        """
        return self._state

    @property
    def unconfirmed(self) -> UnconfirmedEntries:
        """Return what became of entries that had no confirmation.

        It is about the last time that writing ended: lost, closed or opened again.
        """
        return self._unconfirmed

    @property
    def needs_snapshot(self) -> bool:
        """Return whether enough rows were appended since the last snapshot."""
        appended = self._ring.last - self._ring.covered
        return (
            self.ready
            and not self._snapshots.active
            and self._named is None
            and appended >= min(self._settings.snapshot_after, self._settings.slots)
        )

    @property
    def wake_ms(self) -> int | None:
        """Return the next time at which `tick` has something to do."""
        if self._phase is _Phase.LOADING:
            return self._opening.wake_ms
        if not self._writing:
            return None
        times = [self._writer.wake_ms, self._snapshots.wake_ms]
        if self._can_begin():
            times.append(self._writer.next_begin_ms)
        return min((time for time in times if time is not None), default=None)

    def open(self, epoch: int, now_ms: int) -> list[Effect]:
        """Read and replay all rows, then append that `epoch` begins."""
        self._stop(_Phase.LOADING)
        self._epoch = epoch
        self._writer.abandon()
        self._snapshots.abandon()
        self._opening = Opening(self._settings, self._ring)
        return self._opening.begin()

    def close(self) -> None:
        """Write no more; `unconfirmed` then tells what became of entries."""
        self._stop(_Phase.CLOSED)

    def append(self, entry: Entry, now_ms: int) -> int:
        """Queue an entry for the next row and return its ticket.

        Raises JournalNotReadyError.
        """
        if not self.ready:
            raise JournalNotReadyError("open the journal before appending to it")
        self._ticket += 1
        self._pending.append(_Pending(self._ticket, entry))
        return self._ticket

    def withdraw(self, ticket: int) -> bool:
        """Take back an entry; False when its row may be written already."""
        for pending in self._pending:
            if pending.ticket == ticket != _NO_TICKET:
                self._pending.remove(pending)
                return True
        return False

    def confirmed(self) -> list[int]:
        """Return the tickets that became durable since the last call."""
        tickets, self._confirmed = self._confirmed, []
        return tickets

    def snapshot(self, now_ms: int) -> list[Effect]:
        """Write `recovered` to an object and then name it in a row.

        The state covers exactly the confirmed rows. One that also held entries still
        to be written could make an entry durable that its caller was told is not.
        """
        if not self._writing or self._snapshots.active or self._named:
            return []
        if self.ready:
            # Before, the times of the state are on the old leader's clock.
            self._state.expire(now_ms)
        sequence = self._ring.last
        value = encode_snapshot(self._state, sequence)
        return self._snapshots.begin(value, sequence, self._epoch)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take an event; those of other parts are ignored."""
        if type(event) not in _HANDLERS:
            return []
        try:
            effects = _HANDLERS.get(type(event))(self, event, now_ms)
        except JournalFormatError as error:
            self._stop(_Phase.UNREADABLE)
            return [Log("journal_unreadable", {"reason": str(error)}, "error")]
        return [*effects, *self.tick(now_ms)]

    def tick(self, now_ms: int) -> list[Effect]:
        """Begin the next row and repeat what failed, when it is time."""
        if self._phase is _Phase.LOADING:
            return self._opening.tick(now_ms)
        if not self._writing:
            return []
        effects = [*self._writer.tick(now_ms), *self._snapshots.tick(now_ms)]
        if self._phase is _Phase.BEGINNING and not self._is_free(self._ring.last + 1):
            effects += self.snapshot(now_ms)
        if self._can_begin() and now_ms >= self._writer.next_begin_ms:
            effects += self._begin_row(now_ms)
        return effects

    @property
    def _writing(self) -> bool:
        return self._phase in (_Phase.BEGINNING, _Phase.READY)

    def _is_free(self, sequence: int) -> bool:
        named = self._named
        return self._ring.is_free(sequence, named.sequence if named else 0)

    def _can_begin(self) -> bool:
        return (
            self._writing
            and self._writer.idle
            and bool(self._pending)
            and self._is_free(self._ring.last + 1)
        )

    def _begin_row(self, now_ms: int) -> list[Effect]:
        while self._pending and len(self._in_flight) < self._settings.max_entries:
            self._in_flight.append(self._pending.popleft())
        self._batch += 1
        row = JournalRow(
            self._ring.last + 1,
            self._epoch,
            self._host,
            f"{self._host}:{self._epoch}:{self._batch}",
            tuple(pending.entry for pending in self._in_flight),
        )
        return self._writer.begin(row, now_ms)

    def _take_settled(self, now_ms: int) -> list[Effect]:
        settled = self._writer.take_settled()
        if settled is None:
            return []
        if settled.fate is Fate.WRITTEN:
            self._row_written(settled.row, now_ms)
            return []
        return self._row_not_written(settled, now_ms)

    def _row_written(self, row: JournalRow, now_ms: int) -> None:
        self._follow(row)
        self._state.expire(now_ms)
        self._confirmed += _tickets(self._in_flight)
        self._in_flight = []
        self._phase = _Phase.READY

    def _row_not_written(self, settled: Settled, now_ms: int) -> list[Effect]:
        other = cast(JournalRow, settled.other)
        if settled.fate is Fate.REPLACED:
            self._return_in_flight()
        # Once this epoch's row is written, no other epoch below it can write.
        if self.ready or other.epoch >= self._epoch:
            return self._lose(other.epoch)
        if settled.fate is Fate.UNKNOWN:
            # The old leader wrapped the ring while this one was opening it.
            return self.open(self._epoch, now_ms)
        self._follow(other)
        fields = {"sequence": other.sequence, "epoch": other.epoch}
        return [Log("journal_row_of_old_leader", fields)]

    def _follow(self, row: JournalRow) -> None:
        row.apply(self._state)
        self._ring.last = row.sequence
        named = row.snapshot
        if named:
            self._ring.covered = max(self._ring.covered, named.sequence)
        if named == self._named:
            self._named = None

    def _return_in_flight(self) -> None:
        self._pending.extendleft(reversed(self._in_flight))
        self._in_flight = []

    def _lose(self, epoch: int) -> list[Effect]:
        self._stop(_Phase.LOST)
        return [Log("journal_lost", {"epoch": self._epoch, "higher_epoch": epoch})]

    def _stop(self, phase: _Phase) -> None:
        if self._writing:
            self._unconfirmed = UnconfirmedEntries(
                tuple(_tickets(self._pending)), tuple(_tickets(self._in_flight))
            )
        self._phase = phase
        self._named = None
        self._pending.clear()
        self._in_flight = []

    def _loaded(self, now_ms: int) -> list[Effect]:
        state = self._opening.state
        if state is None:
            return []
        if self._opening.highest_epoch >= self._epoch:
            return self._lose(self._opening.highest_epoch)
        self._state = state
        begun = EpochBegun(self._epoch, self._host, now_ms)
        self._pending.append(_Pending(_NO_TICKET, begun))
        self._phase = _Phase.BEGINNING
        return []

    @_HANDLERS.register(RowsRead)
    def _rows_read(self, event: RowsRead, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING or event.prefix != self._ring.prefix:
            return []
        effects = self._opening.rows_read(event, now_ms)
        return [*effects, *self._loaded(now_ms)]

    @_HANDLERS.register(RowsReadFailed)
    def _rows_read_failed(self, event: RowsReadFailed, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING or event.prefix != self._ring.prefix:
            return []
        return self._opening.rows_read_failed(event, now_ms)

    @_HANDLERS.register(ObjectRead)
    def _object_read(self, event: ObjectRead, now_ms: int) -> list[Effect]:
        if self._phase is not _Phase.LOADING:
            return []
        effects = self._opening.object_read(event, now_ms)
        return [*effects, *self._loaded(now_ms)]

    @_HANDLERS.register(RowRead)
    def _row_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        effects = self._writer.row_read(event, now_ms)
        return [*effects, *self._take_settled(now_ms)]

    @_HANDLERS.register(RowReadFailed)
    def _row_read_failed(self, event: RowReadFailed, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        return self._writer.row_read_failed(event, now_ms)

    @_HANDLERS.register(RowWriteReplied)
    def _row_write_replied(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        if not self._writing:
            return []
        named = self._snapshots.replied(event, now_ms)
        if named is not None:
            # In front, because the row may replace one that only this snapshot covers.
            self._pending.appendleft(_Pending(_NO_TICKET, named))
            self._named = named
            return []
        effects = self._writer.write_replied(event, now_ms)
        return [*effects, *self._take_settled(now_ms)]
