"""Sends submissions and state queries to the leaders of zones."""

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
from ._batches import BatchItem, EntryHostClient, PeerReplyError, PeerUnavailableError
from ._calls import PendingCall
from ._codec import decode_view
from ._leader_directory import LeaderDirectory
from ._submission import Submission

SUBMIT_TARGET = "/v1/peer/submit"
STATE_TARGET = "/v1/peer/state"


class NotSubmittedError(Exception):
    """The submission has definitely not been received by a leader."""

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class Submitter:
    """Finds the leader of a zone and sends it the submission of a call."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        *,
        leaders: LeaderDirectory,
        peer_client: EntryHostClient,
        budget: RetryBudget,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._leaders = leaders
        self._peer_client = peer_client
        self._budget = budget
        self._telemetry = telemetry

    async def serving_leader(self, zone: str) -> LeaderView | None:
        """Return the leader of a zone, or None if no serving leader is known."""
        route = await self._leaders.find_route(zone)
        if route.leader is None or not route.leader.serving:
            return None
        return route.leader

    async def submit(self, call: PendingCall, submission: Submission) -> LeaderView:
        """Send the submission to the zone's leader and return that leader.

        Raise NotSubmittedError if no leader accepted it, and PeerReplyError if one may
        have.
        """
        zone = call.key.availability_zone
        route = await self._leaders.find_route(zone)
        hops = 1
        while True:
            leader = _require_leader(route, zone)
            try:
                named = await self._submit_to(call, submission, leader, hops)
            except PeerUnavailableError as error:
                self._leaders.leader_cache.invalidate(zone)
                route = await self._leaders.find_route(zone)
                if route.leader is None or route.leader.address == leader.address:
                    raise NotSubmittedError("unreachable", str(error)) from error
                if not self._budget.try_acquire(clock_ms()):
                    raise NotSubmittedError("unreachable", str(error)) from error
                continue
            if named is leader:
                return leader
            route = follow_redirect(named, leader.address, hops)
            hops += 1

    async def query_state(
        self, leader: LeaderView, key: RequestKey
    ) -> dict[str, Any] | None:
        """Return a request's state, or None if the leader has no record of it.

        Raise PeerUnavailableError or PeerReplyError if the leader does not return one.
        """
        if leader.host == self._settings.host:
            if not self._runtime.serving:
                raise PeerUnavailableError("this host does not serve as the leader")
            return self._runtime.request_state(key)
        reply = await self._peer_client.post_batched(
            leader.address,
            STATE_TARGET,
            BatchItem(key._asdict(), 200),
            lambda keys: {"keys": keys},
        )
        try:
            return reply["states"][str(key)]
        except (KeyError, TypeError) as error:
            raise PeerReplyError(f"{leader.host} does not serve") from error

    async def _submit_to(
        self, call: PendingCall, submission: Submission, leader: LeaderView, hops: int
    ) -> LeaderView | None:
        """Return `leader` if it accepted the submission, else the leader it named."""
        if leader.host == self._settings.host:
            return await self._submit_locally(call, submission, leader)
        zone = call.key.availability_zone
        item = BatchItem(submission.payload(call.number), submission.size_bytes)
        try:
            reply = await self._peer_client.post_batched(
                leader.address,
                SUBMIT_TARGET,
                item,
                lambda items: self._encode_submissions(zone, items, hops),
                f"{zone} {hops}",
            )
        except PeerUnavailableError:
            raise
        except BaseException:
            # No valid reply arrived, or the call timed out while this was in flight.
            call.ambiguous = call.ambiguous or item.is_posted
            call.sent = call.sent or item.is_posted
            raise
        self._telemetry.metrics.count("peer.submitted")
        if "redirect" in reply:
            return self._decode_redirect(reply["redirect"])
        for refused in reply.get("refused") or ():
            if refused["call"] == call.number:
                raise NotSubmittedError("refused_by_peer", refused["message"])
        call.sent = True
        return leader

    async def _submit_locally(
        self, call: PendingCall, submission: Submission, leader: LeaderView
    ) -> LeaderView | None:
        if not self._runtime.serving:
            return None
        call.sent = True
        origin = Origin(self._settings.host, call.number)
        await self._runtime.feed(submission.event(origin))
        return leader

    def _decode_redirect(self, payload: Any) -> LeaderView | None:
        """Record and return the leader that a redirect names.

        A peer that redirects has accepted none of the submissions.
        """
        if payload is None:
            return None
        try:
            view = decode_view(payload, clock_ms())
        except (KeyError, TypeError, ValueError) as error:
            raise NotSubmittedError(
                "no_leader", f"malformed redirect: {error!r}"
            ) from error
        self._leaders.leader_cache.update(view)
        return view

    def _encode_submissions(
        self, zone: str, items: list[Any], hops: int
    ) -> dict[str, Any]:
        return {
            "availability_zone": zone,
            "requests": items,
            "origin": {
                "host": self._settings.host,
                "address": self._settings.address,
            },
            "hops": hops,
        }


def _require_leader(route: Route, zone: str) -> LeaderView:
    if route.kind != RouteKind.FORWARD or route.leader is None:
        raise NotSubmittedError("no_leader", f"no leader of {zone} takes requests now")
    return route.leader
