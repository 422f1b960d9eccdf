"""Routes of the other entry hosts."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from ..http import HttpResponse
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from ._replies import error_reply, value_reply


@route("POST", "/v1/peer/submit", Access.OPERATOR)
async def submit(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Take requests and cancellations from an entry host."""
    return await _answer(call, context.inbox.submit)


@route("POST", "/v1/peer/outcomes", Access.OPERATOR)
async def outcomes(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Take outcomes from a leader."""
    return await _answer(call, context.inbox.outcomes)


@route("POST", "/v1/peer/beacon", Access.OPERATOR)
async def beacon(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Take a leader's beacon."""
    return await _answer(call, context.inbox.beacon)


@route("POST", "/v1/peer/state", Access.OPERATOR)
async def state(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return states of requests to an entry host."""
    return await _answer(call, context.inbox.state)


async def _answer(
    call: RouteCall, handle: Callable[[Any], Awaitable[dict[str, Any]]]
) -> HttpResponse:
    try:
        return value_reply(await handle(json.loads(call.request.body)))
    except (ValueError, RecursionError) as fault:
        return error_reply(400, "bad_message", str(fault))
