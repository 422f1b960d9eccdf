"""The host processes, fakes and proxies of one run of the soak."""

import time
from collections.abc import Callable
from pathlib import Path
from random import Random

import curio

from marigoldpath_bench.fleet_simulation import Oracle
from marigoldpath_bench.platform_fakes import (
    FakeAdviceService,
    FakeStore,
    SimulatedWorkerServer,
)
from marigoldpath_node.http import HttpClient, HttpClientSettings

from ._hosts import SoakHost
from ._proxy import LoopbackProxy

SITE = "site.example"
URGENT_PREFIX = "/urgent/"
BACKGROUND_PREFIX = "/background/"
POLL_INTERVAL_S = 0.05


class Cell:
    """Entry hosts, workers, the store and the advice service, all on one machine.

    Each host has its own proxy to the store, and there is one proxy to each worker.
    """

    def __init__(self, random: Random, hosts: int, workers: int, folder: Path) -> None:
        self.random = random
        self.oracle = Oracle(wall_origin_ms=time.time() * 1_000)
        self.store = FakeStore()
        self.advice = FakeAdviceService()
        self.client = HttpClient(
            HttpClientSettings(connect_s=0.5, max_idle_connections=32)
        )
        self.workers = [
            SimulatedWorkerServer(
                f"w{number}", self.oracle, random, self.now_ms, self._advance_workers
            )
            for number in range(workers)
        ]
        self.hosts: list[SoakHost] = []
        self.worker_proxies: dict[str, LoopbackProxy] = {}
        self.version = 0
        # The end of the last unplanned fault; a planned stop must not drop requests.
        self.unplanned_fault_until_s = 0.0
        self._host_count = hosts
        self._folder = folder
        self._started_s = time.monotonic()

    def now_ms(self) -> float:
        """Return the milliseconds since the start of the run."""
        return (time.monotonic() - self._started_s) * 1000

    def _advance_workers(self) -> None:
        for worker in self.workers:
            worker.worker.advance(self.now_ms())

    async def start(self) -> None:
        """Start the fakes, the proxies and the host processes."""
        await self.store.start()
        await self.advice.start()
        for worker in self.workers:
            await worker.start()
            proxy = await self._start_proxy(worker.address)
            self.worker_proxies[worker.worker_id] = proxy
            self.write_worker_entry(worker)
        self.write_configuration()
        for number in range(self._host_count):
            proxy = await self._start_proxy(self.store.address)
            host = SoakHost(number, proxy, self.advice.address, self._folder)
            self.hosts.append(host)
            host.start()

    def write_worker_entry(
        self, worker: SimulatedWorkerServer, state: str = "ready"
    ) -> None:
        """Write the worker's entry with a state to the store."""
        address = self.worker_proxies[worker.worker_id].address
        self.store.put("servers", worker.worker_id, worker.entry(address, state))

    def write_configuration(self) -> None:
        """Write a new version of the configuration, which has two queues."""
        self.version += self.random.randint(1, 5)
        shared = {"host": SITE, "service": "service", "attempts": 3}
        advice = {"decide-ms": 20, "period-ms": 1, "valid-ms": 2_000}
        urgent = {"name": "urgent", "prefix": URGENT_PREFIX, "priority": 0}
        background = {"name": "background", "prefix": BACKGROUND_PREFIX, "priority": 2}
        routes = [
            {**shared, **urgent, "stretch": 1.5, "target-duration-ms": 300},
            {**shared, **background, "stretch": 2.2, "advice": advice},
        ]
        self.store.put("op", "config", {"version": self.version, "routes": routes})

    def record_unplanned_fault(self, duration_s: float) -> None:
        """Record an unplanned fault that lasts for `duration_s`."""
        self.unplanned_fault_until_s = max(
            self.unplanned_fault_until_s, time.monotonic() + duration_s
        )

    async def wait_until(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Wait until a condition holds; return False after the limit."""
        until_s = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > until_s:
                return False
            await curio.sleep(POLL_INTERVAL_S)
        return True

    async def _start_proxy(self, target: str) -> LoopbackProxy:
        proxy = LoopbackProxy(target)
        await curio.spawn(proxy.run, daemon=True)
        return proxy
