"""Drives the core object."""

import gc
from typing import Any

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.messages import Event, HostsListed, Tick
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..effects import EffectContext, OutcomeReceiver, Performer
from ..observability import Telemetry
from ..platform import PlatformClient, PlatformError
from ..workers import WorkerClient
from ._clock import clock_ms
from ._directory import HostDirectory
from ._poller import WorkerPolls
from ._scheduler import Scheduler

HOSTS_S = 1.0
METRICS_S = 10.0
# A core that asks for its next Tick at once must not keep the loop from others.
LEAST_TICK_MS = 1
LEADER_COLLECTS_AFTER = 50_000


class Runtime:
    """Feeds events to the core, performs its effects and keeps time."""

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
        self._performer = Performer(self._effect_context)
        self._polls = WorkerPolls(
            workers, telemetry, self.feed, settings.leadership.claim_lease_ms
        )
        self._polled: frozenset[tuple[str, str]] = frozenset()
        self._polled_epoch = 0
        self._wake_at_ms = 0
        self._woken = curio.Event()

    @property
    def scheduler(self) -> Scheduler:
        """The core object; its state is read only."""
        return self._scheduler

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def effect_context(self) -> EffectContext:
        """What effects are performed with."""
        return self._effect_context

    @property
    def is_leader(self) -> bool:
        """Whether this host is its zone's leader, serving or about to."""
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
        """Whether the core and the effects have nothing in flight."""
        return self._scheduler.is_drained and self._performer.in_flight == 0

    def status(self) -> dict[str, Any]:
        """Return what the core tells operators."""
        return self._scheduler.status(clock_ms())

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return what the core knows of a request."""
        return self._scheduler.request_state(key)

    def day_record(self) -> DayRecord:
        """Return what this host counted today as its zone's leader."""
        return self._scheduler.day_record(clock_ms())

    async def feed(self, event: Event) -> None:
        """Give the core an event and perform the effects."""
        now_ms = clock_ms()
        try:
            effects = self._scheduler.handle(event, now_ms)
        except Exception:
            # One event that the core fails on must not end the zone's leader, nor
            # each successor that gets the same event.
            self._telemetry.metrics.count("core.errors")
            self._telemetry.log.error(
                "event_failed", type=type(event).__name__, exc_info=True
            )
            return
        await self._polls.note(event)
        if effects:
            await self._polls.note_effects(effects)
            await self._performer.submit(effects)
        if self._scheduler.wake_ms(now_ms) < self._wake_at_ms:
            await self._woken.set()

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force."""
        self._configuration = configuration
        self._scheduler.configure(configuration)

    def drain(self) -> None:
        """Begin a graceful stop."""
        self._draining = True
        self._scheduler.drain()

    async def run(self) -> None:
        """Keep time until cancelled."""
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
                now_ms + LEAST_TICK_MS, self._scheduler.wake_ms(now_ms)
            )
            self._woken.clear()
            await self._sleep_until_woken()

    async def _sleep_until_woken(self) -> None:
        """Sleep until the next Tick is due, which an event can bring forward."""
        while True:
            left_ms = self._wake_at_ms - clock_ms()
            if left_ms <= 0:
                return
            await curio.ignore_after(left_ms / 1_000, self._woken.wait)
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
            except PlatformError as fault:
                self._telemetry.metrics.count("platform.hosts_failed")
                self._telemetry.log.debug("hosts_not_listed", reason=str(fault))
            else:
                self._directory.update(hosts, clock_ms())
                await self.feed(HostsListed(hosts.workers, hosts.entry_hosts))
            await curio.sleep(HOSTS_S)

    async def _update_polls(self) -> None:
        """Poll the workers that the core names, at the addresses known now."""
        wanted = self._directory.with_addresses(self._scheduler.workers_to_poll)
        epoch = self._scheduler.epoch
        if epoch != self._polled_epoch:
            # A new term needs all ends that a worker keeps, from the first one on.
            self._polled_epoch, self._polled = epoch, frozenset()
            _set_collection(is_leader=epoch > 0)
            await self._polls.set_workers(set())
        if wanted != self._polled:
            self._polled = wanted
            await self._polls.set_workers(set(wanted))

    async def _send_metrics(self) -> None:
        while True:
            await curio.sleep(METRICS_S)
            metrics = self._telemetry.metrics
            metrics.gauge("serving", int(self.serving))
            metrics.gauge("effects_in_flight", self._performer.in_flight)
            metrics.flush()


def _set_collection(is_leader: bool) -> None:
    """Collect cycles less often while this host leads.

    The core makes many short-lived tuples and no cycles; a request took a fifth
    longer in it with Python's default of 700 new objects. A follower keeps the
    default, because garbage counts against its memory.
    """
    if is_leader:
        gc.set_threshold(LEADER_COLLECTS_AFTER, 20, 20)
    else:
        gc.set_threshold(700, 10, 10)
