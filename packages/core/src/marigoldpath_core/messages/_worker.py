"""Types of workers' replies and reports.

All `clock_ms` times are on the clock of the worker.
"""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Answer, Size


class TaskStatus(StrEnum):
    """The reason why a task terminated."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"


class StartStatus(StrEnum):
    """The result of a start on a worker."""

    STARTED = "started"
    EXPIRED = "expired"


class RunningTask(NamedTuple):
    """A running task in a worker's report.

    `sequence` increases in the order in which the worker started its tasks.
    """

    task: str
    holder: str
    sequence: int
    size: Size
    lease_until_ms: int


class TerminatedTask(NamedTuple):
    """A terminated task that the worker retains, so that it can report it again."""

    task: str
    status: TaskStatus
    answer: Answer | None
    sequence: int


class WorkerReport(NamedTuple):
    """A worker's report of its running tasks, in start order."""

    clock_ms: int
    incarnation: str
    tasks: tuple[RunningTask, ...]


class TaskUsage(NamedTuple):
    """The measured resource usage of a task, which is reported with a lag."""

    task: str
    size: Size
