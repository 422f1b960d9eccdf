"""Process manager for a run of a deployment."""

import random
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any, NamedTuple, Self

import curio

from marigoldpath_bench.deployment import (
    REPOSITORY_ROOT,
    ProcessPlan,
    RunPlan,
    write_run,
)
from marigoldpath_node.http import HttpClient, HttpClientSettings, HttpError

from ._process import ManagedProcess

LOWEST_PORT = 20_000
# The system assigns ports above this one to outgoing connections.
HIGHEST_PORT = 32_000
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 3.0
DAEMON_PACKAGES = ("core", "node")
FAKE_PACKAGES = ("core", "node", "cli", "bench")


class FleetError(Exception):
    """A process could not be started or managed, or the fleet was not ready in time."""


class ZoneLeader(NamedTuple):
    """The leader of a zone according to the leader row in the table."""

    host: str
    epoch: int


def free_base_port(count: int, seed: int | None = None) -> int:
    """Return the first of `count` consecutive unused ports.

    Raise FleetError if 50 random ranges all contain a port in use.
    """
    rng = random.Random(seed)
    for _ in range(50):
        base = rng.randrange(LOWEST_PORT, HIGHEST_PORT - count)
        if all(_is_free(base + number) for number in range(count)):
            return base
    raise FleetError(f"no {count} consecutive free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Fleet:
    """Process manager that stops every process on exit, also after an exception."""

    def __init__(self, plan: RunPlan, daemon_python: str) -> None:
        self._plan = plan
        self._daemon_python = daemon_python
        self._processes: dict[str, ManagedProcess] = {}
        self._client = HttpClient(HttpClientSettings(connect_s=0.5, reply_s=2.0))

    def __enter__(self) -> Self:
        write_run(self._plan)
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    @property
    def plan(self) -> RunPlan:
        """The processes and files of the run."""
        return self._plan

    @property
    def processes(self) -> dict[str, ManagedProcess]:
        """The processes started so far by name; a restart replaces the entry."""
        return self._processes

    @property
    def daemon_addresses(self) -> list[str]:
        """The addresses of the entry hosts."""
        return [daemon.address for daemon in self._plan.daemons]

    async def start(self, timeout_s: float = 60.0) -> None:
        """Start all processes and wait until every zone has a serving leader."""
        await self.start_platform_and_workers()
        for daemon in self._plan.daemons:
            self.start_daemon(daemon.name)
        await self.wait_ready(timeout_s)

    def exited_processes(self) -> list[str]:
        """Return the names and exit statuses of the processes that have exited."""
        return [
            f"{process.name} (status {process.exit_status})"
            for process in self._processes.values()
            if process.exit_status is not None
        ]

    async def start_platform_and_workers(self, timeout_s: float = 15.0) -> None:
        """Start the fake platform and the workers and wait until they reply."""
        fakes = (self._plan.platform, *self._plan.workers)
        for process in fakes:
            self._start(process, sys.executable, FAKE_PACKAGES)
        until_s = time.monotonic() + timeout_s
        await self._wait_for_reply(self._plan.platform.address, "/v1/hosts", until_s)
        for worker in self._plan.worker_hosts:
            await self._wait_for_reply(worker.address, "/v1/tasks", until_s)

    def start_daemon(self, name: str) -> None:
        """Start the daemon of an entry host, or restart it if it has exited."""
        daemon = self._daemon(name)
        # The benchmark runs timed_daemon, which imports from the bench package.
        timed = daemon.module.startswith("marigoldpath_bench.")
        packages = (*DAEMON_PACKAGES, "bench") if timed else DAEMON_PACKAGES
        self._start(daemon, self._daemon_python, packages)

    def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
        self._processes[name].send_signal(signal.SIGKILL)

    def pause(self, name: str) -> None:
        """Stop a process with SIGSTOP."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Continue a process with SIGCONT."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> None:
        """Terminate a process with SIGTERM."""
        self._processes[name].send_signal(signal.SIGTERM)

    async def health(self, name: str) -> dict[str, Any]:
        """Return the body of a daemon's health route, or {} without a 200 reply."""
        return await self._get(self._daemon(name).address, "/v1/health")

    async def leader(self, zone: str) -> ZoneLeader | None:
        """Return the leader named by the zone's leader row, or None."""
        target = f"/v1/rows/leader/{zone}"
        value = (await self._get(self._plan.platform.address, target)).get("value", {})
        if not value.get("host"):
            return None
        return ZoneLeader(value["host"], value.get("epoch", 0))

    async def send_control(
        self, address: str, payload: dict[str, Any]
    ) -> dict[str, Any]:
        """Send a control message to a fake and return its reply."""
        reply = await self._client.request("POST", address, "/control", value=payload)
        return reply.json()

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until all running daemons are healthy and every zone is served."""
        until_s = time.monotonic() + timeout_s
        while True:
            unready = await self._find_unready()
            if not unready:
                return
            if not self._running_daemons():
                raise FleetError(
                    f"all daemons exited, see the logs: {self.exited_processes()}"
                )
            if time.monotonic() >= until_s:
                raise FleetError(f"not ready in {timeout_s:g} s: {', '.join(unready)}")
            await curio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close the client connections; the processes keep running."""
        await self._client.close()

    def stop(self) -> None:
        """Stop all processes in parallel; the daemons are signalled first.

        A paused process is continued first, or it would not handle the SIGTERM.
        """
        daemons = {daemon.name for daemon in self._plan.daemons}
        ordered = sorted(self._processes.values(), key=lambda p: p.name not in daemons)
        for process in ordered:
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        until_s = time.monotonic() + STOP_TIMEOUT_S
        try:
            for process in ordered:
                process.stop(max(0.0, until_s - time.monotonic()))
        finally:
            for process in ordered:
                process.stop(0)

    def _start(
        self, process: ProcessPlan, python: str, packages: tuple[str, ...]
    ) -> None:
        running = self._processes.get(process.name)
        if running is not None and running.exit_status is None:
            raise FleetError(
                f"{process.name} is already running with process id {running.pid}"
            )
        path = process.settings_path(self._plan.folder)
        self._processes[process.name] = ManagedProcess(
            process.name,
            [python, "-m", process.module, "--settings", str(path)],
            self._plan.folder / f"{process.name}.log",
            _python_path(packages),
        )

    def _daemon(self, name: str) -> ProcessPlan:
        for daemon in self._plan.daemons:
            if daemon.name == name:
                return daemon
        raise FleetError(f"no entry host {name!r}")

    def _running_daemons(self) -> list[str]:
        names = {daemon.name for daemon in self._plan.daemons}
        return [
            name
            for name, process in self._processes.items()
            if name in names and process.exit_status is None
        ]

    async def _find_unready(self) -> list[str]:
        """Return the unhealthy daemons and the zones without a serving leader."""
        unready = []
        served: set[str] = set()
        for name in self._running_daemons():
            health = await self.health(name)
            if health.get("status") != "ok":
                unready.append(name)
            served.update(serving_zones(health))
        zones = self._plan.deployment.availability_zones
        return unready + [zone for zone in zones if zone not in served]

    async def _wait_for_reply(self, address: str, target: str, until_s: float) -> None:
        while not await self._get(address, target):
            if time.monotonic() >= until_s:
                raise FleetError(f"no reply from {address}{target}")
            await curio.sleep(POLL_INTERVAL_S)

    async def _get(self, address: str, target: str) -> dict[str, Any]:
        try:
            response = await self._client.request("GET", address, target)
            return response.json() if response.status == 200 else {}
        except (HttpError, ValueError):
            return {}


def serving_zones(health: dict[str, Any]) -> set[str]:
    """Return the zone that a daemon serves as leader, as a set of at most one."""
    return {health["availability_zone"]} if health.get("serving") else set()


def _python_path(packages: tuple[str, ...]) -> str:
    return ":".join(
        str(Path(REPOSITORY_ROOT, "packages", name, "src")) for name in packages
    )
