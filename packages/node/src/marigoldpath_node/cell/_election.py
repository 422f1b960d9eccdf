"""Leader election: monitors the leader and acquires its row if the leader fails."""

from typing import NamedTuple

import curio

from marigoldpath_core.fleet import EndedLeaders, inherit_ended_leaders

from ._clock import now_s
from ._codec import LeaderRow, Term, decode_leader, encode_leader
from ._peers import (
    FollowerStatus,
    LeaderStatus,
    PeerClient,
    PeerError,
    PeerRefusedError,
    PeerUnreachableError,
)
from ._ports import CellDependencies, StoreConflictError, StoreError
from ._records import LEADER_ROW_KEY, read_leader
from ._settings import CellSettings
from ._store_health import StoreHealth

# What the first leader of a cell replaces.
FIRST_ROW = LeaderRow(0, "", "", ended=(EndedLeaders(0, 0.0),))


class Failover(NamedTuple):
    """When a host may acquire the leader's row, if the row does not change until then.

    `has_ended` says whether the row's leader certainly sends no more commands.
    """

    delay_s: float
    has_ended: bool


class Election:
    """Monitors the leader's row and its process on behalf of one entry host."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        peers: PeerClient,
        store_health: StoreHealth,
    ) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._log = dependencies.log
        self._peers = peers
        self._store_health = store_health
        self._leader: LeaderRow | None = None
        self._leader_status: LeaderStatus | None = None
        self._leader_status_s = 0.0
        self._is_stopped = False
        self._started_s = now_s()
        self._known_epoch = 0
        self._recheck_event = curio.Event()
        self._is_stale_leader_logged = False

    @property
    def leader(self) -> LeaderRow | None:
        """The leader's row, or None while no leader replies."""
        return self._leader

    @property
    def leader_status(self) -> LeaderStatus | None:
        """The last status that a leader returned, or None before the first one."""
        return self._leader_status

    @property
    def leader_status_age_s(self) -> float:
        """Seconds since the last status of a leader arrived."""
        return now_s() - self._leader_status_s

    @property
    def known_epoch(self) -> int:
        """The highest epoch that this host has seen."""
        return self._known_epoch

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch that this host has seen."""
        self._known_epoch = max(self._known_epoch, epoch)

    def stop(self) -> None:
        """Stop taking part in elections."""
        self._is_stopped = True

    async def run_until_elected(self) -> Term:
        """Follow the leader until this host is elected, and return its term."""
        while True:
            term = await self._find_leader()
            if term is not None:
                return term
            await self._monitor_leader()

    async def _monitor_leader(self) -> None:
        """Poll the leader; return when it is lost or its last commit is too old."""
        while self._leader is not None:
            await self._wait_for_next_check()
            try:
                status = await self._exchange_status(self._leader.address)
            except PeerError as error:
                self._drop_leader(repr(error))
                return
            if not status.epoch:
                self._drop_leader("the process is no longer the leader")
                return
            self._record_status(status)
            if status.store_age_s <= self._settings.max_commit_age_s:
                self._is_stale_leader_logged = False
                continue
            if not self._is_stale_leader_logged:
                self._log.info("leader_without_store", age_s=status.store_age_s)
            self._is_stale_leader_logged = True
            return

    async def recheck(self) -> None:
        """Check the leader at once, because a call to it failed."""
        await self._recheck_event.set()

    async def _wait_for_next_check(self) -> None:
        interval_s = self._settings.check_interval_s
        if self._leader_status is not None:
            interval_s = max(interval_s, self._leader_status.status_interval_s)
        await curio.ignore_after(interval_s, self._recheck_event.wait)
        self._recheck_event.clear()

    async def _find_leader(self) -> Term | None:
        """Find a leader or acquire its row.

        Return the term of this host if it is elected, or None once a leader replies.
        """
        unchanged_since_s = now_s()
        known_version = -1
        while True:
            if self._is_stopped:
                await curio.sleep(self._settings.check_interval_s)
                continue
            read_start_s = now_s()
            try:
                row, version = await read_leader(self._store)
            except StoreError as error:
                await self._store_health.record_call(
                    is_working=False, reason=repr(error)
                )
                known_version = -1
                if self._leader is not None:
                    return None
                await curio.sleep(self._settings.leader_row_read_interval_s)
                continue
            await self._store_health.record_call(is_working=True)
            read_s = now_s() - read_start_s
            if version != known_version:
                known_version, unchanged_since_s = version, now_s()
            failover = await self._plan_failover(row, read_s)
            if failover is None:
                return None
            if now_s() - unchanged_since_s >= failover.delay_s:
                term = await self._try_acquire(row, version, failover.has_ended)
                if term is not None:
                    return term
            await curio.sleep(self._settings.leader_row_read_interval_s)

    async def _plan_failover(
        self, row: LeaderRow | None, read_s: float
    ) -> Failover | None:
        """Return when this host may acquire the row, None if its leader is active.

        `read_s` is the time that the store took to return the row.
        """
        settings = self._settings
        failover = await self._plan_without_load(row)
        if failover is None or row is None:
            return failover
        delay_s = failover.delay_s
        if delay_s:
            # A slow store also delays the commits of the leader.
            delay_s += settings.slow_store_factor * read_s
        is_smaller = settings.cores * settings.larger_host_factor <= row.cores
        if is_smaller and not row.released:
            # A larger host that found the leader's process down, and not restarted,
            # waits this long itself.
            delay_s = max(delay_s, settings.refused_leader_timeout_s)
            delay_s += settings.smaller_host_delay_s
        return failover._replace(delay_s=delay_s)

    async def _plan_without_load(self, row: LeaderRow | None) -> Failover | None:
        """Return what follows from the row and its leader's reply.

        None means that the row's leader is active. The load of the store and the size
        of this host are not considered.
        """
        settings = self._settings
        if row is None:
            return Failover(0.0, has_ended=True)
        if row.released:
            return Failover(self._released_row_delay_s(row), has_ended=True)
        self.record_epoch(row.epoch)
        if row.address == settings.address:
            # The row was written by an earlier incarnation of this process, or by a
            # write of this one whose reply was lost.
            return Failover(0.0, has_ended=True)
        try:
            status = await self._exchange_status(row.address)
        except PeerRefusedError:
            return Failover(settings.refused_leader_timeout_s, has_ended=True)
        except PeerUnreachableError:
            return Failover(settings.refused_leader_timeout_s, has_ended=False)
        except PeerError:
            return Failover(settings.unresponsive_leader_timeout_s, has_ended=False)
        if status.token != row.token:
            # The leader's process has terminated: another incarnation replied.
            return Failover(0.0, has_ended=True)
        if not status.epoch:
            # The process may still learn that its write of the row succeeded.
            return Failover(settings.refused_leader_timeout_s, has_ended=False)
        self._leader = row
        self._record_status(status)
        if status.store_age_s > settings.max_commit_age_s:
            return Failover(settings.unresponsive_leader_timeout_s, has_ended=False)
        return None

    def _released_row_delay_s(self, row: LeaderRow) -> float:
        settings = self._settings
        if row.token == settings.token:
            # This process released the leadership, so other hosts may acquire the row
            # first.
            return settings.released_leader_delay_s
        is_preferred = row.successor in ("", settings.address)
        return 0.0 if is_preferred else settings.successor_timeout_s

    async def _exchange_status(self, address: str) -> LeaderStatus:
        settings = self._settings
        started_s = now_s() - self._started_s
        # A host that is stopping must not be named as the successor of a leader.
        can_lead = not self._store_health.is_unresponsive and not self._is_stopped
        own_status = FollowerStatus(
            settings.address, started_s, settings.cores, can_lead
        )
        return await self._peers.exchange_status(address, own_status)

    def _record_status(self, status: LeaderStatus) -> None:
        if not status.can_order and self._leader_status is not None:
            # A new leader that is still loading the stored jobs has not counted them.
            status = status._replace(pending=self._leader_status.pending)
        self._leader_status = status
        self._leader_status_s = now_s()
        self.record_epoch(status.epoch)

    def _drop_leader(self, reason: str) -> None:
        assert self._leader is not None
        self._log.info("leader_lost", address=self._leader.address, reason=reason)
        self._leader = None

    async def _try_acquire(
        self, row: LeaderRow | None, version: int, has_ended: bool
    ) -> Term | None:
        """Try to replace `row` by the row of a new term of this host.

        `has_ended` is whether the leader of `row` certainly sends no more commands.
        """
        previous = FIRST_ROW if row is None else row
        settings = self._settings
        epoch = previous.epoch + 1
        ended = inherit_ended_leaders(
            previous.ended, previous.epoch, has_ended=has_ended
        )
        own_row = LeaderRow(
            epoch,
            settings.address,
            settings.token,
            cores=settings.cores,
            ended=ended,
            unreachable_terms=previous.unreachable_terms if previous.released else 0,
        )
        sent_s = now_s()
        try:
            new_version = await self._store.commit(
                {LEADER_ROW_KEY: version}, {LEADER_ROW_KEY: encode_leader(own_row)}
            )
        except StoreConflictError as error:
            return self._term_from_conflict(error, own_row)
        except StoreError as error:
            # If the write was applied, the next read returns the row of this host.
            self._log.info("takeover_failed", epoch=epoch, reason=repr(error))
            return None
        return self._begin_term(own_row, new_version, sent_s)

    def _term_from_conflict(
        self, error: StoreConflictError, own_row: LeaderRow
    ) -> Term | None:
        for row in error.rows:
            if row.key == LEADER_ROW_KEY and row.value:
                stored_row = decode_leader(row.value)
                self.record_epoch(stored_row.epoch)
                if stored_row == own_row:
                    # An earlier write, whose reply was lost, was applied.
                    return self._begin_term(own_row, row.version, 0.0)
        return None

    def _begin_term(self, row: LeaderRow, version: int, written_s: float) -> Term:
        self._leader = None
        self.record_epoch(row.epoch)
        self._log.info("leadership_won", epoch=row.epoch, version=version)
        return Term(row, version, written_s)
