"""The data types of the fake worker."""

import hashlib
from typing import Any, NamedTuple

from marigoldpath_core.messages import StartStatus, TaskStatus
from marigoldpath_core.requests import Answer, Size


class StartItem(NamedTuple):
    """A task to start; times are on the worker's clock."""

    task: str
    size: Size
    start_before_ms: int
    lease_until_ms: int
    work: dict[str, Any]


class TaskEvent(NamedTuple):
    """The termination of a task, as the events route reports it."""

    sequence: int
    task: str
    status: TaskStatus
    answer: Answer | None
    shown_ms: int


class WorkerRecord(NamedTuple):
    """A line of the record file.

    `event` is `up`, `started`, `ended` or `expired`. An `up` record marks a start of
    the worker with no runs, and its `size` is the worker's capacity. `total` is the sum
    of the sizes of the runs after the event, and `used` is what they actually use,
    which may be more or less than the sizes that they were started with.
    """

    clock_ms: int
    worker: str
    event: str
    size: Size
    total: Size
    used: Size = Size()
    task: str = ""
    holder: str = ""
    run: int = 0
    status: str = ""
    repeatable: bool = True


class RunFaults(NamedTuple):
    """Faults of a worker's runs: all runs fail, or answers are late or duplicated.

    `answer_delay_ms` delays the replies with terminations, not the terminations: as the
    design requires, an answer is available once the task is no longer reported.
    """

    fail: bool = False
    answer_delay_ms: int = 0
    answers: int = 1


def make_answer(text: str) -> Answer:
    """Return an answer with the length and the digest of its text."""
    data = text.encode()
    return Answer(text, len(data), hashlib.sha256(data).hexdigest())


def parse_start(payload: dict[str, Any]) -> StartItem:
    """Return the task to start from its JSON form; raise KeyError or TypeError."""
    return StartItem(
        payload["task"],
        Size(**payload.get("size", {})),
        payload["start_before_ms"],
        payload["lease_until_ms"],
        payload.get("work") or {},
    )


def encode_event(event: TaskEvent) -> dict[str, Any]:
    """Return the JSON form of an event."""
    return {
        "sequence": event.sequence,
        "task": event.task,
        "status": str(event.status),
        "answer": None if event.answer is None else event.answer._asdict(),
    }


def encode_record(record: WorkerRecord, offset_ms: int) -> dict[str, Any]:
    """Return the JSON form of a record.

    `at_ms` is the time on the clock that all workers of the machine share. The oracle
    needs it to compare the records of different workers.
    """
    return {
        **record._asdict(),
        "at_ms": record.clock_ms - offset_ms,
        "size": record.size._asdict(),
        "total": record.total._asdict(),
        "used": record.used._asdict(),
    }


__all__ = [
    "RunFaults",
    "StartItem",
    "StartStatus",
    "TaskEvent",
    "TaskStatus",
    "WorkerRecord",
    "encode_event",
    "encode_record",
    "make_answer",
    "parse_start",
]
