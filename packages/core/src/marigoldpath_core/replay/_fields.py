"""JSON forms that several events share."""

from typing import Any, TypedDict

from marigoldpath_core.messages import Row, RunningTask, WorkerReport
from marigoldpath_core.requests import (
    Answer,
    Origin,
    Request,
    RequestKey,
    RequestPayload,
    Size,
    encode_request,
    parse_request,
)


class RowFields(TypedDict):
    """A row of the table."""

    key: str
    value: dict[str, Any]
    version: int


class ReportFields(TypedDict):
    """A worker's list; each task is [task, holder, sequence, size, lease end]."""

    clock_ms: int
    incarnation: str
    tasks: list[list[Any]]


def encode_row(row: Row) -> RowFields:
    """Return the JSON form of a row."""
    return {"key": row.key, "value": row.value, "version": row.version}


def decode_row(fields: RowFields) -> Row:
    """Return a row."""
    return Row(fields["key"], fields["value"], fields["version"])


def encode_report(report: WorkerReport) -> ReportFields:
    """Return the JSON form of a worker's list."""
    tasks = [[*task[:3], list(task.size), task.lease_until_ms] for task in report.tasks]
    return {
        "clock_ms": report.clock_ms,
        "incarnation": report.incarnation,
        "tasks": tasks,
    }


def decode_report(fields: ReportFields) -> WorkerReport:
    """Return a worker's list."""
    tasks = tuple(
        RunningTask(task, holder, sequence, Size(*size), lease_until_ms)
        for task, holder, sequence, size, lease_until_ms in fields["tasks"]
    )
    return WorkerReport(fields["clock_ms"], fields["incarnation"], tasks)


def decode_answer(values: list[Any] | None) -> Answer | None:
    """Return an answer from [text, length, digest], None without one."""
    return None if values is None else Answer(*values)


def decode_origin(values: list[Any]) -> Origin:
    """Return an origin from [host, call]."""
    return Origin(*values)


def decode_key(values: list[str]) -> RequestKey:
    """Return a key from [team, zone, id]."""
    return RequestKey(*values)


def encode_whole_request(request: Request) -> RequestPayload:
    """Return the JSON form of a request."""
    return encode_request(request)


def decode_whole_request(payload: RequestPayload) -> Request:
    """Return a request; raises ValueError when it is malformed."""
    parsed = parse_request(payload)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err().message)
    return parsed.unwrap()
