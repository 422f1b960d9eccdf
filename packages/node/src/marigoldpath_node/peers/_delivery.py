"""Brings outcomes to the entry hosts whose callers wait for them."""

from typing import Any

import curio

from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..runtime import HostDirectory
from ._batches import EntryHostClient, Parcel, PeerReplyError, PeerUnavailableError
from ._calls import PendingCalls
from ._codec import encode_outcome

TARGET = "/v1/peer/outcomes"
# An origin that takes nothing for this long is gone or cut off; its callers ask again.
GIVE_UP_S = 10.0
FIRST_PAUSE_S = 0.1
MAX_ADDRESSES = 1_000


class OutcomeDelivery:
    """Ends own calls directly and sends the others by batched POSTs."""

    def __init__(
        self,
        settings: DaemonSettings,
        calls: PendingCalls,
        links: EntryHostClient,
        directory: HostDirectory,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._links = links
        self._directory = directory
        self._telemetry = telemetry
        self._addresses: dict[str, str] = {}

    def learn_address(self, host: str, address: str) -> None:
        """Note the address that an origin gave with its requests."""
        self._addresses.pop(host, None)
        self._addresses[host] = address
        if len(self._addresses) > MAX_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    async def deliver(self, effect: SendOutcome) -> bool:
        """Return whether the origin took the outcome."""
        origin, outcome = effect.origin, effect.outcome
        if origin.host == self._settings.host:
            return await self._calls.end(origin.call, outcome)
        weight = 400 if outcome.answer is None else 400 + outcome.answer.length
        payload = encode_outcome(origin, outcome)
        span = self._telemetry.spans.start("outcome", effect.traceparent)
        try:
            return await self._send_until_taken(effect, payload, weight)
        finally:
            self._telemetry.spans.end(span, {"request": str(outcome.key)})

    async def _send_until_taken(
        self, effect: SendOutcome, payload: dict[str, Any], weight: int
    ) -> bool:
        origin, outcome = effect.origin, effect.outcome
        reason = ""
        pause_s = FIRST_PAUSE_S
        waited_s = 0.0
        while waited_s < GIVE_UP_S:
            try:
                return await self._send(origin.host, origin.call, payload, weight)
            except (PeerUnavailableError, PeerReplyError) as fault:
                self._telemetry.metrics.count("peer.outcome_retries")
                reason = str(fault)
            await curio.sleep(pause_s)
            waited_s += pause_s
            pause_s *= 2
        self._telemetry.log.warning(
            "outcome_not_delivered",
            request=str(outcome.key),
            origin=origin.host,
            reason=reason,
        )
        return False

    async def _send(
        self, host: str, call: int, payload: dict[str, Any], weight: int
    ) -> bool:
        address = self._addresses.get(host)
        if address is None:
            address = self._directory.entry_host_address(host)
        if address is None:
            raise PeerUnavailableError(f"the address of {host} is not known")
        reply = await self._links.batch(
            address, TARGET, Parcel(payload, weight), lambda items: {"outcomes": items}
        )
        return call not in (reply.get("refused") or ())
