"""Callers that come back with the same id until they know what became of it."""

from typing import Any, NamedTuple

from marigoldpath_core.messages import CancelRequested, RequestSubmitted
from marigoldpath_core.requests import (
    Origin,
    Outcome,
    OutcomeKind,
    Request,
    RequestKey,
    Size,
)

from ._simulation import ZoneSimulation

RETRY_MS = 500


class Told(NamedTuple):
    """What a caller was told and when."""

    at_ms: int
    outcome: Outcome


class Call:
    """One request with what its caller was told, in order.

    Once an ask went unanswered or got "unknown", an entry host no longer passes "not
    run" on, because a later leader cannot know of the earlier ask.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.told: list[Told] = []
        self.asked_ms: list[int] = []
        self.is_uncertain = False

    @property
    def outcomes(self) -> list[Outcome]:
        """All that the caller was told."""
        return [told.outcome for told in self.told]

    def asks(self, now_ms: int) -> None:
        """Note that the caller asks."""
        last = self.told[-1].outcome.kind if self.told else None
        if self.asked_ms and last not in (OutcomeKind.NOT_RUN, OutcomeKind.ACCEPTED):
            self.is_uncertain = True
        self.asked_ms.append(now_ms)

    def tell(self, now_ms: int, outcome: Outcome) -> None:
        """Note what the caller is told."""
        if self.is_uncertain and outcome.kind is OutcomeKind.NOT_RUN:
            outcome = outcome._replace(kind=OutcomeKind.UNKNOWN)
        self.told.append(Told(now_ms, outcome))

    @property
    def outcome(self) -> OutcomeKind | None:
        """The last thing that the caller was told."""
        return self.outcomes[-1].kind if self.outcomes else None


class Callers:
    """Submit requests to hosts of a world and collect the outcomes.

    An entry host asks the zone's leader, so a call goes to whichever host serves;
    `through` names another one. `comes_back` makes each caller ask again with the
    same id while it does not know the end.
    """

    def __init__(self, simulation: ZoneSimulation, comes_back: bool = True) -> None:
        self._world = simulation
        self._comes_back = comes_back
        self._calls: dict[str, Call] = {}
        self._numbers: dict[int, str] = {}
        self._next_number = 0
        self._seen = 0
        self._asked_at_ms: dict[str, int] = {}

    @property
    def calls(self) -> list[Call]:
        """All calls so far."""
        return list(self._calls.values())

    def call(self, name: str) -> Call:
        """Return a call by its request's id."""
        return self._calls[name]

    def submit(self, name: str, through: str | None = None, **fields: Any) -> None:
        """Submit a request of `team`; other fields are those of Request."""
        request = Request(
            RequestKey(fields.pop("team", "counter"), self._world.zone, name),
            fields.pop("kind", "alignment_check"),
            fields.pop("size", Size(1_000, 1_000, 0, 1, 1)),
            **fields,
        )
        self._calls[name] = Call(request)
        self.resubmit(name, through)

    def resubmit(self, name: str, through: str | None = None) -> None:
        """Submit a request that was submitted before."""
        call = self._calls[name]
        request = call.request
        call.asks(self._world.now_ms)
        self._asked_at_ms[name] = self._world.now_ms
        for host in [through] if through else self._world.serving:
            origin = Origin(host, self._number(name))
            self._world.deliver(host, RequestSubmitted(request, origin))

    def cancel(self, name: str) -> None:
        """Cancel a request."""
        for host in self._world.serving:
            key = self._calls[name].request.key
            origin = Origin(host, self._number(name))
            self._world.deliver(host, CancelRequested(key, origin))

    def run(self, milliseconds: int) -> None:
        """Let time pass while callers come back."""
        end_ms = self._world.now_ms + milliseconds
        while self._world.now_ms < end_ms:
            self._world.run(50)
            self.collect()
            if self._comes_back:
                self._come_back()

    def collect(self) -> None:
        """Note the outcomes that were sent since the last time."""
        outcomes = self._world.outcomes
        for _, number, outcome in outcomes[self._seen :]:
            name = self._numbers[number]
            assert outcome.key.id == name, f"{name} was told of {outcome.key}"
            self._calls[name].tell(self._world.now_ms, outcome)
        self._seen = len(outcomes)

    def _come_back(self) -> None:
        for name, call in self._calls.items():
            if self._world.now_ms - self._asked_at_ms[name] < RETRY_MS:
                continue
            if self._is_open(call):
                self.resubmit(name)

    def _is_open(self, call: Call) -> bool:
        last = call.outcomes[-1] if call.outcomes else None
        return last is None or last.retry_after_ms > 0

    def _number(self, name: str) -> int:
        self._next_number += 1
        self._numbers[self._next_number] = name
        return self._next_number
