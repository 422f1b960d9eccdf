"""Keeps the jobs of a leader's scheduler equal to the stored ones."""

from collections.abc import Awaitable, Callable

import curio

from marigoldpath_core.fleet import (
    Event,
    FleetScheduler,
    JobAccepted,
    JobCancelled,
    JobsRead,
)

from ._clock import now_ms
from ._commits import Committer
from ._ports import CellDependencies, HistoryGoneError, StoreError
from ._records import (
    JOBS_TABLE,
    LoadPlan,
    cancelled_jobs,
    group_job_rows,
    read_all,
    remove_jobs,
)
from ._settings import CellSettings


class StateSync:
    """Reads the changes of the job table, and removes jobs that have expired.

    `version` is that of the store up to which all changes were read.
    """

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        plan: LoadPlan,
        version: int,
        handle: Callable[[Event], Awaitable[None]],
    ) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._log = dependencies.log
        self._plan = plan
        self._version = version
        self._handle = handle

    async def resync(self) -> None:
        """Read the changed job rows, because messages from other hosts may be lost."""
        while True:
            await curio.sleep(self._settings.resync_interval_s)
            read_start_ms = now_ms()
            try:
                changed = await self._store.changes(JOBS_TABLE, self._version, 0)
            except HistoryGoneError:
                self._log.info("sweep_history_gone", after=self._version)
                await self._read_all()
                continue
            except StoreError as error:
                self._log.warning("sweep_failed", reason=repr(error))
                continue
            await self._apply_rows(changed.rows)
            self._version = max(self._version, changed.version)
            await self._handle(JobsRead(read_start_ms))

    async def clean_up(self, scheduler: FleetScheduler, committer: Committer) -> None:
        """Remove the rows of jobs whose retention has expired."""
        while True:
            await curio.sleep(self._settings.cleanup_interval_s)
            expired_jobs = scheduler.expired_jobs(
                now_ms(), self._settings.max_jobs_per_commit // 2
            )
            if not expired_jobs:
                continue
            try:
                await remove_jobs(self._store, expired_jobs)
            except StoreError as error:
                self._log.info("jobs_not_removed", reason=repr(error))
                continue
            scheduler.forget(expired_jobs)
            await committer.wake()

    async def _read_all(self) -> None:
        read_start_ms = now_ms()
        try:
            stored = await read_all(self._store, self._plan)
        except StoreError as error:
            self._log.warning("sweep_failed", reason=repr(error))
            return
        for job_id, stored_job in stored.jobs.items():
            if stored_job.is_cancelled:
                await self._handle(JobCancelled(job_id))
            progress = stored.progress.get(job_id)
            await self._handle(JobAccepted(stored_job.job, progress))
        self._version = stored.version
        await self._handle(JobsRead(read_start_ms))

    async def _apply_rows(self, rows: tuple) -> None:
        for job_id in cancelled_jobs(rows):
            await self._handle(JobCancelled(job_id))
        for stored_job in group_job_rows(rows).values():
            await self._handle(JobAccepted(stored_job.job))
