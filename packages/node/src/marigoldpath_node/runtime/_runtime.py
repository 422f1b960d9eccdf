"""Drives the scheduler."""

import gc
from typing import Any

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.messages import Event, HostsListed, Tick
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..effects import EffectContext, EffectExecutor, OutcomeReceiver
from ..observability import Telemetry
from ..platform import PlatformClient, PlatformError
from ..workers import WorkerClient
from ._clock import clock_ms
from ._directory import HostDirectory
from ._poller import WorkerPoller
from ._scheduler import Scheduler

HOST_LIST_INTERVAL_S = 1.0
METRICS_INTERVAL_S = 10.0
# A scheduler that requests its next Tick immediately must not starve the event loop's
# other tasks.
MIN_TICK_INTERVAL_MS = 1
LEADER_GC_THRESHOLD = 50_000


class Runtime:
    """Feeds events and ticks to the scheduler and executes its effects."""

    def __init__(
        self,
        settings: DaemonSettings,
        scheduler: Scheduler,
        *,
        platform: PlatformClient,
        workers: WorkerClient,
        outcomes: OutcomeReceiver,
        directory: HostDirectory,
        telemetry: Telemetry,
    ) -> None:
        self._scheduler = scheduler
        self._platform = platform
        self._directory = directory
        self._telemetry = telemetry
        self._configuration = Configuration(kinds=settings.kinds)
        self._draining = False
        self._effect_context = EffectContext(
            platform,
            workers,
            outcomes,
            telemetry,
            self.feed,
            directory.worker_address,
        )
        self._executor = EffectExecutor(self._effect_context)
        self._poller = WorkerPoller(
            workers, telemetry, self.feed, settings.leadership.claim_lease_ms
        )
        self._polled_workers: frozenset[tuple[str, str]] = frozenset()
        self._polled_epoch = 0
        self._wake_at_ms = 0
        self._woken = curio.Event()

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler; callers only read its state."""
        return self._scheduler

    @property
    def configuration(self) -> Configuration:
        """The active configuration."""
        return self._configuration

    @property
    def effect_context(self) -> EffectContext:
        """The dependencies of effect handlers."""
        return self._effect_context

    @property
    def is_leader(self) -> bool:
        """Whether this host is its zone's leader, even if it is not serving yet."""
        return self._scheduler.epoch > 0

    @property
    def serving(self) -> bool:
        """Whether this host is its zone's leader and decides on requests."""
        return self._scheduler.is_serving(clock_ms())

    @property
    def draining(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._draining

    @property
    def is_drained(self) -> bool:
        """Whether the scheduler is drained and no effect is in flight."""
        return self._scheduler.is_drained and self._executor.in_flight == 0

    def status(self) -> dict[str, Any]:
        """Return the scheduler's status for operators."""
        return self._scheduler.status(clock_ms())

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request, or None if it is unknown."""
        return self._scheduler.request_state(key)

    def day_record(self) -> DayRecord:
        """Return today's statistics of this host as its zone's leader."""
        return self._scheduler.day_record(clock_ms())

    async def feed(self, event: Event) -> None:
        """Process an event in the scheduler and submit the resulting effects."""
        now_ms = clock_ms()
        try:
            effects = self._scheduler.handle(event, now_ms)
        except Exception:
            # An event that the scheduler fails on must not terminate the zone's leader,
            # nor every later leader that receives the same event.
            self._telemetry.metrics.count("core.errors")
            self._telemetry.log.error(
                "event_failed", type=type(event).__name__, exc_info=True
            )
            return
        await self._poller.observe_event(event)
        if effects:
            await self._poller.observe_effects(effects)
            await self._executor.submit(effects)
        if self._scheduler.wake_ms(now_ms) < self._wake_at_ms:
            await self._woken.set()

    def configure(self, configuration: Configuration) -> None:
        """Make a configuration active."""
        self._configuration = configuration
        self._scheduler.configure(configuration)

    def drain(self) -> None:
        """Begin a graceful stop."""
        self._draining = True
        self._scheduler.drain()

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(self._tick)
            await tasks.spawn(self._list_hosts)
            await tasks.spawn(self._send_metrics)

    async def _tick(self) -> None:
        while True:
            await self.feed(Tick())
            await self._update_polls()
            now_ms = clock_ms()
            self._wake_at_ms = max(
                now_ms + MIN_TICK_INTERVAL_MS, self._scheduler.wake_ms(now_ms)
            )
            self._woken.clear()
            await self._sleep_until_woken()

    async def _sleep_until_woken(self) -> None:
        """Sleep until the next Tick is due; an event can make it due earlier."""
        while True:
            remaining_ms = self._wake_at_ms - clock_ms()
            if remaining_ms <= 0:
                return
            await curio.ignore_after(remaining_ms / 1_000, self._woken.wait)
            if not self._woken.is_set():
                return
            self._woken.clear()
            self._wake_at_ms = min(
                self._wake_at_ms, self._scheduler.wake_ms(clock_ms())
            )

    async def _list_hosts(self) -> None:
        while True:
            try:
                hosts = await self._platform.hosts()
            except PlatformError as error:
                self._telemetry.metrics.count("platform.hosts_failed")
                self._telemetry.log.debug("hosts_not_listed", reason=str(error))
            else:
                self._directory.update(hosts, clock_ms())
                await self.feed(HostsListed(hosts.workers, hosts.entry_hosts))
            await curio.sleep(HOST_LIST_INTERVAL_S)

    async def _update_polls(self) -> None:
        """Poll the workers that the scheduler names, at their current addresses."""
        wanted = self._directory.with_addresses(self._scheduler.workers_to_poll)
        epoch = self._scheduler.epoch
        if epoch != self._polled_epoch:
            # A new term must read all terminations that the workers retain, from the
            # first one.
            self._polled_epoch, self._polled_workers = epoch, frozenset()
            _configure_garbage_collector(is_leader=epoch > 0)
            await self._poller.set_workers(set())
        if wanted != self._polled_workers:
            self._polled_workers = wanted
            await self._poller.set_workers(set(wanted))

    async def _send_metrics(self) -> None:
        while True:
            await curio.sleep(METRICS_INTERVAL_S)
            metrics = self._telemetry.metrics
            metrics.gauge("serving", int(self.serving))
            metrics.gauge("effects_in_flight", self._executor.in_flight)
            metrics.flush()


def _configure_garbage_collector(is_leader: bool) -> None:
    """Run the garbage collector less often while this host leads.

    The scheduler allocates many short-lived tuples and no cycles. With Python's default
    threshold of 700 new objects, a request took a fifth longer in the scheduler. A
    follower keeps the default, because uncollected garbage adds to its memory use.
    """
    if is_leader:
        gc.set_threshold(LEADER_GC_THRESHOLD, 20, 20)
    else:
        gc.set_threshold(700, 10, 10)
