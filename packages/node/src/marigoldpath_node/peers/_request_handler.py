"""Handles requests from other entry hosts."""

from typing import Any

from marigoldpath_core.messages import CancelRequested, Event, RequestSubmitted
from marigoldpath_core.requests import Origin, parse_request
from marigoldpath_core.routing import MAX_HOPS
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..runtime import Runtime, clock_ms
from ._calls import PendingCalls
from ._codec import decode_key, decode_outcome, decode_view, encode_view
from ._delivery import OutcomeDelivery
from ._leader_directory import LeaderDirectory

MALFORMED = (KeyError, TypeError, ValueError, AttributeError)


class PeerRequestHandler:
    """Handles requests to the peers' routes; raises ValueError for malformed bodies."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        *,
        leaders: LeaderDirectory,
        calls: PendingCalls,
        delivery: OutcomeDelivery,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._leaders = leaders
        self._calls = calls
        self._delivery = delivery
        self._telemetry = telemetry

    async def submit(self, payload: Any) -> dict[str, Any]:
        """Accept requests if this host leads their zone; else redirect the peer."""
        try:
            zone = payload["availability_zone"]
            host = payload["origin"]["host"]
            address = payload["origin"]["address"]
            hops = int(payload["hops"])
            items = list(payload["requests"])
        except MALFORMED as error:
            raise ValueError(f"malformed submission: {error!r}") from error
        if zone != self._settings.availability_zone or not self._runtime.is_leader:
            return self._redirect(zone, hops)
        if not self._runtime.serving:
            return {"redirect": None}
        self._delivery.record_address(host, address)
        refused = []
        for item in items:
            # A malformed item is refused alone, so that the others are processed.
            try:
                event = self._event(item, host)
            except MALFORMED as error:
                refused.append({"call": item["call"], "message": str(error)})
                continue
            await self._runtime.feed(event)
        return {"taken": len(items) - len(refused), "refused": refused}

    async def outcomes(self, payload: Any) -> dict[str, Any]:
        """Complete waiting calls; return the numbers of calls that no longer wait."""
        refused = []
        try:
            for item in payload["outcomes"]:
                call = int(item["call"])
                if not await self._calls.complete(call, decode_outcome(item)):
                    refused.append(call)
        except MALFORMED as error:
            raise ValueError(f"malformed outcome: {error!r}") from error
        return {"refused": refused}

    async def beacon(self, payload: Any) -> dict[str, Any]:
        """Process a beacon from another leader."""
        try:
            view = decode_view(payload, clock_ms())
        except MALFORMED as error:
            raise ValueError(f"malformed beacon: {error!r}") from error
        self._leaders.leader_cache.update(view)
        return {}

    async def state(self, payload: Any) -> dict[str, Any]:
        """Return the states of requests; redirect if this host is not serving."""
        if not self._runtime.serving:
            return self._redirect(self._settings.availability_zone, MAX_HOPS - 1)
        try:
            keys = [decode_key(each) for each in payload["keys"]]
        except MALFORMED as error:
            raise ValueError(f"malformed question: {error!r}") from error
        states = {str(key): self._runtime.request_state(key) for key in keys}
        return {"states": states}

    def _redirect(self, zone: str, hops: int) -> dict[str, Any]:
        self._leaders.refresh_own_zone()
        view = self._leaders.leader_cache.view(zone)
        self._telemetry.metrics.count("peer.redirects")
        if view is None or not view.host or view.host == self._settings.host:
            return {"redirect": None}
        if hops >= MAX_HOPS:
            return {"redirect": None}
        return {"redirect": encode_view(view)}

    def _event(self, item: Any, host: str) -> Event:
        origin = Origin(host, int(item["call"]))
        if "cancel" in item:
            return CancelRequested(decode_key(item["cancel"]), origin)
        parsed = parse_request(item["request"])
        if parsed.is_err():
            raise ValueError(parsed.unwrap_err().message)
        request = parsed.unwrap()
        spans = self._telemetry.spans
        span = spans.start("submit", item.get("traceparent", ""))
        spans.end(span, {"request": str(request.key), "origin": host})
        return RequestSubmitted(request, origin, span.traceparent)
