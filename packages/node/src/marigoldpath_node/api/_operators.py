"""Routes for operators and for the health checks of the load balancer."""

from ..http import HttpResponse, json_response
from ..peers import encode_view
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from ._replies import value_reply


@route("GET", "/v1/health", Access.ANYONE)
async def health(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the state of this host and the known leader of each zone."""
    leader = context.runtime.scheduler.leader
    context.leaders.refresh_own_zone()
    views = context.leaders.leader_cache.views
    return value_reply(
        {
            "status": "ok",
            "host": context.settings.host,
            "availability_zone": context.settings.availability_zone,
            "serving": context.runtime.serving,
            "leader": None if leader is None else leader._asdict(),
            "draining": context.runtime.draining,
            "leaders": {view.availability_zone: encode_view(view) for view in views},
        }
    )


@route("GET", "/v1/status", Access.OPERATOR)
async def status(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return this host's view of leaders, workers and queues, and its counters."""
    return value_reply(
        {
            "host": context.settings.host,
            "availability_zone": context.settings.availability_zone,
            "draining": context.runtime.draining,
            "drained": context.runtime.is_drained,
            "calls": len(context.calls),
            "configuration": context.runtime.configuration.version,
            "leaders": [
                encode_view(view) for view in context.leaders.leader_cache.views
            ],
            "scheduler": context.runtime.status(),
            "traffic": context.traffic(),
            "counters": context.telemetry.metrics.counters,
            **context.telemetry.status(),
        }
    )


@route("POST", "/v1/drain", Access.OPERATOR)
async def drain(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Drain the host: it accepts no new requests and starts no new work.

    The process keeps running, also after the host is drained, until it is stopped by a
    signal.
    """
    await context.drain()
    return json_response(202, {"draining": True, "drained": context.runtime.is_drained})
