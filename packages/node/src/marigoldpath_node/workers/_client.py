"""The interface of worker clients and their registry."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from marigoldpath_core.messages import (
    RenewLeases,
    StartsReplied,
    StartTasks,
    StopTasks,
    TaskUsage,
    TerminatedTask,
    ThrottleTasks,
    WorkerReport,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient


class WorkerEvents(NamedTuple):
    """The reply to a poll for terminated tasks.

    `next` is the event number to pass as `after` in the next poll. If an answer is
    corrupted, `terminated` contains only the tasks before the first such task,
    `corrupted` is that task without its answer, and the next poll reads it again.
    """

    clock_ms: int
    incarnation: str
    next: int
    terminated: tuple[TerminatedTask, ...]
    corrupted: TerminatedTask | None = None


class WorkerClient(Protocol):
    """Client of workers; all methods take a worker's address and raise WorkerError."""

    async def start(self, address: str, effect: StartTasks) -> StartsReplied:
        """Start tasks."""

    async def renew(self, address: str, effect: RenewLeases) -> WorkerReport:
        """Renew leases and list the tasks."""

    async def tasks(self, address: str) -> WorkerReport:
        """List the tasks."""

    async def stop(self, address: str, effect: StopTasks) -> None:
        """Stop tasks."""

    async def throttle(self, address: str, effect: ThrottleTasks) -> None:
        """Limit the CPU time of tasks."""

    async def events(self, address: str, after: int, wait_ms: int) -> WorkerEvents:
        """Wait up to `wait_ms` for events with numbers above `after`."""

    async def usage(self, address: str) -> tuple[TaskUsage, ...]:
        """Return the measured resource usage of the tasks."""


WorkerFactory = Callable[[DaemonSettings, HttpClient], WorkerClient]

WORKER_CLIENTS: Registry[str, WorkerFactory] = Registry("worker client")
worker_client = WORKER_CLIENTS.register
