"""The calls at this entry host that wait for an outcome."""

import random

import curio

from marigoldpath_core.requests import Outcome, OutcomeKind, RequestKey

from ..runtime import clock_ms


class Call:
    """One caller's wait for the outcome of one request.

    `sent` means that a leader has or may have the request; `ambiguous` that a
    submission got no reply, so that a copy may reach a leader even after the request
    was refused.
    """

    def __init__(self, number: int, key: RequestKey) -> None:
        self.number = number
        self.key = key
        self.outcome: Outcome | None = None
        self.sent = False
        self.ambiguous = False
        self.opened_ms = clock_ms()
        self.move_until_ms = self.opened_ms
        self._ended = curio.Event()

    async def wait(self, seconds: float) -> Outcome | None:
        """Return the outcome, or None when it does not come within `seconds`."""
        if self.outcome is None:
            await curio.ignore_after(seconds, self._ended.wait)
        return self.outcome

    def reopen(self) -> None:
        """Wait again, for the outcome that the zone's next leader gives."""
        assert self.outcome is not None
        self.sent = self.ambiguous or self.outcome.kind is not OutcomeKind.NOT_RUN
        self.outcome = None
        self._ended.clear()

    async def end(self, outcome: Outcome) -> None:
        """Set the outcome; a second one is ignored."""
        if self.outcome is None:
            self.outcome = outcome
            await self._ended.set()


class PendingCalls:
    """Calls by number."""

    def __init__(self) -> None:
        # A restarted daemon must not take outcomes meant for calls of its
        # predecessor, so numbers begin at a random place. JSON readers keep 53 bits.
        self._next = random.SystemRandom().getrandbits(52)
        self._calls: dict[int, Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, key: RequestKey) -> Call:
        """Return a new call that waits for the outcome of a request."""
        self._next += 1
        call = Call(self._next, key)
        self._calls[call.number] = call
        return call

    def close(self, call: Call) -> None:
        """Forget a call."""
        self._calls.pop(call.number, None)

    async def end(self, number: int, outcome: Outcome) -> bool:
        """Give a call its outcome; return whether it waits for that request."""
        call = self._calls.get(number)
        if call is None or call.key != outcome.key:
            return False
        await call.end(outcome)
        return True
