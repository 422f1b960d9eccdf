"""JSON encoding of the workers' requests and replies."""

import hashlib
from typing import Any

from marigoldpath_core.messages import (
    RenewLeases,
    RunningTask,
    StartsReplied,
    StartStatus,
    StartTasks,
    TaskStatus,
    TaskUsage,
    TerminatedTask,
    WorkerReport,
)
from marigoldpath_core.requests import Answer, Size

from ._client import WorkerEvents


def encode_starts(effect: StartTasks) -> dict[str, Any]:
    """Return the body of a start request."""
    starts = [
        {**start._asdict(), "size": start.size._asdict()} for start in effect.starts
    ]
    return {"holder": effect.holder, "starts": starts}


def encode_renewal(effect: RenewLeases) -> dict[str, Any]:
    """Return the body of a renewal request."""
    return {
        "holder": effect.holder,
        "tasks": list(effect.tasks),
        "lease_until_ms": effect.lease_until_ms,
    }


def decode_starts(worker: str, payload: Any) -> StartsReplied:
    """Return the reply to a start request."""
    statuses = {
        task: StartStatus(status) for task, status in payload["statuses"].items()
    }
    return StartsReplied(worker, int(payload["clock_ms"]), statuses)


def decode_report(payload: Any) -> WorkerReport:
    """Return the report in the reply to a list or renewal request."""
    tasks = tuple(_running_task(each) for each in payload["tasks"])
    return WorkerReport(int(payload["clock_ms"]), payload["incarnation"], tasks)


def decode_events(payload: Any, after: int) -> WorkerEvents:
    """Return the events up to the first corrupted answer."""
    terminated: list[TerminatedTask] = []
    next_number = int(payload["next"])
    corrupted = None
    for each in payload["events"]:
        task = _terminated_task(each)
        if task.answer is not None and not is_intact(task.answer):
            corrupted = task._replace(answer=None)
            next_number = max(after, task.sequence - 1)
            break
        terminated.append(task)
    return WorkerEvents(
        int(payload["clock_ms"]),
        payload["incarnation"],
        next_number,
        tuple(terminated),
        corrupted,
    )


def decode_usages(payload: Any) -> tuple[TaskUsage, ...]:
    """Return the resource usages in a reply."""
    return tuple(
        TaskUsage(each["task"], Size(**each["size"])) for each in payload["usages"]
    )


def is_intact(answer: Answer) -> bool:
    """Return whether the text matches its length in bytes and its SHA-256 digest."""
    data = answer.text.encode("utf-8", "surrogatepass")
    if len(data) != answer.length:
        return False
    return hashlib.sha256(data).hexdigest() == answer.digest


def _running_task(payload: dict[str, Any]) -> RunningTask:
    return RunningTask(
        payload["task"],
        payload["holder"],
        int(payload["sequence"]),
        Size(**payload["size"]),
        int(payload["lease_until_ms"]),
    )


def _terminated_task(payload: dict[str, Any]) -> TerminatedTask:
    answer = payload.get("answer")
    if answer is not None:
        answer = Answer(str(answer["text"]), int(answer["length"]), answer["digest"])
    return TerminatedTask(
        payload["task"],
        TaskStatus(payload["status"]),
        answer,
        int(payload["sequence"]),
    )
