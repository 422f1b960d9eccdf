"""Codecs of what workers say."""

from typing import Any, TypedDict

from marigoldpath_core.messages import (
    EventsPolled,
    StartsFailed,
    StartsReplied,
    StartStatus,
    TasksListed,
    TaskStatus,
    TaskTerminated,
    TaskUsage,
    UsageReported,
    WorkerFailed,
)
from marigoldpath_core.requests import Size

from ._codec import Codec, event_codec
from ._fields import ReportFields, decode_answer, decode_report, encode_report


class ListedFields(TypedDict):
    """The fields of TasksListed."""

    worker: str
    report: ReportFields


class FailedFields(TypedDict):
    """The fields of WorkerFailed."""

    worker: str
    reason: str


class StartsFields(TypedDict):
    """The fields of StartsReplied."""

    worker: str
    clock_ms: int
    statuses: dict[str, str]


class StartsFailedFields(TypedDict):
    """The fields of StartsFailed."""

    worker: str
    tasks: list[str]
    sent: bool


class EndedFields(TypedDict):
    """The fields of TaskTerminated; an answer is [text, length, digest]."""

    worker: str
    task: str
    status: str
    answer: list[Any] | None


class PolledFields(TypedDict):
    """The fields of EventsPolled."""

    worker: str
    clock_ms: int
    incarnation: str


class UsageFields(TypedDict):
    """The fields of UsageReported; each usage is [task, size]."""

    worker: str
    usages: list[list[Any]]


@event_codec(TasksListed, "listed")
def _listed() -> Codec:
    def encode(event: TasksListed) -> ListedFields:
        return {"worker": event.worker, "report": encode_report(event.report)}

    def decode(fields: ListedFields) -> TasksListed:
        return TasksListed(fields["worker"], decode_report(fields["report"]))

    return Codec(encode, decode)


@event_codec(WorkerFailed, "worker_failed")
def _worker_failed() -> Codec:
    def encode(event: WorkerFailed) -> FailedFields:
        return {"worker": event.worker, "reason": event.reason}

    return Codec(encode, lambda f: WorkerFailed(f["worker"], f["reason"]))


@event_codec(StartsReplied, "starts")
def _starts() -> Codec:
    def encode(event: StartsReplied) -> StartsFields:
        statuses = {task: status.value for task, status in event.statuses.items()}
        return {
            "worker": event.worker,
            "clock_ms": event.clock_ms,
            "statuses": statuses,
        }

    def decode(fields: StartsFields) -> StartsReplied:
        statuses = {
            task: StartStatus(status) for task, status in fields["statuses"].items()
        }
        return StartsReplied(fields["worker"], fields["clock_ms"], statuses)

    return Codec(encode, decode)


@event_codec(StartsFailed, "starts_failed")
def _starts_failed() -> Codec:
    def encode(event: StartsFailed) -> StartsFailedFields:
        return {
            "worker": event.worker,
            "tasks": list(event.tasks),
            "sent": event.sent,
        }

    def decode(fields: StartsFailedFields) -> StartsFailed:
        return StartsFailed(fields["worker"], tuple(fields["tasks"]), fields["sent"])

    return Codec(encode, decode)


@event_codec(TaskTerminated, "ended")
def _ended() -> Codec:
    def encode(event: TaskTerminated) -> EndedFields:
        return {
            "worker": event.worker,
            "task": event.task,
            "status": event.status.value,
            "answer": None if event.answer is None else list(event.answer),
        }

    def decode(fields: EndedFields) -> TaskTerminated:
        status = TaskStatus(fields["status"])
        answer = decode_answer(fields["answer"])
        return TaskTerminated(fields["worker"], fields["task"], status, answer)

    return Codec(encode, decode)


@event_codec(EventsPolled, "polled")
def _polled() -> Codec:
    def encode(event: EventsPolled) -> PolledFields:
        return {
            "worker": event.worker,
            "clock_ms": event.clock_ms,
            "incarnation": event.incarnation,
        }

    def decode(fields: PolledFields) -> EventsPolled:
        return EventsPolled(fields["worker"], fields["clock_ms"], fields["incarnation"])

    return Codec(encode, decode)


@event_codec(UsageReported, "usage")
def _usage() -> Codec:
    def encode(event: UsageReported) -> UsageFields:
        usages = [[usage.task, list(usage.size)] for usage in event.usages]
        return {"worker": event.worker, "usages": usages}

    def decode(fields: UsageFields) -> UsageReported:
        usages = tuple(TaskUsage(task, Size(*size)) for task, size in fields["usages"])
        return UsageReported(fields["worker"], usages)

    return Codec(encode, decode)
