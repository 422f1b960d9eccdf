"""Routes on which callers submit, read and cancel requests."""

import json

from marigoldpath_core.requests import (
    Outcome,
    OutcomeKind,
    Request,
    RequestKey,
    parse_request,
)

from ..http import HttpResponse
from ..peers import PeerReplyError, PeerUnavailableError
from ._context import ApiContext
from ._registry import RouteCall, route
from ._replies import error_reply, outcome_reply, value_reply

RETRY_AFTER_MS = 500


class _RejectedError(Exception):
    def __init__(self, status: int, code: str, field: str, message: str) -> None:
        super().__init__(message)
        self.response = error_reply(status, code, message, field=field)


@route("POST", "/v1/requests")
async def submit(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Submit a request; reply with its outcome, or once it is accepted."""
    if context.runtime.draining:
        return error_reply(
            503,
            "draining",
            "this entry host is stopping; use another one",
            retry_after_ms=RETRY_AFTER_MS,
        )
    try:
        request = _parse(context, call)
    except _RejectedError as error:
        context.telemetry.metrics.count("api.refused")
        return error.response
    outcome = await _submit(context, call, request)
    return outcome_reply(outcome)


@route("GET", "/v1/requests/<team>/<zone>/<id>")
async def show(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the state, the answer and the history of a request."""
    try:
        key = _request_key(context, call)
        state = await context.forwarder.state(key)
    except _RejectedError as error:
        return error.response
    except (PeerUnavailableError, PeerReplyError) as error:
        return error_reply(
            503,
            "no_leader",
            f"the zone's leader does not answer: {error}",
            outcome="unknown",
            retry_after_ms=RETRY_AFTER_MS,
        )
    if state is None:
        return _not_found_reply(key)
    return value_reply(state)


@route("DELETE", "/v1/requests/<team>/<zone>/<id>")
async def cancel(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Cancel a request."""
    try:
        key = _request_key(context, call)
    except _RejectedError as error:
        return error.response
    outcome = await context.forwarder.cancel(key)
    if outcome.code == "cancelled":
        return value_reply({"outcome": outcome.kind.value, "code": "cancelled"})
    if outcome.code == "not_found":
        return _not_found_reply(key)
    return outcome_reply(outcome)


def _not_found_reply(key: RequestKey) -> HttpResponse:
    message = f"the request {key} is not known, or ended too long ago"
    return error_reply(404, "not_found", message, outcome="unknown")


async def _submit(context: ApiContext, call: RouteCall, request: Request) -> Outcome:
    spans = context.telemetry.spans
    span = spans.start("request", call.request.headers.get("traceparent", ""))
    # The size of the forwarded message is about that of the body plus 200 bytes.
    outcome = await context.forwarder.submit(
        request, span.traceparent, len(call.request.body) + 200
    )
    context.telemetry.metrics.count(f"outcome.{outcome.kind.value}")
    failed = outcome.kind in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN)
    spans.end(
        span,
        {
            "request": str(request.key),
            "kind": request.kind,
            "outcome": outcome.kind.value,
            "code": outcome.code,
        },
        outcome.message if failed else "",
    )
    if failed:
        context.telemetry.log.info(
            "request_not_done",
            request=str(request.key),
            span=span.span_id,
            outcome=outcome.kind.value,
            code=outcome.code,
            reason=outcome.message,
        )
    return outcome


def _parse(context: ApiContext, call: RouteCall) -> Request:
    limit = context.settings.listen.max_body
    if len(call.request.body) > limit:
        raise _RejectedError(413, "too_large", "", f"the body is over {limit} bytes")
    try:
        payload = json.loads(call.request.body)
    except (ValueError, RecursionError) as error:
        raise _RejectedError(
            400, "bad_json", "", f"the body is not JSON: {error}"
        ) from None
    parsed = parse_request(payload)
    if parsed.is_err():
        rejection = parsed.unwrap_err()
        raise _RejectedError(400, rejection.code, rejection.field, rejection.message)
    request = parsed.unwrap()
    _check_request_key(context, call, request.key)
    kinds = context.runtime.configuration.kinds
    if not any(kind.name == request.kind for kind in kinds):
        if not context.configuration.is_version_known:
            raise _RejectedError(
                503,
                "version_unknown",
                "kind",
                "this entry host has not read the kinds of work in force yet",
            )
        known = ", ".join(sorted(kind.name for kind in kinds)) or "none"
        raise _RejectedError(
            400,
            "unknown_kind",
            "kind",
            f"{request.kind!r} is not a kind of work; known: {known}",
        )
    return request


def _request_key(context: ApiContext, call: RouteCall) -> RequestKey:
    values = call.values
    key = RequestKey(values["team"], values["zone"], values["id"])
    _check_request_key(context, call, key)
    return key


def _check_request_key(context: ApiContext, call: RouteCall, key: RequestKey) -> None:
    if call.team and call.team != key.team:
        raise _RejectedError(
            403, "no_access", "team", f"the key is not for the team {key.team!r}"
        )
    zones = context.settings.availability_zones
    if key.availability_zone not in zones:
        raise _RejectedError(
            400,
            "unknown_zone",
            "availability_zone",
            f"{key.availability_zone!r} is not a zone; use one of {', '.join(zones)}",
        )
