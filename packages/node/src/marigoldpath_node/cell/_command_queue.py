"""Sends commands to workers, a limited number at a time to each."""

from collections import deque
from collections.abc import Awaitable, Callable, Hashable
from typing import Any, NamedTuple


class QueuedCommand(NamedTuple):
    """A command that waits; `key` identifies it among equal ones."""

    send: Callable[[], Awaitable[Any]]
    key: Hashable | None


class CommandQueue:
    """Sends the commands to each worker in the order in which they are added.

    At most `max_in_flight` of the worker are in flight at the same time. Only these
    have a task of the loop, which `spawn` creates, so a great number may wait.
    """

    def __init__(
        self,
        spawn: Callable[..., Awaitable[Any]],
        max_in_flight: Callable[[str], int],
    ) -> None:
        self._spawn = spawn
        self._max_in_flight = max_in_flight
        self._queues: dict[str, deque[QueuedCommand]] = {}
        self._senders: dict[str, int] = {}
        self._waiting_keys: set[Hashable] = set()

    async def add(
        self,
        worker_id: str,
        send: Callable[[], Awaitable[Any]],
        key: Hashable | None = None,
    ) -> None:
        """Send a command once those before it were sent.

        It is dropped if one with the same `key` waits.
        """
        if key is not None:
            if key in self._waiting_keys:
                return
            self._waiting_keys.add(key)
        queue = self._queues.setdefault(worker_id, deque())
        queue.append(QueuedCommand(send, key))
        senders = self._senders.get(worker_id, 0)
        if senders < self._max_in_flight(worker_id):
            self._senders[worker_id] = senders + 1
            await self._spawn(self._send_all, worker_id)

    async def _send_all(self, worker_id: str) -> None:
        queue = self._queues[worker_id]
        try:
            while queue:
                command = queue.popleft()
                self._waiting_keys.discard(command.key)
                await command.send()
        finally:
            self._senders[worker_id] -= 1
            if not self._senders[worker_id] and not queue:
                del self._senders[worker_id], self._queues[worker_id]
