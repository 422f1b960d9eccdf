"""Limits the commands in flight to each worker."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import curio


class CommandLimits:
    """At most `max_commands` commands are in flight to a worker at the same time."""

    def __init__(self, max_commands: int) -> None:
        self._max_commands = max_commands
        self._limits: dict[str, curio.Semaphore] = {}

    @asynccontextmanager
    async def slot(self, worker_id: str) -> AsyncIterator[None]:
        """Wait until one more command may be sent to the worker."""
        limit = self._limits.get(worker_id)
        if limit is None:
            limit = self._limits[worker_id] = curio.Semaphore(self._max_commands)
        try:
            async with limit:
                yield
        finally:
            if limit.value == self._max_commands:
                self._limits.pop(worker_id, None)
