"""The state of one request and of its tasks."""

from enum import StrEnum

from marigoldpath_core.messages import TaskStatus
from marigoldpath_core.requests import Answer, Origin, Outcome, Request, Size

from ._history import History


class RequestPhase(StrEnum):
    """Where a request is between submission and outcome."""

    RECORDING = "recording"
    WAITING = "waiting"
    PLACED = "placed"
    ENDED = "ended"


class TaskPhase(StrEnum):
    """Where a task is between placement and end.

    CHECKING means that the reply to its start was lost: the task may run or not.
    """

    RESERVED = "reserved"
    STARTING = "starting"
    CHECKING = "checking"
    RUNNING = "running"
    ENDED = "ended"


class TaskState:
    """One task on its worker. Times ending in `clock_ms` are on the worker's clock.

    `incarnation` is that of the worker when the start was sent.
    """

    __slots__ = (
        "answer",
        "incarnation",
        "lease_over_at_ms",
        "missing_clock_ms",
        "phase",
        "size",
        "start_before_clock_ms",
        "started_at_ms",
        "started_clock_ms",
        "status",
        "task",
        "worker",
    )

    def __init__(self, task: str, worker: str, size: Size) -> None:
        self.task = task
        self.worker = worker
        self.size = size
        self.phase = TaskPhase.RESERVED
        self.incarnation = ""
        self.start_before_clock_ms = 0
        self.lease_over_at_ms = 0
        self.missing_clock_ms: int | None = None
        self.started_at_ms = 0
        self.started_clock_ms = 0
        self.status: TaskStatus | None = None
        self.answer: Answer | None = None

    @property
    def may_run(self) -> bool:
        """Whether the worker may be running the task."""
        return self.phase in (
            TaskPhase.STARTING,
            TaskPhase.CHECKING,
            TaskPhase.RUNNING,
        )


class RequestState:
    """One request, its attempt in progress and its outcome.

    `is_adopted` marks a request that is known only from a worker's list, so that
    its content has yet to be learned from its caller or the journal. `is_accepted`
    tells that a caller was told that it waits. `has_run` tells
    that some attempt was started, so that its caller must not be told "not run".
    """

    __slots__ = (
        "attempt",
        "ended_at_ms",
        "failed_on",
        "failures",
        "has_run",
        "history",
        "is_accepted",
        "is_adopted",
        "is_cancelled",
        "is_recorded",
        "origins",
        "outcome",
        "phase",
        "request",
        "requeue_reason",
        "restarts",
        "submitted_at_ms",
        "tasks",
        "traceparent",
    )

    def __init__(self, request: Request, submitted_at_ms: int) -> None:
        self.request = request
        self.submitted_at_ms = submitted_at_ms
        self.phase = RequestPhase.WAITING
        self.attempt = 0
        self.tasks: dict[str, TaskState] = {}
        self.origins: list[Origin] = []
        self.outcome: Outcome | None = None
        self.ended_at_ms = 0
        self.failures = 0
        self.failed_on: set[str] = set()
        self.has_run = False
        self.is_recorded = False
        self.is_accepted = False
        self.is_adopted = False
        self.is_cancelled = False
        self.requeue_reason = ""
        self.restarts = 0
        self.history = History()
        self.traceparent = ""

    @property
    def may_run(self) -> bool:
        """Whether any task of the request may be running."""
        return any(task.may_run for task in self.tasks.values())
