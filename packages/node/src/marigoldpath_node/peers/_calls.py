"""Calls on this entry host that wait for an outcome."""

import random

import curio

from marigoldpath_core.requests import Outcome, OutcomeKind, RequestKey

from ..runtime import clock_ms


class PendingCall:
    """A call that waits for the outcome of one request.

    `sent` means that a leader has received, or may have received, the request.
    `ambiguous` means that a submission got no reply, so a copy may still reach a
    leader even after the request was refused.
    """

    def __init__(self, number: int, key: RequestKey) -> None:
        self.number = number
        self.key = key
        self.outcome: Outcome | None = None
        self.sent = False
        self.ambiguous = False
        self.opened_ms = clock_ms()
        self.resubmit_until_ms = self.opened_ms
        self._completed = curio.Event()

    async def wait(self, seconds: float) -> Outcome | None:
        """Return the outcome, or None if there is none within `seconds`."""
        if self.outcome is None:
            await curio.ignore_after(seconds, self._completed.wait)
        return self.outcome

    def reopen(self) -> None:
        """Clear the outcome and wait for one from the zone's next leader."""
        assert self.outcome is not None
        self.sent = self.ambiguous or self.outcome.kind is not OutcomeKind.NOT_RUN
        self.outcome = None
        self._completed.clear()

    async def complete(self, outcome: Outcome) -> None:
        """Set the outcome; later outcomes are ignored."""
        if self.outcome is None:
            self.outcome = outcome
            await self._completed.set()


class PendingCalls:
    """Pending calls by number."""

    def __init__(self) -> None:
        # Call numbers start at a random value, so that a restarted daemon does not
        # accept outcomes for calls of its previous incarnation. JSON readers keep
        # integers exact up to 53 bits.
        self._next = random.SystemRandom().getrandbits(52)
        self._calls: dict[int, PendingCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, key: RequestKey) -> PendingCall:
        """Register and return a call that waits for the outcome of a request."""
        self._next += 1
        call = PendingCall(self._next, key)
        self._calls[call.number] = call
        return call

    def close(self, call: PendingCall) -> None:
        """Remove a call."""
        self._calls.pop(call.number, None)

    async def complete(self, number: int, outcome: Outcome) -> bool:
        """Complete a call; return whether it was waiting for that request."""
        call = self._calls.get(number)
        if call is None or call.key != outcome.key:
            return False
        await call.complete(outcome)
        return True
