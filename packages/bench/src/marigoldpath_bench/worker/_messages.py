"""Data types of the worker stand-in."""

import hashlib
from typing import Any, NamedTuple

from marigoldpath_core.messages import StartStatus, TaskStatus
from marigoldpath_core.requests import Answer, Size


class StartItem(NamedTuple):
    """One start; times are on the worker's clock."""

    task: str
    size: Size
    start_before_ms: int
    lease_until_ms: int
    work: dict[str, Any]


class Event(NamedTuple):
    """The end of a task as the events route gives it."""

    sequence: int
    task: str
    status: TaskStatus
    answer: Answer | None
    shown_ms: int


class Record(NamedTuple):
    """A line of the record file; `total` is the size of what runs after it.

    `event` is `up`, `started`, `ended` or `expired`. `size` is the worker's capacity
    in an `up` record, which also says that nothing runs any more. `used` is what the
    runs really use, which may be more or less than the sizes they were started with.
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
    """Faults of the runs: everything fails, or answers come late or twice.

    `answer_delay_ms` delays the replies that carry ends. The worker itself has each
    answer as soon as the task is no longer listed, as the design page needs it to.
    """

    fail: bool = False
    answer_delay_ms: int = 0
    answers: int = 1


def make_answer(text: str) -> Answer:
    """Return a whole answer with its length and digest."""
    data = text.encode()
    return Answer(text, len(data), hashlib.sha256(data).hexdigest())


def parse_start(payload: dict[str, Any]) -> StartItem:
    """Return a start from its JSON form; raises KeyError or TypeError."""
    return StartItem(
        payload["task"],
        Size(**payload.get("size", {})),
        payload["start_before_ms"],
        payload["lease_until_ms"],
        payload.get("work") or {},
    )


def encode_event(event: Event) -> dict[str, Any]:
    """Return the JSON form of an event."""
    return {
        "sequence": event.sequence,
        "task": event.task,
        "status": str(event.status),
        "answer": None if event.answer is None else event.answer._asdict(),
    }


def encode_record(record: Record, offset_ms: int) -> dict[str, Any]:
    """Return the JSON form of a record.

    `at_ms` is the time on the clock that all workers of the machine share, which the
    oracle needs to compare workers.
    """
    return {
        **record._asdict(),
        "at_ms": record.clock_ms - offset_ms,
        "size": record.size._asdict(),
        "total": record.total._asdict(),
        "used": record.used._asdict(),
    }


__all__ = [
    "Event",
    "Record",
    "RunFaults",
    "StartItem",
    "StartStatus",
    "TaskStatus",
    "encode_event",
    "encode_record",
    "make_answer",
    "parse_start",
]
