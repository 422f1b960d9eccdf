"""JSON encodings that several events share."""

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


class WorkerReportFields(TypedDict):
    """A worker's report; each task is [task, holder, sequence, size, lease expiry]."""

    clock_ms: int
    incarnation: str
    tasks: list[list[Any]]


def encode_row(row: Row) -> RowFields:
    """Convert a row to JSON."""
    return {"key": row.key, "value": row.value, "version": row.version}


def decode_row(fields: RowFields) -> Row:
    """Convert the JSON form of a row."""
    return Row(fields["key"], fields["value"], fields["version"])


def encode_worker_report(report: WorkerReport) -> WorkerReportFields:
    """Convert a worker's report to JSON."""
    tasks = [[*task[:3], list(task.size), task.lease_until_ms] for task in report.tasks]
    return {
        "clock_ms": report.clock_ms,
        "incarnation": report.incarnation,
        "tasks": tasks,
    }


def decode_worker_report(fields: WorkerReportFields) -> WorkerReport:
    """Convert the JSON form of a worker's report."""
    tasks = tuple(
        RunningTask(task, holder, sequence, Size(*size), lease_until_ms)
        for task, holder, sequence, size, lease_until_ms in fields["tasks"]
    )
    return WorkerReport(fields["clock_ms"], fields["incarnation"], tasks)


def decode_answer(values: list[Any] | None) -> Answer | None:
    """Convert [text, length, digest] to an answer; None stays None."""
    return None if values is None else Answer(*values)


def decode_origin(values: list[Any]) -> Origin:
    """Convert [host, call] to an origin."""
    return Origin(*values)


def decode_key(values: list[str]) -> RequestKey:
    """Convert [team, zone, id] to a key."""
    return RequestKey(*values)


def encode_whole_request(request: Request) -> RequestPayload:
    """Convert a request to JSON."""
    return encode_request(request)


def decode_whole_request(payload: RequestPayload) -> Request:
    """Convert the JSON form of a request; raises ValueError if it is malformed."""
    parsed = parse_request(payload)
    if parsed.is_err():
        raise ValueError(parsed.unwrap_err().message)
    return parsed.unwrap()
