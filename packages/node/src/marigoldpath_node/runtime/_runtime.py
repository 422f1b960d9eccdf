"""Drives the core object."""

from typing import Any

import curio

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.messages import Event, HostsListed, Tick
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..effects import EffectContext, OutcomeReceiver, Performer
from ..observability import Observer
from ..platform import PlatformClient, PlatformError
from ..workers import WorkerClient
from ._clock import monotonic_ms
from ._directory import HostDirectory
from ._polls import WorkerPolls
from ._scheduler import Scheduler

TICK_S = 0.1
HOSTS_S = 1.0
METRICS_S = 10.0


class Runtime:
    """Feeds events to the core, performs its effects and keeps time."""

    def __init__(
        self,
        settings: DaemonSettings,
        scheduler: Scheduler,
        platform: PlatformClient,
        workers: WorkerClient,
        outcomes: OutcomeReceiver,
        directory: HostDirectory,
        observer: Observer,
    ) -> None:
        self._settings = settings
        self._scheduler = scheduler
        self._platform = platform
        self._directory = directory
        self._observer = observer
        self._configuration = Configuration(kinds=settings.kinds)
        self._draining = False
        self._performer = Performer(
            EffectContext(
                platform,
                workers,
                outcomes,
                observer,
                self.feed,
                directory.worker_address,
            )
        )
        self._polls = WorkerPolls(workers, observer, self.feed)
        self._polled: tuple[bool, int] = (False, 0)
        self._lists = 0

    @property
    def scheduler(self) -> Scheduler:
        """The core object; its state is read only."""
        return self._scheduler

    @property
    def configuration(self) -> Configuration:
        """The configuration in force."""
        return self._configuration

    @property
    def leads(self) -> bool:
        """Whether this host is its zone's leader, serving or about to."""
        leader = self._scheduler.leader
        return leader is not None and leader[0] == self._settings.host

    @property
    def draining(self) -> bool:
        """Whether a graceful stop has begun."""
        return self._draining

    @property
    def is_drained(self) -> bool:
        """Whether the core and the effects have nothing in flight."""
        return self._scheduler.is_drained and self._performer.in_flight == 0

    async def feed(self, event: Event) -> None:
        """Give the core an event and perform the effects."""
        try:
            effects = self._scheduler.handle(event, monotonic_ms())
        except Exception:
            # One event that the core fails on must not end the zone's leader, nor
            # each successor that gets the same event.
            self._observer.metrics.count("core.errors")
            self._observer.log.error(
                "event failed", type=type(event).__name__, exc_info=True
            )
            return
        if effects:
            await self._performer.submit(effects)

    async def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force."""
        self._configuration = configuration
        await self._performer.submit(self._scheduler.configure(configuration) or ())

    async def drain(self) -> None:
        """Begin a graceful stop."""
        if not self._draining:
            self._draining = True
            await self._performer.submit(self._scheduler.drain() or ())

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return what the core knows of a request."""
        return self._scheduler.request_state(key)

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
            await curio.sleep(TICK_S)

    async def _list_hosts(self) -> None:
        while True:
            await self._list_hosts_once()
            await curio.sleep(HOSTS_S)

    async def _list_hosts_once(self) -> None:
        try:
            hosts = await self._platform.hosts()
        except PlatformError as fault:
            self._observer.metrics.count("platform.hosts_failed")
            self._observer.log.debug("hosts not listed", reason=str(fault))
            return
        self._directory.update(hosts, monotonic_ms())
        self._lists += 1
        await self.feed(HostsListed(hosts.workers, hosts.entry_hosts))

    async def _update_polls(self) -> None:
        wanted = (self.leads, self._lists)
        if wanted == self._polled:
            return
        self._polled = wanted
        zone = self._settings.availability_zone
        workers = self._directory.workers_in(zone) if self.leads else []
        await self._polls.set_workers(workers)

    async def _send_metrics(self) -> None:
        while True:
            await curio.sleep(METRICS_S)
            metrics = self._observer.metrics
            metrics.gauge("serving", int(self._scheduler.serving))
            metrics.gauge("effects_in_flight", self._performer.in_flight)
            metrics.flush()
