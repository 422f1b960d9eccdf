"""Stores what the scheduler decided, one transaction after another."""

import curio

from marigoldpath_core.fleet import Commit, FleetScheduler

from ._clock import now_ms, now_s
from ._codec import LeaderRow, Term, decode_leader
from ._ports import (
    Row,
    RowKey,
    StoreConflictError,
    StoreLostError,
    StoreRefusedError,
    Surroundings,
)
from ._records import LEADER_ROW, commit_rows, progress_row
from ._settings import CellSettings


class Committer:
    """Commits under the condition that the leader's row is as this leader wrote it.

    A transaction whose outcome is unknown is repeated unchanged until it is known, so
    that the row's beat tells whether it was applied.
    """

    def __init__(
        self,
        settings: CellSettings,
        surroundings: Surroundings,
        scheduler: FleetScheduler,
        term: Term,
    ) -> None:
        self._settings = settings
        self._store = surroundings.store
        self._metrics = surroundings.metrics
        self._scheduler = scheduler
        self._row, self._version = term
        self._log = surroundings.log
        self._kick = curio.Event()
        self._done = curio.Event()
        self._stored_s = now_s()
        self._is_failing = False
        self._lock = curio.Lock()

    @property
    def age_s(self) -> float:
        """Seconds since the last commit was stored."""
        return now_s() - self._stored_s

    async def kick(self) -> None:
        """Let the next commit begin soon."""
        await self._kick.set()

    async def wait_for_commit(self) -> None:
        """Wait for the end of the next commit, for a bounded time."""
        done = self._done
        await curio.ignore_after(self._settings.stored_ends_wait_s, done.wait)

    async def run(self) -> None:
        """Commit until the leader's row is somebody else's."""
        while True:
            await curio.ignore_after(self._settings.beat_s, self._kick.wait)
            if self._kick.is_set():
                await curio.sleep(self._settings.commit_gap_s)
            self._kick.clear()
            async with self._lock:
                if self._row.released or not await self._commit(released=False):
                    return

    async def release(self, successor: str) -> None:
        """Store what is left and mark the row as free, if that is soon done."""
        # One commit may be under way, and its end decides the next condition.
        async with curio.ignore_after(self._settings.silent_s), self._lock:
            await self._commit(released=True, successor=successor)

    async def _commit(self, *, released: bool, successor: str = "") -> bool:
        """Return whether the row is still this leader's."""
        commit = self._scheduler.begin_commit(self._settings.commit_jobs)
        row = self._row._replace(
            beat=self._row.beat + 1, released=released, successor=successor
        )
        rows = commit_rows(row, commit)
        removals = tuple(progress_row(job_id) for job_id in commit.removed_jobs)
        try:
            while True:
                sent_s = now_s()
                version = await self._try(row, rows, removals)
                if version is not None:
                    break
                await curio.sleep(self._settings.commit_retry_s)
        except StoreConflictError as fault:
            self._log.warning("commit_fenced", reason=str(fault), epoch=row.epoch)
            self._scheduler.commit_failed(commit)
            return False
        self._row, self._version = row, version
        self._metrics.observe_call("commit", now_s() - sent_s)
        self._stored_s = sent_s
        await self._note_stored(commit, sent_s)
        return True

    async def _try(
        self, row: LeaderRow, rows: dict[RowKey, bytes], removals: tuple[RowKey, ...]
    ) -> int | None:
        """Return the new version of the row, or None when it must be tried again."""
        try:
            expected = {LEADER_ROW: self._version}
            return await self._store.commit(expected, rows, removals)
        except StoreConflictError as fault:
            stored = _leader_in(fault.rows)
            if stored is None:
                raise
            found = decode_leader(stored.value)
            if (found.token, found.beat) != (row.token, row.beat):
                raise
            return stored.version
        except (StoreRefusedError, StoreLostError) as fault:
            if not self._is_failing:
                self._log.warning("store_lost", reason=repr(fault), age_s=self.age_s)
            self._is_failing = True
            return None

    async def _note_stored(self, commit: Commit, sent_s: float) -> None:
        if self._is_failing:
            self._log.info("store_regained", epoch=self._row.epoch)
        self._is_failing = False
        self._scheduler.commit_succeeded(commit, sent_s * 1000, now_ms())
        done, self._done = self._done, curio.Event()
        await done.set()
        if self._scheduler.needs_commit:
            await self.kick()


def _leader_in(rows: tuple[Row, ...]) -> Row | None:
    for row in rows:
        if row.key == LEADER_ROW and row.value:
            return row
    return None
