"""Routes of the daily report."""

from typing import Any

from marigoldpath_core.configuration import encode_configuration
from marigoldpath_core.report import encode_day

from ..http import HttpResponse
from ._context import ApiContext
from ._registry import Access, RouteCall, route
from ._replies import error_reply, value_reply

RETRY_AFTER_MS = 2_000


@route("GET", "/v1/report", Access.OPERATOR)
async def report(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return the daily statistics of this host's zone, with `?zones=1` of all zones."""
    zones: tuple[str, ...] = (context.settings.availability_zone,)
    if call.request.query.get("zones"):
        zones = context.settings.availability_zones
    days = await context.reports.collect(zones)
    records = [day.record for day in days if day.record is not None]
    unreachable: list[dict[str, Any]] = [
        {"availability_zone": day.availability_zone, "reason": day.reason}
        for day in days
        if day.record is None
    ]
    if not records:
        reasons = "; ".join(f"{day.availability_zone}: {day.reason}" for day in days)
        return error_reply(
            503,
            "no_leader",
            f"no zone's leader answers: {reasons}",
            retry_after_ms=RETRY_AFTER_MS,
        )
    return value_reply(
        {
            "host": context.settings.host,
            "availability_zone": context.settings.availability_zone,
            "days": [encode_day(record) for record in records],
            "unreachable": unreachable,
            "configuration": encode_configuration(context.runtime.configuration),
        }
    )


@route("POST", "/v1/peer/report", Access.OPERATOR)
async def peer_report(context: ApiContext, call: RouteCall) -> HttpResponse:
    """Return to an entry host the daily statistics that this host keeps as leader."""
    return value_reply({"day": context.reports.own_record()})
