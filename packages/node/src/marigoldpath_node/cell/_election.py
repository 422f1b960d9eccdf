"""Finds the leader, watches it and takes over from one that is lost."""

from typing import Protocol

import curio

from ._clock import now_s
from ._codec import LeaderRow, Term, decode_leader, encode_leader
from ._peers import (
    HelpOffer,
    LeaderView,
    PeerClient,
    PeerError,
    PeerUnreachableError,
)
from ._ports import StoreConflictError, StoreError, Surroundings
from ._records import LEADER_ROW, read_leader
from ._settings import CellSettings


class StoreWatch(Protocol):
    """What this host knows of its way to the store."""

    @property
    def is_store_suspect(self) -> bool:
        """Whether the store did not answer the last call of this host."""
        ...

    def note_store(self, *, is_working: bool, reason: str = "") -> None:
        """Note whether the store answers this host."""
        ...


class Election:
    """Watches the leader's row and its process on behalf of one entry host."""

    def __init__(
        self,
        settings: CellSettings,
        surroundings: Surroundings,
        peers: PeerClient,
        store_watch: StoreWatch,
    ) -> None:
        self._settings = settings
        self._store = surroundings.store
        self._log = surroundings.log
        self._peers = peers
        self._store_watch = store_watch
        self._leader: LeaderRow | None = None
        self._view: LeaderView | None = None
        self._is_stopped = False
        self._started_s = now_s()
        self._known_epoch = 0
        self._is_trouble_told = False

    @property
    def leader(self) -> LeaderRow | None:
        """The leader that answered last, if it still does."""
        return self._leader

    @property
    def view(self) -> LeaderView | None:
        """What the leader told last."""
        return self._view

    @property
    def known_epoch(self) -> int:
        """The latest epoch that this host has heard of."""
        return self._known_epoch

    def note_epoch(self, epoch: int) -> None:
        """Note an epoch that a term of this host has."""
        self._known_epoch = max(self._known_epoch, epoch)

    def stop(self) -> None:
        """Take part no longer."""
        self._is_stopped = True

    async def win(self) -> Term:
        """Follow the leader and return once this host has become the leader."""
        while True:
            term = await self._find()
            if term is not None:
                return term
            await self._watch()

    async def _watch(self) -> None:
        """Return when the leader is lost or cannot store anything."""
        while self._leader is not None:
            await curio.sleep(self._settings.watch_s)
            try:
                view = await self._ask(self._leader.address)
            except PeerError as fault:
                self._lose(repr(fault))
                return
            if not view.epoch:
                self._lose("it does not lead any more")
                return
            self._take_view(view)
            if view.store_age_s <= self._settings.store_trouble_s:
                self._is_trouble_told = False
                continue
            if not self._is_trouble_told:
                self._log.info("leader_without_store", age_s=view.store_age_s)
            self._is_trouble_told = True
            return

    async def _find(self) -> Term | None:
        """Return a term of this host, or None once a leader answers."""
        unchanged_since_s = now_s()
        known = -1
        while True:
            if self._is_stopped:
                await curio.sleep(self._settings.watch_s)
                continue
            asked_s = now_s()
            try:
                row, version = await read_leader(self._store)
            except StoreError as fault:
                self._store_watch.note_store(is_working=False, reason=repr(fault))
                known = -1
                if self._leader is not None:
                    return None
                await curio.sleep(self._settings.election_read_s)
                continue
            self._store_watch.note_store(is_working=True)
            read_s = now_s() - asked_s
            if version != known:
                known, unchanged_since_s = version, now_s()
            limit_s = await self._limit_s(row, read_s)
            if limit_s is None:
                return None
            if now_s() - unchanged_since_s >= limit_s:
                term = await self._replace(row, version)
                if term is not None:
                    return term
            await curio.sleep(self._settings.election_read_s)

    async def _limit_s(self, row: LeaderRow | None, read_s: float) -> float | None:
        """Return how long the row must stay unchanged, None when its leader leads.

        `read_s` is the time that the store took to tell the row.
        """
        settings = self._settings
        limit_s = await self._patience_s(row)
        if limit_s is None or row is None:
            return limit_s
        if limit_s:
            # A leader's commits come more slowly where the store is slow.
            limit_s += settings.slow_store_factor * read_s
        is_smaller = settings.cores * settings.larger_factor <= row.cores
        if is_smaller and not row.released:
            limit_s += settings.smaller_s
        return limit_s

    async def _patience_s(self, row: LeaderRow | None) -> float | None:
        """Return how long the row must stay unchanged, None when its leader leads."""
        settings = self._settings
        if row is None:
            return 0.0
        if row.released:
            if row.token == settings.token:
                # This process has left the leadership to others.
                return settings.left_s
            is_named = row.successor in ("", settings.address)
            return 0.0 if is_named else settings.successor_s
        self.note_epoch(row.epoch)
        if row.address == settings.address:
            # An earlier life of this process; it is over.
            return 0.0
        try:
            view = await self._ask(row.address)
        except PeerUnreachableError:
            return settings.refused_s
        except PeerError:
            return settings.silent_s
        if view.token != row.token:
            # The process that led is gone: another one answers at its address.
            return 0.0
        if not view.epoch:
            return settings.refused_s
        self._leader = row
        self._take_view(view)
        if view.store_age_s > settings.store_trouble_s:
            return settings.silent_s
        return None

    async def _ask(self, address: str) -> LeaderView:
        settings = self._settings
        started_s = now_s() - self._started_s
        has_store = not self._store_watch.is_store_suspect
        offer = HelpOffer(settings.address, started_s, settings.cores, has_store)
        return await self._peers.view(address, offer)

    def _take_view(self, view: LeaderView) -> None:
        self._view = view
        self.note_epoch(view.epoch)

    def _lose(self, reason: str) -> None:
        assert self._leader is not None
        self._log.info("leader_lost", address=self._leader.address, reason=reason)
        self._leader = None

    async def _replace(self, row: LeaderRow | None, version: int) -> Term | None:
        """Try to become the leader after `row`."""
        epoch = 1 if row is None else row.epoch + 1
        settings = self._settings
        own = LeaderRow(epoch, settings.address, settings.token, cores=settings.cores)
        try:
            won = await self._store.commit(
                {LEADER_ROW: version}, {LEADER_ROW: encode_leader(own)}
            )
        except StoreConflictError as fault:
            return self._own_term(fault, own)
        except StoreError as fault:
            # If the write took effect, the row is found with this host's token.
            self._log.info("takeover_failed", epoch=epoch, reason=repr(fault))
            return None
        return self._won(own, won)

    def _own_term(self, fault: StoreConflictError, own: LeaderRow) -> Term | None:
        for row in fault.rows:
            if row.key == LEADER_ROW and row.value:
                found = decode_leader(row.value)
                self.note_epoch(found.epoch)
                if found == own:
                    return self._won(own, row.version)
        return None

    def _won(self, row: LeaderRow, version: int) -> Term:
        self._leader = None
        self.note_epoch(row.epoch)
        self._log.info("leadership_won", epoch=row.epoch, version=version)
        return Term(row, version)
