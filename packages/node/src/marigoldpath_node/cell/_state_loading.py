"""Loads the stored state at the start of a term of leadership."""

from typing import NamedTuple

import curio

from marigoldpath_core.fleet import (
    FleetScheduler,
    JobAccepted,
    JobCancelled,
    QueuesChanged,
    Tick,
    WorkerEntry,
)

from ._clock import now_ms, now_s, wall_ms
from ._codec import LeaderRow, Term
from ._commits import Committer
from ._ports import CellDependencies, StoreError
from ._records import LoadPlan, StateReader, StoredState, read_leader
from ._settings import CellSettings


class LoadedState(NamedTuple):
    """The stored state and the entries of the workers' directory."""

    stored: StoredState
    entries: tuple[WorkerEntry, ...]


class StateLoader:
    """Loads the state for one term, and keeps the leader's row meanwhile."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        term: Term,
        committer: Committer,
        plan: LoadPlan,
    ) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._directory = dependencies.directory
        self._log = dependencies.log
        self._term = term
        self._committer = committer
        self._reader = StateReader(dependencies.store, plan)
        self._start_s = now_s()
        self._is_done = False

    @property
    def overdue_s(self) -> float:
        """Seconds by which the time without progress exceeds `load_timeout_s`, or 0."""
        return max(0.0, self._reader.progress_age_s - self._settings.load_timeout_s)

    async def load(self) -> LoadedState | None:
        """Return the state, or None if another leader was elected meanwhile."""
        reply_s = self._settings.load_page_timeout_s
        while True:
            try:
                stored = await self._reader.read(reply_s)
                entries = await self._directory.list_workers()
                break
            except StoreError as error:
                self._log.warning(
                    "leader_load_failed", reason=repr(error), reply_s=reply_s
                )
            if await self._is_superseded():
                return None
            reply_s = min(2 * reply_s, self._settings.max_load_page_timeout_s)
            await curio.sleep(self._settings.commit_retry_s)
        self._is_done = True
        row = self._term.row
        self._log.info(
            "leader_loaded",
            epoch=row.epoch,
            jobs=len(stored.jobs),
            roster=len(stored.roster),
            workers=len(entries),
            ended=[(each.epoch, round(each.elapsed_ms)) for each in row.ended],
            took_ms=round(1_000 * (now_s() - self._start_s)),
        )
        return LoadedState(stored, entries)

    async def renew_row(self) -> bool:
        """Renew the leader's row until the state is loaded.

        The messages of a host with a slow link are late during the load. Others would
        replace it, and load as slowly. The row is not renewed while the load does not
        progress, so that a host that can load replaces this one. Return whether the row
        still belongs to this leader.
        """
        settings = self._settings
        deadline_s = self._start_s + settings.max_load_s
        while True:
            await curio.sleep(settings.commit_interval_s)
            if self._is_done or now_s() > deadline_s:
                return True
            if self._reader.progress_age_s > settings.load_progress_timeout_s:
                continue
            if not await self._committer.renew():
                return False

    async def _is_superseded(self) -> bool:
        """Return whether the leader's row belongs to another term or is missing.

        The result is False if the row cannot be read.
        """
        try:
            row, _ = await read_leader(self._store)
        except StoreError as error:
            self._log.info("leader_row_unread", reason=repr(error))
            return False
        own_row = self._term.row
        return row is None or (row.epoch, row.token) != (own_row.epoch, own_row.token)


def create_scheduler(
    settings: CellSettings,
    row: LeaderRow,
    row_written_s: float,
    stored: StoredState,
    queues_changed: QueuesChanged | None,
) -> FleetScheduler:
    """Return a scheduler with the stored jobs for the term that began with `row`.

    The row was last written at `row_written_s`. The load may have taken so long that
    this proves nothing any more.
    """
    scheduler = FleetScheduler(
        settings.fleet,
        row.epoch,
        stored.roster,
        now_ms(),
        row_confirmed_ms=1_000 * row_written_s,
        ended_leaders=row.ended,
    )
    if queues_changed is not None:
        scheduler.handle(queues_changed, now_ms())
    scheduler.handle(Tick(wall_ms()), now_ms())
    # The previous leader may have terminated after it removed a job's row and before it
    # removed the job's progress.
    scheduler.forget(tuple(set(stored.progress) - set(stored.jobs) - stored.unreadable))
    for job_id, stored_job in stored.jobs.items():
        if stored_job.is_cancelled:
            scheduler.handle(JobCancelled(job_id), now_ms())
        progress = stored.progress.get(job_id)
        scheduler.handle(JobAccepted(stored_job.job, progress), now_ms())
    return scheduler
