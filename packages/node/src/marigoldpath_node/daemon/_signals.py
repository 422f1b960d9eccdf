"""Delivers SIGTERM and SIGINT to tasks of the event loop."""

import signal
import socket
from types import FrameType

import curio


class StopSignals:
    """Receives signals through a wakeup descriptor, without a thread."""

    def __init__(
        self, numbers: tuple[int, ...] = (signal.SIGTERM, signal.SIGINT)
    ) -> None:
        self._numbers = numbers
        self._receiver, self._sender = socket.socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)

    def install(self) -> None:
        """Install the signal handlers; call it on the main thread."""
        signal.set_wakeup_fd(self._sender.fileno(), warn_on_full_buffer=False)
        for number in self._numbers:
            signal.signal(number, _ignore)

    async def wait(self) -> int:
        """Return the number of the next signal."""
        receiver = curio.io.Socket(self._receiver)
        return (await receiver.recv(1))[0]


def _ignore(_number: int, _frame: FrameType | None) -> None:
    """Do nothing: the signal number is read from the wakeup descriptor."""
