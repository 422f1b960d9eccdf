"""Gives submissions to the leaders of zones and asks them for states."""

from typing import Any

from marigoldpath_core.requests import Origin, RequestKey
from marigoldpath_core.routing import (
    LeaderView,
    RetryBudget,
    Route,
    RouteKind,
    follow_redirect,
)
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..runtime import Runtime, clock_ms
from ._batches import EntryHostClient, Parcel, PeerReplyError, PeerUnavailableError
from ._calls import Call
from ._codec import decode_view
from ._leader_directory import LeaderDirectory
from ._submission import Submission

SUBMIT = "/v1/peer/submit"
STATE = "/v1/peer/state"


class NotTakenError(Exception):
    """The submission was certainly not given to a leader."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class Submitter:
    """Finds the leader for a call and hands over what the call asks for."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        *,
        leaders: LeaderDirectory,
        links: EntryHostClient,
        budget: RetryBudget,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._leaders = leaders
        self._links = links
        self._budget = budget
        self._telemetry = telemetry

    async def newest_leader(self, zone: str) -> LeaderView | None:
        """Return the leader of a zone if it is known to serve."""
        route = await self._leaders.find(zone)
        if route.leader is None or not route.leader.serving:
            return None
        return route.leader

    async def submit(self, call: Call, submission: Submission) -> LeaderView:
        """Give the submission to the zone's leader and return that leader.

        Raises NotTakenError, or PeerReplyError when it may have been taken.
        """
        zone = call.key.availability_zone
        route = await self._leaders.find(zone)
        hops = 1
        while True:
            leader = _leader_of(route, zone)
            try:
                named = await self._offer(call, submission, leader, hops)
            except PeerUnavailableError as fault:
                self._leaders.leader_cache.invalidate(zone)
                route = await self._leaders.find(zone)
                if route.leader is None or route.leader.address == leader.address:
                    raise NotTakenError("unreachable", str(fault)) from fault
                if not self._budget.try_acquire(clock_ms()):
                    raise NotTakenError("unreachable", str(fault)) from fault
                continue
            if named is leader:
                return leader
            route = follow_redirect(named, leader.address, hops)
            hops += 1

    async def ask(self, leader: LeaderView, key: RequestKey) -> dict[str, Any] | None:
        """Return the leader's state of a request, None when it knows none.

        Raises PeerUnavailableError or PeerReplyError when it does not tell.
        """
        if leader.host == self._settings.host:
            if not self._runtime.serving:
                raise PeerUnavailableError("this host does not serve as the leader")
            return self._runtime.request_state(key)
        reply = await self._links.batch(
            leader.address,
            STATE,
            Parcel(key._asdict(), 200),
            lambda keys: {"keys": keys},
        )
        try:
            return reply["states"][str(key)]
        except (KeyError, TypeError) as fault:
            raise PeerReplyError(f"{leader.host} does not serve") from fault

    async def _offer(
        self, call: Call, submission: Submission, leader: LeaderView, hops: int
    ) -> LeaderView | None:
        """Return `leader` if it took the submission, else whom it named."""
        if leader.host == self._settings.host:
            return await self._offer_here(call, submission, leader)
        zone = call.key.availability_zone
        parcel = Parcel(submission.payload(call.number), submission.weight)
        try:
            reply = await self._links.batch(
                leader.address,
                SUBMIT,
                parcel,
                lambda items: self._encode(zone, items, hops),
                f"{zone} {hops}",
            )
        except PeerUnavailableError:
            raise
        except BaseException:
            # No usable reply, or the caller's time ended while this was in flight.
            call.ambiguous = call.ambiguous or parcel.taken
            call.sent = call.sent or parcel.taken
            raise
        self._telemetry.metrics.count("peer.submitted")
        if "redirect" in reply:
            return self._named(reply["redirect"])
        for refused in reply.get("refused") or ():
            if refused["call"] == call.number:
                raise NotTakenError("refused_by_peer", refused["message"])
        call.sent = True
        return leader

    async def _offer_here(
        self, call: Call, submission: Submission, leader: LeaderView
    ) -> LeaderView | None:
        if not self._runtime.serving:
            return None
        call.sent = True
        origin = Origin(self._settings.host, call.number)
        await self._runtime.feed(submission.event(origin))
        return leader

    def _named(self, payload: Any) -> LeaderView | None:
        """Take in the leader that a peer named; that peer took nothing."""
        if payload is None:
            return None
        try:
            view = decode_view(payload, clock_ms())
        except (KeyError, TypeError, ValueError) as fault:
            raise NotTakenError(
                "no_leader", f"malformed redirect: {fault!r}"
            ) from fault
        self._leaders.leader_cache.update(view)
        return view

    def _encode(self, zone: str, items: list[Any], hops: int) -> dict[str, Any]:
        return {
            "availability_zone": zone,
            "requests": items,
            "origin": {
                "host": self._settings.host,
                "address": self._settings.address,
            },
            "hops": hops,
        }


def _leader_of(route: Route, zone: str) -> LeaderView:
    if route.kind != RouteKind.FORWARD or route.leader is None:
        raise NotTakenError("no_leader", f"no leader of {zone} takes requests now")
    return route.leader
