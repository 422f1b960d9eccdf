"""Codecs of the replies and reports of workers."""

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
from ._fields import (
    WorkerReportFields,
    decode_answer,
    decode_worker_report,
    encode_worker_report,
)


class TasksListedFields(TypedDict):
    """The fields of TasksListed."""

    worker: str
    report: WorkerReportFields


class WorkerFailedFields(TypedDict):
    """The fields of WorkerFailed."""

    worker: str
    reason: str


class StartsRepliedFields(TypedDict):
    """The fields of StartsReplied."""

    worker: str
    clock_ms: int
    statuses: dict[str, str]


class StartsFailedFields(TypedDict):
    """The fields of StartsFailed."""

    worker: str
    tasks: list[str]
    sent: bool


class TaskTerminatedFields(TypedDict):
    """The fields of TaskTerminated; an answer is [text, length, digest]."""

    worker: str
    task: str
    status: str
    answer: list[Any] | None


class EventsPolledFields(TypedDict):
    """The fields of EventsPolled."""

    worker: str
    clock_ms: int
    incarnation: str


class UsageReportedFields(TypedDict):
    """The fields of UsageReported; each usage is [task, size]."""

    worker: str
    usages: list[list[Any]]


@event_codec(TasksListed, "listed")
def _listed() -> Codec:
    def encode(event: TasksListed) -> TasksListedFields:
        return {"worker": event.worker, "report": encode_worker_report(event.report)}

    def decode(fields: TasksListedFields) -> TasksListed:
        return TasksListed(fields["worker"], decode_worker_report(fields["report"]))

    return Codec(encode, decode)


@event_codec(WorkerFailed, "worker_failed")
def _worker_failed() -> Codec:
    def encode(event: WorkerFailed) -> WorkerFailedFields:
        return {"worker": event.worker, "reason": event.reason}

    return Codec(encode, lambda f: WorkerFailed(f["worker"], f["reason"]))


@event_codec(StartsReplied, "starts")
def _starts() -> Codec:
    def encode(event: StartsReplied) -> StartsRepliedFields:
        statuses = {task: status.value for task, status in event.statuses.items()}
        return {
            "worker": event.worker,
            "clock_ms": event.clock_ms,
            "statuses": statuses,
        }

    def decode(fields: StartsRepliedFields) -> StartsReplied:
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
def _terminated() -> Codec:
    def encode(event: TaskTerminated) -> TaskTerminatedFields:
        return {
            "worker": event.worker,
            "task": event.task,
            "status": event.status.value,
            "answer": None if event.answer is None else list(event.answer),
        }

    def decode(fields: TaskTerminatedFields) -> TaskTerminated:
        status = TaskStatus(fields["status"])
        answer = decode_answer(fields["answer"])
        return TaskTerminated(fields["worker"], fields["task"], status, answer)

    return Codec(encode, decode)


@event_codec(EventsPolled, "polled")
def _polled() -> Codec:
    def encode(event: EventsPolled) -> EventsPolledFields:
        return {
            "worker": event.worker,
            "clock_ms": event.clock_ms,
            "incarnation": event.incarnation,
        }

    def decode(fields: EventsPolledFields) -> EventsPolled:
        return EventsPolled(fields["worker"], fields["clock_ms"], fields["incarnation"])

    return Codec(encode, decode)


@event_codec(UsageReported, "usage")
def _usage() -> Codec:
    def encode(event: UsageReported) -> UsageReportedFields:
        usages = [[usage.task, list(usage.size)] for usage in event.usages]
        return {"worker": event.worker, "usages": usages}

    def decode(fields: UsageReportedFields) -> UsageReported:
        usages = tuple(TaskUsage(task, Size(*size)) for task, size in fields["usages"])
        return UsageReported(fields["worker"], usages)

    return Codec(encode, decode)
