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
    withdrawn, so the next leader need not wait for such starts to expire.
    """

    epoch: int
    host: str
    address: str
    token: str
    beat: int
    released: bool
    clean: bool


class LeaderIdentity(NamedTuple):
    """The leader named by a leader row."""

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


class LeaderRowLease:
    """Acquire, renew and release the leader row.

    A host acquires the row after the row was released, or stayed unchanged for a whole
    lease on the host's own clock. Each clock may drift by `drift_percent`. So a
    candidate waits longer than the lease by that percentage, and the holder relies on a
    confirmed write for a time that is shorter than the lease by twice that percentage.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._key = leader_row_key(settings.availability_zone)
        self._row: Row | None = None
        self._was_read = False
        self._row_changed_at_ms = 0
        self._pending: _PendingWrite | None = None
        self._pending_is_unknown = False
        self._write_count = 0
        self._epoch = 0
        self._confirmed_at_ms = -(10**9)
        self._read_at_ms = -(10**9)
        self._read_in_flight = False
        self._is_candidate = True
        self._acquired_after_clean_release = False

    @property
    def epoch(self) -> int:
        """The epoch in which this host leads, or 0 when it does not lead."""
        return self._epoch

    @property
    def leader(self) -> LeaderIdentity | None:
        """The leader named by the last known row, or None if absent or released."""
        if self._row is None or self._value["released"]:
            return None
        value = self._value
        return LeaderIdentity(value["host"], value["address"], value["epoch"])

    @property
    def _value(self) -> LeaderRow:
        assert self._row is not None
        return cast(LeaderRow, self._row.value)

    @property
    def was_released_cleanly(self) -> bool:
        """Whether the row that this host acquired had been released cleanly."""
        return self._acquired_after_clean_release

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether this host certainly still holds the row.

        This is so until the lease, shortened for clock drift, has expired since the
        last successful write was sent. Another host can acquire the row only later.
        """
        leadership = self._settings.leadership
        trusted_ms = (
            leadership.row_lease_ms * (100 - 2 * leadership.drift_percent) // 100
        )
        return self._epoch > 0 and now_ms - self._confirmed_at_ms < trusted_ms

    def resign(self) -> None:
        """Stop leading without writing the row."""
        self._epoch = 0

    def stop_candidacy(self) -> None:
        """Stop acquiring the row, because this host is stopping."""
        self._is_candidate = False

    def tick(self, now_ms: int) -> list[Effect]:
        """Renew the row as its holder or read it as a follower, when that is due."""
        beat_ms = self._settings.leadership.beat_ms
        if self._epoch and self._pending is None:
            if now_ms - self._confirmed_at_ms >= beat_ms:
                return self._renew(now_ms)
            return []
        if self._pending is not None and not self._pending_is_unknown:
            return []
        interval_ms = beat_ms // 2
        if self._read_in_flight and now_ms - self._read_at_ms < 4 * beat_ms:
            return []
        if now_ms - self._read_at_ms < interval_ms:
            return []
        return self._read(now_ms)

    def release(self, now_ms: int, clean: bool) -> list[Effect]:
        """Release the row, so that the next leader need not wait for its expiry."""
        if not self._epoch or self._row is None:
            return []
        epoch, self._epoch = self._epoch, 0
        pending = self._begin_write(now_ms, epoch)
        self._pending = pending._replace(released=True, clean=clean)
        return self._send_write()

    def on_read(self, event: RowRead, now_ms: int) -> list[Effect]:
        """Process the row that was read, and acquire it if its lease has expired."""
        self._read_in_flight = False
        if not self._was_read or _version(event.row) != _version(self._row):
            self._row_changed_at_ms = now_ms
        self._row, self._was_read = event.row, True
        self._resolve_pending(now_ms)
        if self._pending is not None:
            return []
        if self._epoch:
            if self._row is None or not self._is_own_epoch():
                self._epoch = 0
                return []
            return []
        return self._try_acquire(now_ms)

    def on_read_failed(self) -> None:
        """Allow another read after the last one failed."""
        self._read_in_flight = False

    def on_write_reply(self, event: RowWriteReplied, now_ms: int) -> list[Effect]:
        """Process the reply to the pending write."""
        if self._pending is None:
            return []
        if event.status is WriteStatus.UNKNOWN:
            self._pending_is_unknown = True
            return []
        pending = self._pending
        self._pending, self._pending_is_unknown = None, False
        if event.status is WriteStatus.CONFLICT:
            return self._read(now_ms)
        value = self._new_value(pending)
        self._row = Row(self._key, dict(value), event.version)
        self._row_changed_at_ms = now_ms
        self._apply_write(pending)
        return []

    def _apply_write(self, pending: _PendingWrite) -> None:
        if pending.released:
            return
        self._epoch = pending.epoch
        self._confirmed_at_ms = pending.sent_at_ms

    def _resolve_pending(self, now_ms: int) -> None:
        """Determine from the row just read whether an unconfirmed write was applied."""
        pending = self._pending
        if pending is None or not self._pending_is_unknown:
            return
        self._pending, self._pending_is_unknown = None, False
        if self._row is not None and self._value["token"] == pending.token:
            self._apply_write(pending)

    def _is_own_epoch(self) -> bool:
        return self._value["epoch"] == self._epoch and self._value["token"].startswith(
            self._incarnation
        )

    def _try_acquire(self, now_ms: int) -> list[Effect]:
        if not self._is_candidate:
            return []
        if self._row is None:
            return self._write(now_ms, 1)
        leadership = self._settings.leadership
        lease_ms = leadership.row_lease_ms * (100 + leadership.drift_percent) // 100
        expired = now_ms - self._row_changed_at_ms >= lease_ms
        self._acquired_after_clean_release = self._value[
            "released"
        ] and self._value.get("clean", False)
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
        self._write_count += 1
        token = f"{self._incarnation}:{self._write_count}"
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
            "beat": self._write_count,
            "released": pending.released,
            "clean": pending.clean,
        }


def _version(row: Row | None) -> int:
    return 0 if row is None else row.version
