"""SIGTERM and SIGINT as events of the loop."""

import signal
import socket
from types import FrameType

import curio


class StopSignals:
    """Wakes a task for each signal; needs no thread."""

    def __init__(self) -> None:
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)

    def install(self) -> None:
        """Take over the signals; call it on the main thread."""
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _ignore)

    async def wait(self) -> None:
        """Wait for the next signal."""
        receiver = curio.io.Socket(self._receiver)
        await receiver.recv(1)


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """The number arrives through the wakeup descriptor."""
