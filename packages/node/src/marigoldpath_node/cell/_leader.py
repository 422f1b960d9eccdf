"""Runs the fleet's scheduler while this process leads."""

from typing import Any

import curio

from marigoldpath_core.fleet import (
    Event,
    FleetScheduler,
    JobAccepted,
    JobCancelled,
    JobsRead,
    QueuesChanged,
    Tick,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import AcceptedJob, JobState, Queue

from ._clock import now_ms, now_s, wall_ms
from ._codec import Term
from ._commits import Committer
from ._effect_runner import Orders
from ._followers import Helpers
from ._ports import (
    FencedError,
    HistoryGoneError,
    StoreError,
    Surroundings,
    WorkerFailedError,
)
from ._records import (
    JOBS_TABLE,
    cancelled_jobs,
    read_all,
    read_leader,
    remove_jobs,
    sort_job_rows,
)
from ._settings import CellSettings


class Leader:
    """One term of leadership; `run` ends when a successor is noticed or on `stop`."""

    def __init__(
        self,
        settings: CellSettings,
        surroundings: Surroundings,
        helpers: Helpers,
        term: Term,
    ) -> None:
        self._settings = settings
        self._surroundings = surroundings
        self._store = surroundings.store
        self._workers = surroundings.workers
        self._directory = surroundings.directory
        self._log = surroundings.log
        self._helpers = helpers
        self._term = term
        self._scheduler: FleetScheduler | None = None
        self._committer: Committer | None = None
        self._queues: dict[str, Queue] = {}
        self._swept_version = 0
        self._began_s = now_s()
        self._looking: set[str] = set()
        self._orders = Orders(settings, surroundings, helpers, self)
        self._kick = curio.Event()
        self._ended = curio.Event()
        self._tasks: list[curio.Task] = []

    @property
    def epoch(self) -> int:
        """The epoch of this term."""
        return self._term.row.epoch

    @property
    def is_serving(self) -> bool:
        """Whether the stored jobs are loaded."""
        return self._scheduler is not None

    @property
    def store_age_s(self) -> float:
        """Seconds since the leader's row was last stored, or of a load in excess."""
        if self._committer is not None:
            return self._committer.age_s
        return max(0.0, now_s() - self._began_s - self._settings.load_s)

    @property
    def can_order(self) -> bool:
        """Whether this leader may start and renew anything now."""
        return self._scheduler is not None and self._scheduler.may_send_commands(
            now_ms()
        )

    def job_state(self, job_id: str) -> JobState | None:
        """Return what callers are told of a job, None when it is not known."""
        return None if self._scheduler is None else self._scheduler.job_state(job_id)

    def pending(self) -> dict[str, int]:
        """Return for each queue the number of jobs that have not started."""
        return {} if self._scheduler is None else self._scheduler.pending()

    async def run(self) -> None:
        """Lead until the term ends."""
        try:
            await self._load()
            if self._ended.is_set():
                return
            loops = (
                self._commit_loop,
                self._directory_loop,
                self._sweep_loop,
                self._tick_loop,
                self._dispatch_loop,
                self._retention_loop,
                self._yield_loop,
                self._hearing_loop,
            )
            for loop in loops:
                await self.spawn(loop)
            await self._ended.wait()
        finally:
            for task in list(self._tasks):
                await task.cancel(blocking=False)

    async def stop(self) -> None:
        """Store what is left and give the leadership up."""
        await self._hand_over(self._helpers.successor())

    async def _hand_over(self, successor: str) -> None:
        self._log.info("leadership_released", epoch=self.epoch, successor=successor)
        if self._committer is not None:
            await self._committer.release(successor)
        await self._ended.set()

    async def accept(self, job: AcceptedJob) -> None:
        """Take a stored job over."""
        if self._scheduler is not None:
            await self.handle(JobAccepted(job))

    async def cancel(self, job_id: str) -> None:
        """Take a stored cancellation over."""
        if self._scheduler is not None:
            await self.handle(JobCancelled(job_id))

    async def change_queues(self, queues: dict[str, Queue]) -> None:
        """Use the queues of a new configuration."""
        self._queues = queues
        if self._scheduler is not None:
            await self.handle(QueuesChanged(queues))

    async def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and perform what it asks for."""
        assert self._scheduler is not None
        self._scheduler.handle(event, now_ms())
        await self._perform()

    async def _perform(self) -> None:
        scheduler = self._scheduler
        assert scheduler is not None
        for effect in scheduler.take_effects():
            await self._orders.perform(effect)
        if scheduler.is_deposed:
            await self.end("a later epoch was noticed")
        if scheduler.needs_dispatch:
            await self._kick.set()
        if scheduler.needs_commit and self._committer is not None:
            await self._committer.kick()

    async def end(self, reason: str) -> None:
        """End the term because of a successor or a fault."""
        if not self._ended.is_set():
            self._log.info("leadership_lost", epoch=self.epoch, reason=reason)
            await self._ended.set()

    async def _load(self) -> None:
        started_ms = now_ms()
        reply_s = self._settings.load_reply_s
        while True:
            try:
                stored = await read_all(self._store, reply_s)
                entries = await self._directory.list_workers()
                break
            except StoreError as fault:
                self._log.warning(
                    "leader_load_failed", reason=repr(fault), reply_s=reply_s
                )
            if await self._is_replaced():
                await self.end("replaced while the stored state was read")
                return
            reply_s = min(2 * reply_s, self._settings.load_reply_most_s)
            await curio.sleep(self._settings.commit_retry_s)
        scheduler = FleetScheduler(
            self._settings.fleet, self.epoch, stored.roster, now_ms()
        )
        self._swept_version = stored.version
        scheduler.handle(QueuesChanged(self._queues), now_ms())
        scheduler.handle(Tick(wall_ms()), now_ms())
        # A predecessor may have removed the job's row and not yet its progress.
        scheduler.forget(tuple(set(stored.progress) - set(stored.jobs)))
        for job_id, stored_job in stored.jobs.items():
            if stored_job.is_cancelled:
                scheduler.handle(JobCancelled(job_id), now_ms())
            progress = stored.progress.get(job_id)
            scheduler.handle(JobAccepted(stored_job.job, progress), now_ms())
        self._scheduler = scheduler
        self._committer = Committer(
            self._settings, self._surroundings, scheduler, self._term
        )
        self._log.info(
            "leader_loaded",
            epoch=self.epoch,
            jobs=len(stored.jobs),
            roster=len(stored.roster),
            workers=len(entries),
            took_ms=round(now_ms() - started_ms),
        )
        await self.handle(WorkersListed(entries))
        await self._look_at_new_workers()

    async def _is_replaced(self) -> bool:
        """Return whether the leader's row is surely somebody else's."""
        try:
            row, _ = await read_leader(self._store)
        except StoreError as fault:
            self._log.info("leader_row_unread", reason=repr(fault))
            return False
        own = self._term.row
        return row is None or (row.epoch, row.token) != (own.epoch, own.token)

    async def _commit_loop(self) -> None:
        assert self._committer is not None
        await self._committer.run()
        await self.end("the leader's row was replaced")

    async def _directory_loop(self) -> None:
        while True:
            await curio.sleep(self._settings.directory_s)
            try:
                entries = await self._directory.list_workers()
            except StoreError as fault:
                self._log.warning("directory_unavailable", reason=repr(fault))
                continue
            await self.handle(WorkersListed(entries))
            await self._look_at_new_workers()

    async def _sweep_loop(self) -> None:
        """Find the jobs and cancellations of which no message came."""
        while True:
            await curio.sleep(self._settings.sweep_s)
            began_ms = now_ms()
            try:
                changed = await self._store.changes(JOBS_TABLE, self._swept_version, 0)
            except HistoryGoneError:
                self._log.info("sweep_history_gone", after=self._swept_version)
                await self._sweep_all()
                continue
            except StoreError as fault:
                self._log.warning("sweep_failed", reason=repr(fault))
                continue
            await self._take_rows(changed.rows)
            self._swept_version = max(self._swept_version, changed.version)
            await self.handle(JobsRead(began_ms))

    async def _sweep_all(self) -> None:
        began_ms = now_ms()
        try:
            stored = await read_all(self._store)
        except StoreError as fault:
            self._log.warning("sweep_failed", reason=repr(fault))
            return
        for job_id, stored_job in stored.jobs.items():
            if stored_job.is_cancelled:
                await self.handle(JobCancelled(job_id))
            await self.handle(JobAccepted(stored_job.job, stored.progress.get(job_id)))
        self._swept_version = stored.version
        await self.handle(JobsRead(began_ms))

    async def _take_rows(self, rows: tuple) -> None:
        for job_id in cancelled_jobs(rows):
            await self.handle(JobCancelled(job_id))
        for stored_job in sort_job_rows(rows).values():
            await self.handle(JobAccepted(stored_job.job))

    async def _retention_loop(self) -> None:
        """Remove the rows of jobs that ended long ago."""
        assert self._scheduler is not None and self._committer is not None
        while True:
            await curio.sleep(self._settings.retention_s)
            expired_jobs = self._scheduler.expired_jobs(
                now_ms(), self._settings.commit_jobs // 2
            )
            if not expired_jobs:
                continue
            try:
                await remove_jobs(self._store, expired_jobs)
            except StoreError as fault:
                self._log.info("jobs_not_removed", reason=repr(fault))
                continue
            self._scheduler.forget(expired_jobs)
            await self._committer.kick()

    async def _yield_loop(self) -> None:
        """Hand over to a much larger host once one calls."""
        larger = ""
        while not larger:
            await curio.sleep(self._settings.settled_s)
            larger = self._helpers.larger()
        await self._hand_over(larger)

    async def _hearing_loop(self) -> None:
        """Leave to another host when most workers are out of reach of this one.

        It may be cut off from them, or its link too slow for their lists; while it
        stores its row, no other host would replace it.
        """
        assert self._scheduler is not None
        heard_s = now_s()
        while now_s() - heard_s < self._settings.lonely_s:
            await curio.sleep(self._settings.watch_s)
            if (
                self._scheduler.is_majority_reachable(now_ms())
                or not self._scheduler.workers
            ):
                heard_s = now_s()
        self._log.warning("workers_out_of_reach", workers=len(self._scheduler.workers))
        await self._hand_over(self._helpers.successor())

    async def _tick_loop(self) -> None:
        while True:
            await curio.sleep(self._settings.tick_s)
            await self.handle(Tick(wall_ms(), self._askers()))

    def _askers(self) -> int:
        """Return how many hosts ask the advice service slow questions.

        Those of this host would stand before its urgent ones, so it asks them itself
        only where no other host calls.
        """
        if now_s() - self._began_s < self._settings.alone_s:
            return self._helpers.count
        return max(1, self._helpers.count)

    async def _dispatch_loop(self) -> None:
        assert self._scheduler is not None
        pause_s = self._settings.dispatch_gap_s
        while True:
            await self._kick.wait()
            await curio.sleep(pause_s)
            self._kick.clear()
            began_s = now_s()
            self._scheduler.dispatch(now_ms())
            # Passes over many steps leave time to everything else.
            took_s = now_s() - began_s
            pause_s = max(self._settings.dispatch_gap_s, took_s)
            await self._perform()

    async def _look_at_new_workers(self) -> None:
        assert self._scheduler is not None
        for worker_id in self._scheduler.workers:
            if worker_id not in self._looking:
                self._looking.add(worker_id)
                await self.spawn(self._look_loop, worker_id)

    async def _look_loop(self, worker_id: str) -> None:
        """Look at one worker again and again; each look renews its lease."""
        assert self._scheduler is not None and self._committer is not None
        failures = 0
        while True:
            order = self._scheduler.next_poll(worker_id, now_ms())
            if order is None:
                break
            try:
                report = await self._workers.look(worker_id, self.epoch, order)
            except FencedError:
                await self.end(f"worker {worker_id} has seen a later epoch")
                break
            except WorkerFailedError as fault:
                self._log.debug("look_failed", worker=worker_id, reason=repr(fault))
                await self.handle(WorkerUnresponsive(worker_id))
                settings = self._settings
                # One lost answer says little, so the first repeat is immediate.
                pause_s = min(settings.look_backoff_s, settings.look_retry_s * failures)
                failures += 1
                await curio.sleep(pause_s)
                continue
            failures = 0
            await self.handle(report)
            if self._scheduler.has_unstored_ends(worker_id):
                await self._committer.wait_for_commit()
            elif order.until_clock_ms is not None:
                await curio.sleep(self._settings.look_gap_s)
        self._looking.discard(worker_id)
        self._orders.forget(worker_id)

    async def spawn(self, function: Any, *arguments: Any) -> None:
        """Run a function beside the loops; an unforeseen fault ends the term."""
        self._tasks = [task for task in self._tasks if not task.terminated]
        self._tasks.append(
            await curio.spawn(self._guard, function, *arguments, daemon=True)
        )

    async def _guard(self, function: Any, *arguments: Any) -> None:
        # A successor starts from what is stored, without the state that led here.
        try:
            await function(*arguments)
        except Exception as fault:
            self._log.exception("leader_task_failed", task=function.__name__)
            await self.end(f"{function.__name__} failed: {fault!r}")
