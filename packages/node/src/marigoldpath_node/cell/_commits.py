"""Stores the scheduler's decisions, one transaction at a time."""

import curio

from marigoldpath_core.fleet import Commit, FleetScheduler

from ._clock import now_ms, now_s
from ._codec import LeaderRow, Term, decode_leader
from ._ports import (
    CellDependencies,
    Row,
    RowKey,
    StoreConflictError,
    StoreLostError,
    StoreRefusedError,
)
from ._records import LEADER_ROW_KEY, commit_rows, progress_row_key
from ._settings import CellSettings

# The store accepts 100 entries in a transaction, among them the expected version.
MAX_TRANSACTION_ROWS = 99
NOTHING_TO_STORE = Commit({}, {}, None, ())


class Committer:
    """Commits the scheduler's decisions together with the leader's row.

    Without a scheduler, as long as the stored state is being loaded, it writes the row
    alone.

    A transaction is applied only if the leader's row still has the version of the last
    commit. A transaction whose outcome is unknown is retried unchanged until the
    outcome is known: each transaction stores a new value of the row's `beat`, which
    shows whether an earlier attempt was applied.
    """

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        term: Term,
        scheduler: FleetScheduler | None = None,
    ) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._metrics = dependencies.metrics
        self._scheduler = scheduler
        self._row, self._version, self._committed_s = term
        self._log = dependencies.log
        self._wake_event = curio.Event()
        self._commit_done = curio.Event()
        self._is_failing = False
        self._lock = curio.Lock()
        # The number of stored rows of each progress that has more than one.
        self._progress_parts: dict[str, int] = {}

    @property
    def committed_s(self) -> float:
        """The time at which the last successful write of the row was sent."""
        return self._committed_s

    @property
    def commit_age_s(self) -> float:
        """Seconds since the last successful commit was sent."""
        return now_s() - self._committed_s

    def use_scheduler(
        self, scheduler: FleetScheduler, progress_parts: dict[str, int]
    ) -> None:
        """Store the decisions of a scheduler from now on.

        `progress_parts` are those of the stored state.
        """
        self._scheduler = scheduler
        self._progress_parts = dict(progress_parts)

    async def renew(self) -> bool:
        """Write the leader's row; return whether it still belongs to this leader."""
        async with self._lock:
            return await self._commit(released=False)

    async def wake(self) -> None:
        """Start the next commit without waiting for the end of the commit interval."""
        await self._wake_event.set()

    async def wait_for_commit(self) -> None:
        """Wait until a commit succeeds, for at most `commit_wait_s`."""
        commit_done = self._commit_done
        await curio.ignore_after(self._settings.commit_wait_s, commit_done.wait)

    async def run(self) -> None:
        """Commit until this leader releases its row or another leader replaces it."""
        while True:
            await curio.ignore_after(
                self._settings.commit_interval_s, self._wake_event.wait
            )
            if self._wake_event.is_set():
                await curio.sleep(self._settings.commit_batching_s)
            self._wake_event.clear()
            async with self._lock:
                if self._row.released or not await self._commit(released=False):
                    return

    async def release(self, successor: str, unreachable_terms: int = 0) -> None:
        """Try to store the remaining decisions and mark the leader's row as released.

        The attempt ends after `unresponsive_leader_timeout_s`. `unreachable_terms` is
        what the row says from then on.
        """
        # A commit may be in flight. This one must wait for it, because its condition
        # is the row version that the earlier commit returns.
        async with (
            curio.ignore_after(self._settings.unresponsive_leader_timeout_s),
            self._lock,
        ):
            self._row = self._row._replace(unreachable_terms=unreachable_terms)
            await self._commit(released=True, successor=successor)

    async def _commit(self, *, released: bool, successor: str = "") -> bool:
        """Commit and return whether the leader's row still belongs to this leader."""
        scheduler = self._scheduler
        row = self._row._replace(
            beat=self._row.beat + 1, released=released, successor=successor
        )
        if scheduler is not None:
            row = row._replace(ended=scheduler.ended_leaders(now_ms()))
        commit, rows, removals = self._begin_commit(row)
        try:
            while True:
                sent_s = now_s()
                version = await self._write(row, rows, removals)
                if version is not None:
                    break
                await curio.sleep(self._settings.commit_retry_s)
        except StoreConflictError as error:
            self._log.warning("commit_fenced", reason=str(error), epoch=row.epoch)
            if scheduler is not None:
                scheduler.commit_failed(commit)
            return False
        self._row, self._version = row, version
        self._record_parts(commit, rows)
        self._metrics.observe_call("commit", now_s() - sent_s)
        self._committed_s = sent_s
        if self._is_failing:
            self._log.info("store_regained", epoch=self._row.epoch)
        self._is_failing = False
        if scheduler is not None:
            await self._record_success(scheduler, commit, sent_s)
        return True

    def _begin_commit(
        self, row: LeaderRow
    ) -> tuple[Commit, dict[RowKey, bytes], tuple[RowKey, ...]]:
        """Return the changes to store, their rows and the rows to remove.

        The rows have `max_commit_bytes` at most, but the changes of one job are not
        divided.
        """
        max_row_bytes = self._settings.max_row_bytes
        if self._scheduler is None:
            rows = commit_rows(row, NOTHING_TO_STORE, max_row_bytes)
            return NOTHING_TO_STORE, rows, ()
        max_jobs = self._settings.max_jobs_per_commit
        while True:
            commit = self._scheduler.begin_commit(max_jobs)
            rows = commit_rows(row, commit, max_row_bytes)
            removals = self._obsolete_rows(commit, rows)
            size_bytes = sum(len(value) for value in rows.values())
            is_small = (
                size_bytes <= self._settings.max_commit_bytes
                and len(rows) + len(removals) <= MAX_TRANSACTION_ROWS
            )
            if is_small or max_jobs == 1:
                return commit, rows, removals
            self._scheduler.commit_failed(commit)
            max_jobs //= 2

    def _obsolete_rows(
        self, commit: Commit, rows: dict[RowKey, bytes]
    ) -> tuple[RowKey, ...]:
        """Return the rows of the jobs in a commit that it does not write again."""
        keys = [
            progress_row_key(job_id, part)
            for job_id in (*commit.progress, *commit.removed_jobs)
            for part in range(self._progress_parts.get(job_id, 1))
        ]
        return tuple(key for key in keys if key not in rows)

    def _record_parts(self, commit: Commit, rows: dict[RowKey, bytes]) -> None:
        for job_id in commit.removed_jobs:
            self._progress_parts.pop(job_id, None)
        for job_id in commit.progress:
            parts = 1
            while progress_row_key(job_id, parts) in rows:
                parts += 1
            if parts > 1:
                self._progress_parts[job_id] = parts
            else:
                self._progress_parts.pop(job_id, None)

    async def _write(
        self, row: LeaderRow, rows: dict[RowKey, bytes], removals: tuple[RowKey, ...]
    ) -> int | None:
        """Try the transaction once.

        Return the new version of the leader's row, or None if the write must be
        retried. Raises StoreConflictError if another leader has replaced the row.
        """
        try:
            expected = {LEADER_ROW_KEY: self._version}
            return await self._store.commit(expected, rows, removals)
        except StoreConflictError as error:
            stored = _find_leader_row(error.rows)
            if stored is None:
                raise
            stored_row = decode_leader(stored.value)
            if (stored_row.token, stored_row.beat) != (row.token, row.beat):
                raise
            return stored.version
        except (StoreRefusedError, StoreLostError) as error:
            if not self._is_failing:
                self._log.warning(
                    "store_lost", reason=repr(error), age_s=self.commit_age_s
                )
            self._is_failing = True
            return None

    async def _record_success(
        self, scheduler: FleetScheduler, commit: Commit, sent_s: float
    ) -> None:
        scheduler.commit_succeeded(commit, sent_s * 1000, now_ms())
        commit_done, self._commit_done = self._commit_done, curio.Event()
        await commit_done.set()
        if scheduler.needs_commit:
            await self.wake()


def _find_leader_row(rows: tuple[Row, ...]) -> Row | None:
    for row in rows:
        if row.key == LEADER_ROW_KEY and row.value:
            return row
    return None
