"""Routes for the other entry hosts."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from ..http import HttpResponse
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from ._replies import error_reply, value_reply


@route("POST", "/v1/peer/submit", Access.OPERATOR)
async def submit(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Accept requests and cancellations that an entry host forwards."""
    return await _handle_message(call, context.peer_requests.submit)


@route("POST", "/v1/peer/outcomes", Access.OPERATOR)
async def outcomes(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Receive outcomes of requests from a leader."""
    return await _handle_message(call, context.peer_requests.outcomes)


@route("POST", "/v1/peer/beacon", Access.OPERATOR)
async def beacon(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Receive the beacon of a leader."""
    return await _handle_message(call, context.peer_requests.beacon)


@route("POST", "/v1/peer/state", Access.OPERATOR)
async def state(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the states of requests to an entry host."""
    return await _handle_message(call, context.peer_requests.state)


async def _handle_message(
    call: RouteCall, handle: Callable[[Any], Awaitable[dict[str, Any]]]
) -> HttpResponse:
    try:
        return value_reply(await handle(json.loads(call.request.body)))
    except (ValueError, RecursionError) as error:
        return error_reply(400, "bad_message", str(error))
