"""A managed child process."""

import ctypes
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import curio

POLL_INTERVAL_S = 0.02
PR_SET_PDEATHSIG = 1


def _set_parent_death_signal() -> None:
    """Have the kernel kill this process when its parent terminates (Linux only)."""
    if sys.platform == "linux":
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A child process in its own session, so that Ctrl-C signals only the parent."""

    def __init__(
        self,
        name: str,
        command: list[str],
        log: Path,
        python_path: str,
        environment: dict[str, str] | None = None,
    ) -> None:
        self._name = name
        with log.open("ab") as output:
            self._child = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "PYTHONPATH": python_path,
                    **(environment or {}),
                },
                start_new_session=True,
                preexec_fn=_set_parent_death_signal,  # noqa: PLW1509 (there are no threads)
            )

    @property
    def name(self) -> str:
        """The name of the host or process."""
        return self._name

    @property
    def pid(self) -> int:
        """The process id."""
        return self._child.pid

    @property
    def exit_status(self) -> int | None:
        """The exit status, or None while the process runs.

        It is the negative signal number if a signal killed the process.
        """
        return self._child.poll()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has exited."""
        if self._child.poll() is None:
            self._child.send_signal(number)

    async def wait(self, timeout_s: float) -> int | None:
        """Return the exit status, or None if the process outlasts the timeout."""
        until_s = time.monotonic() + timeout_s
        while self._child.poll() is None and time.monotonic() < until_s:
            await curio.sleep(POLL_INTERVAL_S)
        return self._child.poll()

    def stop(self, grace_s: float) -> None:
        """Stop and reap the process: SIGTERM, then SIGKILL after the grace period.

        Without a grace period only SIGKILL is sent. A paused process is continued
        first, or it would not handle the SIGTERM.
        """
        if grace_s > 0:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGTERM)
            try:
                self._child.wait(grace_s)
                return
            except subprocess.TimeoutExpired:
                pass
        self.send_signal(signal.SIGKILL)
        self._child.wait()
