"""Delivers outcomes to the entry hosts whose callers wait for them."""

from typing import Any

import curio

from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.settings import DaemonSettings

from ..observability import Telemetry
from ..runtime import HostDirectory
from ._batches import BatchItem, EntryHostClient, PeerReplyError, PeerUnavailableError
from ._calls import PendingCalls
from ._codec import encode_outcome

TARGET = "/v1/peer/outcomes"
# An origin that accepts nothing for this long has stopped or is partitioned; its
# callers query the state of their requests again.
DELIVERY_TIMEOUT_S = 10.0
INITIAL_BACKOFF_S = 0.1
MAX_ADDRESSES = 1_000


class OutcomeDelivery:
    """Completes calls on this host directly and sends other outcomes in batches."""

    def __init__(
        self,
        settings: DaemonSettings,
        calls: PendingCalls,
        peer_client: EntryHostClient,
        directory: HostDirectory,
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._calls = calls
        self._peer_client = peer_client
        self._directory = directory
        self._telemetry = telemetry
        self._addresses: dict[str, str] = {}

    def record_address(self, host: str, address: str) -> None:
        """Record the address that an origin sent with its requests."""
        self._addresses.pop(host, None)
        self._addresses[host] = address
        if len(self._addresses) > MAX_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    async def deliver(self, effect: SendOutcome) -> bool:
        """Return whether the origin accepted the outcome."""
        origin, outcome = effect.origin, effect.outcome
        if origin.host == self._settings.host:
            return await self._calls.complete(origin.call, outcome)
        size_bytes = 400 if outcome.answer is None else 400 + outcome.answer.length
        payload = encode_outcome(origin, outcome)
        span = self._telemetry.spans.start("outcome", effect.traceparent)
        try:
            return await self._send_with_retries(effect, payload, size_bytes)
        finally:
            self._telemetry.spans.end(span, {"request": str(outcome.key)})

    async def _send_with_retries(
        self, effect: SendOutcome, payload: dict[str, Any], size_bytes: int
    ) -> bool:
        origin, outcome = effect.origin, effect.outcome
        reason = ""
        backoff_s = INITIAL_BACKOFF_S
        waited_s = 0.0
        while waited_s < DELIVERY_TIMEOUT_S:
            try:
                return await self._send(origin.host, origin.call, payload, size_bytes)
            except (PeerUnavailableError, PeerReplyError) as error:
                self._telemetry.metrics.count("peer.outcome_retries")
                reason = str(error)
            await curio.sleep(backoff_s)
            waited_s += backoff_s
            backoff_s *= 2
        self._telemetry.log.warning(
            "outcome_not_delivered",
            request=str(outcome.key),
            origin=origin.host,
            reason=reason,
        )
        return False

    async def _send(
        self, host: str, call: int, payload: dict[str, Any], size_bytes: int
    ) -> bool:
        address = self._addresses.get(host)
        if address is None:
            address = self._directory.entry_host_address(host)
        if address is None:
            raise PeerUnavailableError(f"the address of {host} is not known")
        reply = await self._peer_client.post_batched(
            address,
            TARGET,
            BatchItem(payload, size_bytes),
            lambda items: {"outcomes": items},
        )
        return call not in (reply.get("refused") or ())
