"""Runs the scheduler of the cell while this process is the leader."""

from typing import Any

import curio

from marigoldpath_core.fleet import (
    Event,
    FleetScheduler,
    JobAccepted,
    JobCancelled,
    QueuesChanged,
    Tick,
    WorkerEntry,
    WorkersListed,
)
from marigoldpath_core.jobs import AcceptedJob, JobState, Resources

from ._clock import now_ms, now_s, wall_ms
from ._codec import Term
from ._commits import Committer
from ._effect_runner import EffectRunner
from ._followers import Followers
from ._peers import PeerClient
from ._ports import (
    CellDependencies,
    Configuration,
    StoreError,
)
from ._reachability import Reachability
from ._records import plan_load
from ._relayed_workers import RelayedWorkerClient
from ._settings import CellSettings
from ._state_loading import StateLoader, create_scheduler
from ._state_sync import StateSync
from ._summary import JobsSummarizer, JobsSummary
from ._worker_polls import WorkerPolls


class Leader:
    """One term of leadership.

    `run` returns when the leadership is released or lost to another leader.
    """

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        followers: Followers,
        peers: PeerClient,
        term: Term,
    ) -> None:
        self._settings = settings
        self._workers = RelayedWorkerClient(
            settings, dependencies, followers, peers, term.row.epoch
        )
        dependencies = dependencies._replace(workers=self._workers)
        self._dependencies = dependencies
        self._store = dependencies.store
        self._directory = dependencies.directory
        self._log = dependencies.log
        self._metrics = dependencies.metrics
        self._followers = followers
        self._term = term
        self._scheduler: FleetScheduler | None = None
        self._committer = Committer(settings, dependencies, term)
        self._load_plan = plan_load(settings.link_mbps)
        self._loader = StateLoader(
            settings, dependencies, term, self._committer, self._load_plan
        )
        # The newest queues and workspaces; None until the configuration is known.
        self._queues_changed: QueuesChanged | None = None
        self._summarizer = JobsSummarizer()
        self._term_start_s = now_s()
        self._effect_runner = EffectRunner(
            settings, dependencies, self._workers, followers, self
        )
        self._polls = WorkerPolls(settings, dependencies, self._committer, self)
        self._dispatch_event = curio.Event()
        self._directory_event = curio.Event()
        self._term_ended = curio.Event()
        self._tasks: set[curio.Task] = set()

    @property
    def epoch(self) -> int:
        """The epoch of this term."""
        return self._term.row.epoch

    @property
    def is_serving(self) -> bool:
        """Whether the stored state has been loaded."""
        return self._scheduler is not None

    @property
    def store_age_s(self) -> float:
        """Seconds since the last successful commit was sent.

        While the stored state is still being loaded, the seconds by which the time
        without progress has exceeded `load_timeout_s`, or 0.
        """
        if self._scheduler is not None:
            return self._committer.commit_age_s
        return self._loader.overdue_s

    @property
    def may_send_commands(self) -> bool:
        """Whether this leader may start runs and renew leases now."""
        return self._scheduler is not None and self._scheduler.may_send_commands(
            now_ms()
        )

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job as callers see it.

        None means that the job is unknown or the stored state is not loaded yet.
        """
        return None if self._scheduler is None else self._scheduler.job_state(job_id)

    @property
    def summary(self) -> JobsSummary:
        """The summary of the open jobs, empty until the stored state was loaded."""
        return self._summarizer.summarize(self._scheduler)

    async def run(self) -> None:
        """Lead until the term ends."""
        try:
            await self.spawn(self._renew_loop)
            if not await self._load_state():
                await self.end("another leader was elected while the state was loaded")
            if self._term_ended.is_set():
                return
            loops = (
                self._commit_loop,
                self._directory_loop,
                self._tick_loop,
                self._dispatch_loop,
                self._transfer_loop,
                self._reachability_loop,
            )
            for loop in loops:
                await self.spawn(loop)
            await self.spawn(self._workers.run, self._count_workers)
            await self._term_ended.wait()
        finally:
            for task in list(self._tasks):
                await task.cancel(blocking=False)

    async def stop(self) -> None:
        """Store the remaining decisions and release the leadership."""
        await self._transfer_leadership(self._followers.choose_successor())

    async def _transfer_leadership(
        self, successor: str, unreachable_terms: int = 0
    ) -> None:
        if self._scheduler is not None:
            self._scheduler.retire()
        self._log.info("leadership_released", epoch=self.epoch, successor=successor)
        await self._committer.release(successor, unreachable_terms)
        await self._followers.notify_successor(successor)
        await self._term_ended.set()

    async def add_job(self, job: AcceptedJob) -> None:
        """Pass a stored job to the scheduler.

        While the stored state is still being loaded, the job is ignored, because the
        load or the first resynchronization reads it.
        """
        if self._scheduler is not None:
            await self.handle(JobAccepted(job))

    async def cancel_job(self, job_id: str) -> None:
        """Pass a stored cancellation to the scheduler.

        It is ignored while the stored state is still being loaded, as in `add_job`.
        """
        if self._scheduler is not None:
            await self.handle(JobCancelled(job_id))

    async def configure(
        self,
        configuration: Configuration,
        inherited_quotas: dict[str, Resources] | None = None,
    ) -> None:
        """Apply the queues and the workspaces of a new configuration.

        `inherited_quotas` are those of QueuesChanged, which are known at the beginning
        of the term.
        """
        if self._queues_changed is not None and inherited_quotas is None:
            inherited_quotas = self._queues_changed.inherited_quotas
        previous = self._queues_changed
        self._queues_changed = QueuesChanged(
            configuration.queues, configuration.workspaces, inherited_quotas
        )
        if self._scheduler is None:
            return
        await self.handle(self._queues_changed)
        if previous is None or _services(previous) != _services(self._queues_changed):
            # Entries that were ignored may be of a service that is configured now.
            await self._directory_event.set()

    async def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and execute the resulting effects."""
        assert self._scheduler is not None
        self._scheduler.handle(event, now_ms())
        await self._run_effects(type(event).__name__)

    async def _run_effects(self, cause: str) -> None:
        """Execute the effects of an event or a scheduling pass."""
        scheduler = self._scheduler
        assert scheduler is not None
        await self._effect_runner.run(scheduler.take_effects(), cause)
        if scheduler.is_superseded:
            await self.end("a later epoch was found")
        if scheduler.needs_dispatch:
            await self._dispatch_event.set()
        if scheduler.needs_commit:
            await self._committer.wake()

    def is_fenced(self, worker_id: str, restarts: int) -> bool:
        """Return whether the refusal of a command shows a leader of a later epoch."""
        scheduler = self._scheduler
        return scheduler is None or scheduler.is_fenced(worker_id, restarts)

    async def end(self, reason: str) -> None:
        """End the term because of a newer leader or an error."""
        if not self._term_ended.is_set():
            self._log.info("leadership_lost", epoch=self.epoch, reason=reason)
            await self._term_ended.set()

    async def _load_state(self) -> bool:
        """Create the scheduler; return whether this is still the newest leader."""
        loaded = await self._loader.load()
        if loaded is None:
            return False
        stored = loaded.stored
        if stored.unreadable:
            self._log.error("rows_unreadable", jobs=sorted(stored.unreadable))
        scheduler = create_scheduler(
            self._settings,
            self._term.row,
            self._committer.committed_s,
            stored,
            self._queues_changed,
        )
        self._scheduler = scheduler
        self._committer.use_scheduler(scheduler, stored.progress_parts)
        await self._apply_directory(loaded.entries)
        sync = StateSync(
            self._settings,
            self._dependencies,
            self._load_plan,
            stored.version,
            self.handle,
        )
        await self.spawn(sync.resync)
        await self.spawn(sync.clean_up, scheduler, self._committer)
        return True

    async def _renew_loop(self) -> None:
        if not await self._loader.renew_row():
            await self.end("the leader's row was replaced")

    async def _commit_loop(self) -> None:
        await self._committer.run()
        await self.end("the leader's row was replaced")

    async def _directory_loop(self) -> None:
        while True:
            await curio.ignore_after(
                self._settings.directory_interval_s, self._directory_event.wait
            )
            self._directory_event.clear()
            try:
                entries = await self._directory.list_workers()
            except StoreError as error:
                self._log.warning("directory_unavailable", reason=repr(error))
                continue
            await self._apply_directory(entries)

    async def _apply_directory(self, entries: tuple[WorkerEntry, ...]) -> None:
        await self.handle(WorkersListed(entries))
        assert self._scheduler is not None
        self._metrics.set_directory_entries(
            len(entries), self._scheduler.ignored_entries
        )
        await self._polls.follow(self._scheduler)

    async def _transfer_loop(self) -> None:
        """Transfer the leadership once a follower with a much larger host is found."""
        larger_host = ""
        while not larger_host:
            await curio.sleep(self._settings.transfer_interval_s)
            larger_host = self._followers.find_larger_host()
        await self._transfer_leadership(larger_host)

    async def _reachability_loop(self) -> None:
        """Transfer the leadership if this host reaches no majority of the workers."""
        assert self._scheduler is not None
        reachability = Reachability(self._settings, self._term.row.unreachable_terms)
        await reachability.wait_until_lost(self._scheduler)
        terms = reachability.unreachable_terms + 1
        counts = self._scheduler.count_reachable(now_ms())
        self._log.warning("workers_out_of_reach", terms=terms, **counts._asdict())
        await self._transfer_leadership(self._followers.choose_successor(), terms)

    async def _tick_loop(self) -> None:
        while True:
            due_s = now_s() + self._settings.tick_interval_s
            await curio.sleep(self._settings.tick_interval_s)
            # A process without enough processor time runs its timers late.
            lag_ms = 1_000 * max(0.0, now_s() - due_s)
            await self.handle(Tick(wall_ms(), self._advice_host_count(), lag_ms))
            scheduler = self._scheduler
            if scheduler is not None:
                self._metrics.set_lag(lag_ms / 1_000, scheduler.max_starts_in_flight)
                if scheduler.needs_relays:
                    self._workers.activate()

    def _advice_host_count(self) -> int:
        """Return the number of hosts that may send slow advice requests.

        Slow requests of this host would delay its urgent ones. It sends slow requests
        itself only if `follower_discovery_s` has passed and it has no followers.
        """
        if now_s() - self._term_start_s < self._settings.follower_discovery_s:
            return self._followers.count
        return max(1, self._followers.count)

    async def _dispatch_loop(self) -> None:
        assert self._scheduler is not None
        pause_s = self._settings.min_dispatch_interval_s
        while True:
            await self._dispatch_event.wait()
            await curio.sleep(pause_s)
            self._dispatch_event.clear()
            pass_start_s = now_s()
            self._scheduler.dispatch(now_ms())
            # Pausing for as long as the scheduling pass took leaves at least half of
            # the time to the other tasks.
            pass_s = now_s() - pass_start_s
            pause_s = max(self._settings.min_dispatch_interval_s, pass_s)
            await self._run_effects("scheduling pass")

    def _count_workers(self) -> int:
        return 0 if self._scheduler is None else len(self._scheduler.workers)

    async def spawn(self, function: Any, *arguments: Any) -> None:
        """Run a coroutine function as a curio task until the term ends.

        An unexpected error in the task ends the term.
        """
        self._tasks.add(
            await curio.spawn(self._run_guarded, function, *arguments, daemon=True)
        )

    async def _run_guarded(self, function: Any, *arguments: Any) -> None:
        # An error ends the term, because the state in memory may be inconsistent. The
        # next leader starts from the stored state.
        try:
            await function(*arguments)
        except Exception as error:
            self._log.exception("leader_task_failed", task=function.__name__)
            await self.end(f"{function.__name__} failed: {error!r}")
        finally:
            self._tasks.discard(await curio.current_task())


def _services(event: QueuesChanged) -> set[str]:
    return {queue.service for queue in event.queues.values()}
