"""The state of one request and of its tasks."""

from enum import StrEnum

from marigoldpath_core.messages import TaskStatus
from marigoldpath_core.requests import Answer, Origin, Outcome, Request, Size

from ._history import History


class RequestPhase(StrEnum):
    """Stage of a request between submission and outcome."""

    RECORDING = "recording"
    WAITING = "waiting"
    PLACED = "placed"
    ENDED = "ended"


class TaskPhase(StrEnum):
    """Stage of a task between placement and termination.

    CHECKING means that the reply to the start was lost, so the task may be running.
    """

    RESERVED = "reserved"
    STARTING = "starting"
    CHECKING = "checking"
    RUNNING = "running"
    ENDED = "ended"


class TaskState:
    """State of one task on its worker.

    Times ending in `clock_ms` are on the worker's clock. `incarnation` is the
    worker's incarnation when the start was sent.
    """

    __slots__ = (
        "answer",
        "incarnation",
        "lease_expires_at_ms",
        "missing_since_clock_ms",
        "phase",
        "running_clock_ms",
        "size",
        "start_before_clock_ms",
        "started_at_ms",
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
        self.lease_expires_at_ms = 0
        self.missing_since_clock_ms: int | None = None
        self.started_at_ms = 0
        self.running_clock_ms = 0
        self.status: TaskStatus | None = None
        self.answer: Answer | None = None

    @property
    def may_run(self) -> bool:
        """Whether the worker could be running the task."""
        return self.phase in (
            TaskPhase.STARTING,
            TaskPhase.CHECKING,
            TaskPhase.RUNNING,
        )


class RequestState:
    """One request, its attempt in progress and its outcome.

    `is_placeholder` marks a request whose content is unknown, because it is known
    only from a worker's report or an intent in the journal. `is_recorded` means that
    entries about the request are in the journal or will be written. `is_accepted`
    means that its acceptance is durable and was reported to its callers. `has_run`
    means that an attempt was started, so its outcome must not be NOT_RUN. `short_runs`
    is the number of consecutive runs up to now that were shorter than STABLE_RUN_MS.
    """

    __slots__ = (
        "attempt",
        "ended_at_ms",
        "failed_workers",
        "failures",
        "has_run",
        "history",
        "is_accepted",
        "is_cancelled",
        "is_placeholder",
        "is_recorded",
        "origins",
        "outcome",
        "phase",
        "request",
        "requeue_reason",
        "short_runs",
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
        self.failed_workers: set[str] = set()
        self.has_run = False
        self.is_recorded = False
        self.is_accepted = False
        self.is_placeholder = False
        self.is_cancelled = False
        self.requeue_reason = ""
        self.short_runs = 0
        self.history = History()
        self.traceparent = ""

    @property
    def may_run(self) -> bool:
        """Whether a worker could be running a task of the request."""
        return any(task.may_run for task in self.tasks.values())
