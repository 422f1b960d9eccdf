"""Data types of requests."""

from enum import StrEnum
from typing import Any, NamedTuple


class Size(NamedTuple):
    """Resources allocated to one task on a worker.

    `cpu_millis` is in thousandths of a processor, `memory_mb` in megabytes; the
    others are counts.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    slots: int = 0
    connections: int = 0

    def plus(self, other: "Size") -> "Size":
        """Return the sum in every dimension."""
        return Size(
            self[0] + other[0],
            self[1] + other[1],
            self[2] + other[2],
            self[3] + other[3],
            self[4] + other[4],
        )

    def minus(self, other: "Size") -> "Size":
        """Return the difference in every dimension; it may be negative."""
        return Size(
            self[0] - other[0],
            self[1] - other[1],
            self[2] - other[2],
            self[3] - other[3],
            self[4] - other[4],
        )

    def fits(self, free: "Size") -> bool:
        """Return whether every dimension is at most that of `free`."""
        return (
            self[0] <= free[0]
            and self[1] <= free[1]
            and self[2] <= free[2]
            and self[3] <= free[3]
            and self[4] <= free[4]
        )

    def dimensions_exceeding(self, limit: "Size") -> list[str]:
        """Return the names of the dimensions that are larger than in `limit`."""
        return [
            name
            for name, needed, allowed in zip(self._fields, self, limit)
            if needed > allowed
        ]


class RequestKey(NamedTuple):
    """Identity of a request; only the leader of its zone decides on it."""

    team: str
    availability_zone: str
    id: str

    def __str__(self) -> str:
        return f"{self.team}/{self.availability_zone}/{self.id}"


class Request(NamedTuple):
    """A caller's request to run one task, or a gang of tasks.

    `deadline_ms` counts from submission; `run_ms` is the declared run time of a
    task, 0 for unknown. `wait` means that the caller keeps its connection open until
    the outcome is known. `tasks` is the size of the gang, whose tasks start together.
    """

    key: RequestKey
    kind: str
    size: Size
    repeatable: bool = True
    wait: bool = True
    deadline_ms: int = 30_000
    tasks: int = 1
    run_ms: int = 0
    work: dict[str, Any] = {}  # noqa: RUF012


class OutcomeKind(StrEnum):
    """The kinds of outcome that a caller can receive."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"


class Answer(NamedTuple):
    """The complete output of a task; `length` is the size of its text in bytes."""

    text: str
    length: int
    digest: str


class Outcome(NamedTuple):
    """The outcome of a request.

    `field` names the field of the request that caused a refusal. `retry_after_ms` is
    the delay after which the caller should submit it again, 0 if it need not.
    """

    key: RequestKey
    kind: OutcomeKind
    code: str = ""
    message: str = ""
    field: str = ""
    answer: Answer | None = None
    retry_after_ms: int = 0


class Origin(NamedTuple):
    """The call that waits for an outcome, and the entry host that received it."""

    host: str
    call: int


def task_id(key: RequestKey, attempt: int, index: int = 0) -> str:
    """Return the id of a task, unique among the attempts to run its request."""
    return f"{key}#{attempt}.{index}"


def parse_task_id(task: str) -> tuple[RequestKey, int, int]:
    """Return the request key, the attempt and the index in a task id.

    Raises ValueError when the text is not a task id.
    """
    name, _, suffix = task.rpartition("#")
    attempt, _, index = suffix.partition(".")
    team, availability_zone, request = name.split("/", 2)
    return RequestKey(team, availability_zone, request), int(attempt), int(index)
