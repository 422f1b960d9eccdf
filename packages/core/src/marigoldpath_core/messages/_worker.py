"""What workers say. All `clock_ms` times are on the worker's own clock."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Answer, Size


class TaskStatus(StrEnum):
    """How a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"


class StartStatus(StrEnum):
    """What a worker did with a start."""

    STARTED = "started"
    EXPIRED = "expired"


class RunningTask(NamedTuple):
    """A task in a worker's list; `sequence` gives the start order."""

    task: str
    holder: str
    sequence: int
    size: Size
    lease_until_ms: int


class TerminatedTask(NamedTuple):
    """A task that a worker remembers after its end."""

    task: str
    status: TaskStatus
    answer: Answer | None
    sequence: int


class WorkerReport(NamedTuple):
    """A worker's list of running tasks in start order."""

    clock_ms: int
    incarnation: str
    tasks: tuple[RunningTask, ...]


class TaskUsage(NamedTuple):
    """What a task was seen to use; reported with a lag."""

    task: str
    size: Size
