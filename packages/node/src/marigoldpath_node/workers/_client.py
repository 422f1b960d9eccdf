"""What any client of the workers offers, and the registry of clients."""

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
    """Ends of tasks since the last poll.

    `ended` stops before the first answer that did not come whole; `damaged` is that
    task and `next` is then the number to ask from again.
    """

    clock_ms: int
    incarnation: str
    next: int
    ended: tuple[TerminatedTask, ...]
    damaged: TerminatedTask | None = None


class WorkerClient(Protocol):
    """All methods take the worker's address and raise WorkerError."""

    async def start(self, address: str, effect: StartTasks) -> StartsReplied:
        """Start tasks."""

    async def renew(self, address: str, effect: RenewLeases) -> WorkerReport:
        """Renew leases and list the tasks."""

    async def tasks(self, address: str) -> WorkerReport:
        """List the tasks."""

    async def stop(self, address: str, effect: StopTasks) -> None:
        """Stop tasks."""

    async def throttle(self, address: str, effect: ThrottleTasks) -> None:
        """Limit the processor time of tasks."""

    async def events(self, address: str, after: int, wait_ms: int) -> WorkerEvents:
        """Wait up to `wait_ms` for events numbered above `after`."""

    async def usage(self, address: str) -> tuple[TaskUsage, ...]:
        """Return what the tasks were seen to use."""


WorkerFactory = Callable[[DaemonSettings, HttpClient], WorkerClient]

WORKER_CLIENTS: Registry[str, WorkerFactory] = Registry("worker client")
worker_client = WORKER_CLIENTS.register
