"""The leader row of an availability zone in the platform's table."""

from typing import NamedTuple, TypedDict, cast

from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    ReadRow,
    Row,
    RowRead,
    RowWriteReplied,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.settings import DaemonSettings


class LeaderRow(TypedDict):
    """The value of a leader row; `token` is unique to each write.

    `clean` in a released row means that no start was in flight when the claims were
    withdrawn, so that the successor need not settle.
    """

    epoch: int
    host: str
    address: str
    token: str
    beat: int
    released: bool
    clean: bool


class LeaderIdentity(NamedTuple):
    """The leader that a host knows of."""

    host: str
    address: str
    epoch: int


class _PendingWrite(NamedTuple):
    token: str
    epoch: int
    sent_at_ms: int
    released: bool = False
    clean: bool = False


def leader_row_key(availability_zone: str) -> str:
    """Return the key of a zone's leader row."""
    return f"leader/{availability_zone}"


class RowLease:
    """Holds, renews and takes over the leader row.

    A row is taken over when it stayed unchanged for the lease on this host's own
    clock. Drift of `drift_percent` is allowed on each side, so the taker waits that
    much longer and the holder trusts its confirmation that much less, twice.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._key = leader_row_key(settings.availability_zone)
        self._row: Row | None = None
        self._row_known = False
        self._row_seen_at_ms = 0
        self._pending: _PendingWrite | None = None
        self._pending_unknown = False
        self._write_counter = 0
        self._epoch = 0
        self._confirmed_at_ms = -(10**9)
        self._read_at_ms = -(10**9)
        self._read_in_flight = False
        self._candidacy = True
        self._took_clean = False

    @property
    def epoch(self) -> int:
        """The epoch that this host leads in, 0 when it does not lead."""
        return self._epoch

    @property
    def view(self) -> LeaderIdentity | None:
        """The leader that the row named when it was last read."""
        if self._row is None or self._value["released"]:
            return None
        value = self._value
        return LeaderIdentity(value["host"], value["address"], value["epoch"])

    @property
    def _value(self) -> LeaderRow:
        assert self._row is not None
        return cast(LeaderRow, self._row.value)

    @property
    def was_released_clean(self) -> bool:
        """Whether the row that this host took over was released cleanly."""
        return self._took_clean

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether the row surely still names this host."""
        leadership = self._settings.leadership
        trusted_ms = (
            leadership.row_lease_ms * (100 - 2 * leadership.drift_percent) // 100
        )
        return self._epoch > 0 and now_ms - self._confirmed_at_ms < trusted_ms

    def resign(self) -> None:
        """Stop leading without writing the row."""
        self._epoch = 0

    def stop_candidacy(self) -> None:
        """Never take the row again, because this host is stopping."""
        self._candidacy = False

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the row when it is due, or look at it."""
        beat_ms = self._settings.leadership.beat_ms
        if self._epoch and self._pending is None:
            if now_ms - self._confirmed_at_ms >= beat_ms:
                return self._renew(now_ms)
            return []
        if self._pending is not None and not self._pending_unknown:
            return []
        interval_ms = beat_ms // 2
        if self._read_in_flight and now_ms - self._read_at_ms < 4 * beat_ms:
            return []
        if now_ms - self._read_at_ms < interval_ms:
            return []
        return self._read(now_ms)

    def release(self, now_ms: int, clean: bool) -> list[Effect]:
        """Give the row up so that a successor need not wait for it to expire."""
        if not self._epoch or self._row is None:
            return []
        epoch, self._epoch = self._epoch, 0
        pending = self._begin_write(now_ms, epoch)
        self._pending = pending._replace(released=True, clean=clean)
        return self._send_write()

    def on_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        """Learn the row's content and take it over if its lease has expired."""
        self._read_in_flight = False
        if not self._row_known or _version(event.row) != _version(self._row):
            self._row_seen_at_ms = now_ms
        self._row, self._row_known = event.row, True
        self._settle_pending(now_ms)
        if self._pending is not None:
            return []
        if self._epoch:
            if self._row is None or not self._is_own_epoch():
                self._epoch = 0
                return []
            return []
        return self._take_over(now_ms)

    def on_read_failed(self) -> None:
        """Note that the table did not answer a read."""
        self._read_in_flight = False

    def on_write(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        """Learn the end of the pending write."""
        if self._pending is None:
            return []
        if event.status is WriteStatus.UNKNOWN:
            self._pending_unknown = True
            return []
        pending = self._pending
        self._pending, self._pending_unknown = None, False
        if event.status is WriteStatus.CONFLICT:
            return self._read(now_ms)
        value = self._new_value(pending)
        self._row = Row(self._key, dict(value), event.version)
        self._row_seen_at_ms = now_ms
        self._adopt_write(pending)
        return []

    def _adopt_write(self, pending: _PendingWrite) -> None:
        if pending.released:
            return
        self._epoch = pending.epoch
        self._confirmed_at_ms = pending.sent_at_ms

    def _settle_pending(self, now_ms: int) -> None:
        """Decide an unknown write by the row that was read after it."""
        pending = self._pending
        if pending is None or not self._pending_unknown:
            return
        self._pending, self._pending_unknown = None, False
        if self._row is not None and self._value["token"] == pending.token:
            self._adopt_write(pending)

    def _is_own_epoch(self) -> bool:
        return self._value["epoch"] == self._epoch and self._value["token"].startswith(
            self._incarnation
        )

    def _take_over(self, now_ms: int) -> list[Effect]:
        if not self._candidacy:
            return []
        if self._row is None:
            return self._write(now_ms, 1)
        leadership = self._settings.leadership
        lease_ms = leadership.row_lease_ms * (100 + leadership.drift_percent) // 100
        expired = now_ms - self._row_seen_at_ms >= lease_ms
        self._took_clean = self._value["released"] and self._value.get("clean", False)
        if self._value["released"] or expired:
            return self._write(now_ms, self._value["epoch"] + 1)
        return []

    def _renew(self, now_ms: int) -> list[Effect]:
        return self._write(now_ms, self._epoch)

    def _read(self, now_ms: int) -> list[Effect]:
        self._read_at_ms, self._read_in_flight = now_ms, True
        return [ReadRow(self._key)]

    def _write(self, now_ms: int, epoch: int) -> list[Effect]:
        self._pending = self._begin_write(now_ms, epoch)
        return self._send_write()

    def _begin_write(self, now_ms: int, epoch: int) -> _PendingWrite:
        self._write_counter += 1
        token = f"{self._incarnation}:{self._write_counter}"
        return _PendingWrite(token, epoch, now_ms)

    def _send_write(self) -> list[Effect]:
        assert self._pending is not None
        value = dict(self._new_value(self._pending))
        if self._row is None:
            return [CreateRow(self._key, value)]
        return [WriteRow(self._key, value, self._row.version)]

    def _new_value(self, pending: _PendingWrite) -> LeaderRow:
        return {
            "epoch": pending.epoch,
            "host": self._settings.host,
            "address": self._settings.address,
            "token": pending.token,
            "beat": self._write_counter,
            "released": pending.released,
            "clean": pending.clean,
        }


def _version(row: Row | None) -> int:
    return 0 if row is None else row.version
