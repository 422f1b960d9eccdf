"""The entry hosts of a soak, which run the platform's program as processes."""

import json
import os
import signal
import socket
import sys
import time
from pathlib import Path

from marigoldpath_bench.deployment import REPOSITORY_ROOT
from marigoldpath_bench.fleet import ManagedProcess
from marigoldpath_bench.platform_fakes import host_settings

from ._proxy import LoopbackProxy

KILL_GRACE_S = 0.0
PLATFORM_PROGRAM = REPOSITORY_ROOT / "platform" / "run.py"


class SoakHost:
    """An entry host with its own proxy to the store; restarts keep its addresses."""

    def __init__(
        self, number: int, store_proxy: LoopbackProxy, advice: str, folder: Path
    ) -> None:
        self.name = f"host-{number}"
        self.store_proxy = store_proxy
        # Soaks that run at the same time must use different addresses.
        ip = f"127.{os.getpid() % 250 + 1}.0.{number + 1}"
        ports = _free_ports(ip)
        self.ingress = f"{ip}:{ports[0]}"
        self.is_paused = False
        self.incarnation_count = 0
        self.paused_s = 0.0
        # Until this time the host may be stopping after a SIGTERM.
        self.stopping_until_s = 0.0
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.json"
        settings = host_settings(self.name, ip, ports, store_proxy.address, advice)
        self._settings.write_text(json.dumps(settings))
        self._process: ManagedProcess | None = None
        self._started_s = 0.0

    @property
    def is_running(self) -> bool:
        """Whether the process exists, paused or not."""
        return self._process is not None and self._process.exit_status is None

    @property
    def pid(self) -> int:
        """The id of the last process; there must be one."""
        assert self._process is not None
        return self._process.pid

    @property
    def age_s(self) -> float:
        """Seconds since the last start of the process."""
        return time.monotonic() - self._started_s

    @property
    def exit_status(self) -> int | None:
        """The exit status of the last process, or None while it runs."""
        return None if self._process is None else self._process.exit_status

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        command = [sys.executable, str(PLATFORM_PROGRAM)]
        environment = {"MARIGOLDPATH_BOOT": str(self._settings)}
        self.is_paused = False
        self.incarnation_count += 1
        self._started_s = time.monotonic()
        self._process = ManagedProcess(
            self.name, command, self._log, python_path(), environment
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process that this object started."""
        if self._process is not None:
            self._process.send_signal(number)
            self.is_paused = number is signal.SIGSTOP
            if self.is_paused:
                self.paused_s = time.monotonic()

    def kill(self) -> None:
        """Kill the process and reap it."""
        if self._process is not None:
            self._process.stop(KILL_GRACE_S)


def python_path() -> str:
    """Return the PYTHONPATH of the platform's program."""
    folders = [
        REPOSITORY_ROOT / "platform",
        *sorted((REPOSITORY_ROOT / "packages").glob("*/src")),
    ]
    return ":".join(map(str, folders))


def _free_ports(ip: str) -> tuple[int, int, int]:
    probes = [socket.socket() for _ in range(3)]
    try:
        for probe in probes:
            probe.bind((ip, 0))
        callers, readiness, peers = (probe.getsockname()[1] for probe in probes)
        return callers, readiness, peers
    finally:
        for probe in probes:
            probe.close()
