"""Requests of callers: their keys, sizes and outcomes."""

from ._model import (
    Answer,
    Origin,
    Outcome,
    OutcomeKind,
    Request,
    RequestKey,
    Size,
    parse_task_id,
    task_id,
)
from ._parse import RequestError, RequestPayload, encode_request, parse_request

__all__ = [
    "Answer",
    "Origin",
    "Outcome",
    "OutcomeKind",
    "Request",
    "RequestError",
    "RequestKey",
    "RequestPayload",
    "Size",
    "encode_request",
    "parse_request",
    "parse_task_id",
    "task_id",
]
