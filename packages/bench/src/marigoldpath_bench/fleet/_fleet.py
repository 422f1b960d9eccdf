"""All processes of a run of a deployment."""

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
# Above are the ports that the system gives to outgoing connections.
HIGHEST_PORT = 32_000
POLL_INTERVAL_S = 0.1
STOP_TIMEOUT_S = 3.0
DAEMON_PACKAGES = ("core", "node")
FAKE_PACKAGES = ("core", "node", "cli", "bench")


class FleetError(Exception):
    """A process did not start, or a wait for the fleet took too long."""


class ZoneLeader(NamedTuple):
    """The leader of a zone as the table has it."""

    host: str
    epoch: int


def free_base_port(count: int, seed: int | None = None) -> int:
    """Return the first of `count` ports that nothing listens on.

    Raises FleetError when no such range is found in 50 tries.
    """
    rng = random.Random(seed)
    for _ in range(50):
        base = rng.randrange(LOWEST_PORT, HIGHEST_PORT - count)
        if all(_is_free(base + number) for number in range(count)):
            return base
    raise FleetError(f"no {count} free ports in a row")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Fleet:
    """A context manager that leaves no process behind, also after an exception."""

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
        """The processes started so far by name; a restarted one replaces its name."""
        return self._processes

    @property
    def daemon_addresses(self) -> list[str]:
        """The addresses of the entry hosts."""
        return [daemon.address for daemon in self._plan.daemons]

    async def start(self, timeout_s: float = 60.0) -> None:
        """Start everything and wait until every zone is served."""
        await self.start_platform_and_workers()
        for daemon in self._plan.daemons:
            self.start_daemon(daemon.name)
        await self.wait_ready(timeout_s)

    def exited_processes(self) -> list[str]:
        """Return the processes that have ended, each with its exit status."""
        return [
            f"{process.name} (status {process.exit_status})"
            for process in self._processes.values()
            if process.exit_status is not None
        ]

    async def start_platform_and_workers(self, timeout_s: float = 15.0) -> None:
        """Start the platform and the workers and wait until they answer."""
        fakes = (self._plan.platform, *self._plan.workers)
        for process in fakes:
            self._start(process, sys.executable, FAKE_PACKAGES)
        until_s = time.monotonic() + timeout_s
        await self._wait_for_reply(self._plan.platform.address, "/v1/hosts", until_s)
        for worker in self._plan.worker_hosts:
            await self._wait_for_reply(worker.address, "/v1/tasks", until_s)

    def start_daemon(self, name: str) -> None:
        """Start the daemon of an entry host, anew if it has ended."""
        daemon = self._daemon(name)
        # The benchmark runs daemons by a module of its own, which adds timers.
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
        """Ask a process to end with SIGTERM."""
        self._processes[name].send_signal(signal.SIGTERM)

    async def health(self, name: str) -> dict[str, Any]:
        """Return what a daemon's health route says, empty without an answer."""
        return await self._get(self._daemon(name).address, "/v1/health")

    async def leader(self, zone: str) -> ZoneLeader | None:
        """Return the leader that the table names, or None."""
        target = f"/v1/rows/leader/{zone}"
        value = (await self._get(self._plan.platform.address, target)).get("value", {})
        if not value.get("host"):
            return None
        return ZoneLeader(value["host"], value.get("epoch", 0))

    async def send_control(
        self, address: str, payload: dict[str, Any]
    ) -> dict[str, Any]:
        """Send a control message to a stand-in and return its reply."""
        reply = await self._client.request("POST", address, "/control", value=payload)
        return reply.json()

    async def wait_ready(self, timeout_s: float) -> None:
        """Wait until all running daemons are well and all zones are served."""
        until_s = time.monotonic() + timeout_s
        while True:
            unready = await self._find_unready()
            if not unready:
                return
            if not self._running_daemons():
                raise FleetError(
                    f"ended early, see the logs: {self.exited_processes()}"
                )
            if time.monotonic() >= until_s:
                raise FleetError(f"not ready in {timeout_s:g} s: {', '.join(unready)}")
            await curio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close the connections; the processes go on."""
        await self._client.close()

    def stop(self) -> None:
        """End all processes, the daemons first and all of them at the same time."""
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
            raise FleetError(f"{process.name} runs already as {running.pid}")
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
        """Return the daemons that are not well and the zones without a leader."""
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
                raise FleetError(f"no answer from {address}{target}")
            await curio.sleep(POLL_INTERVAL_S)

    async def _get(self, address: str, target: str) -> dict[str, Any]:
        try:
            response = await self._client.request("GET", address, target)
            return response.json() if response.status == 200 else {}
        except (HttpError, ValueError):
            return {}


def serving_zones(health: dict[str, Any]) -> set[str]:
    """Return the zone that a daemon's health says it leads and serves, if any."""
    return {health["availability_zone"]} if health.get("serving") else set()


def _python_path(packages: tuple[str, ...]) -> str:
    return ":".join(
        str(Path(REPOSITORY_ROOT, "packages", name, "src")) for name in packages
    )
