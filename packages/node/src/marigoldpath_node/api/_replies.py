"""JSON replies of the routes."""

from typing import Any

from marigoldpath_core.requests import Outcome, OutcomeKind

from ..http import HttpResponse, json_response

NOT_RUN_STATUS_BY_CODE = {
    "queue_full": 429,
    "id_conflict": 409,
    "never_fits": 422,
    "over_quota": 422,
    "unknown_kind": 400,
}


def error_reply(
    status: int,
    code: str,
    message: str,
    *,
    field: str = "",
    outcome: str = "not_run",
    retry_after_ms: int = 0,
) -> HttpResponse:
    """Return an error reply, with the fields that all errors have."""
    value = {
        "code": code,
        "field": field,
        "message": message,
        "outcome": outcome,
        "retry_after_ms": retry_after_ms,
    }
    headers = {}
    if retry_after_ms > 0:
        headers["retry-after"] = str(-(-retry_after_ms // 1_000))
    return json_response(status, value, headers)


def outcome_reply(outcome: Outcome) -> HttpResponse:
    """Return the reply for the outcome of a request."""
    if outcome.kind == OutcomeKind.DONE:
        return json_response(200, _done_body(outcome))
    if outcome.kind == OutcomeKind.ACCEPTED:
        return json_response(202, {"outcome": "accepted"})
    status = 504
    if outcome.kind == OutcomeKind.NOT_RUN:
        status = NOT_RUN_STATUS_BY_CODE.get(outcome.code, 503)
    return error_reply(
        status,
        outcome.code,
        outcome.message,
        field=outcome.field,
        outcome=outcome.kind.value,
        retry_after_ms=outcome.retry_after_ms,
    )


def _done_body(outcome: Outcome) -> dict[str, Any]:
    """Return the body for a task that ran, whether it succeeded or failed."""
    answer = None if outcome.answer is None else outcome.answer._asdict()
    value: dict[str, Any] = {"outcome": "done", "answer": answer}
    if outcome.code:
        value["code"] = outcome.code
        value["message"] = outcome.message
    return value


def value_reply(value: Any) -> HttpResponse:
    """Return a reply with status 200 and a JSON value."""
    return json_response(200, value)
