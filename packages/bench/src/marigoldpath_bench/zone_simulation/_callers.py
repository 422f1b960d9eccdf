"""Callers that resubmit a request under the same id until its outcome is final."""

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

RETRY_INTERVAL_MS = 500


class ReceivedOutcome(NamedTuple):
    """An outcome and the time at which the caller received it."""

    at_ms: int
    outcome: Outcome


class Call:
    """One request and the outcomes that its caller received, in order.

    After a submission that got no reply or the outcome "unknown", the entry host
    reports "unknown" instead of "not run": a later leader has no record of the earlier
    submission, which may have run.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.received: list[ReceivedOutcome] = []
        self.submitted_ms: list[int] = []
        self.may_have_been_processed = False

    @property
    def outcomes(self) -> list[Outcome]:
        """All outcomes that the caller received."""
        return [received.outcome for received in self.received]

    def record_submission(self, now_ms: int) -> None:
        """Record that the caller submits the request now."""
        last = self.received[-1].outcome.kind if self.received else None
        if self.submitted_ms and last not in (
            OutcomeKind.NOT_RUN,
            OutcomeKind.ACCEPTED,
        ):
            self.may_have_been_processed = True
        self.submitted_ms.append(now_ms)

    def record_outcome(self, now_ms: int, outcome: Outcome) -> None:
        """Record an outcome that the caller receives now."""
        if self.may_have_been_processed and outcome.kind is OutcomeKind.NOT_RUN:
            outcome = outcome._replace(kind=OutcomeKind.UNKNOWN)
        self.received.append(ReceivedOutcome(now_ms, outcome))

    @property
    def outcome(self) -> OutcomeKind | None:
        """The kind of the last outcome, or None."""
        return self.outcomes[-1].kind if self.outcomes else None


class Callers:
    """Submit requests to hosts of a simulated zone and collect the outcomes.

    Entry hosts forward requests to the zone's leader, so a call is delivered directly
    to each host that serves the zone; `through` names another host. With `resubmits`,
    each caller submits its request again under the same id until the outcome is final.
    """

    def __init__(self, simulation: ZoneSimulation, resubmits: bool = True) -> None:
        self._simulation = simulation
        self._resubmits = resubmits
        self._calls: dict[str, Call] = {}
        self._names_by_call: dict[int, str] = {}
        self._last_call = 0
        self._collected_count = 0
        self._last_submitted_ms: dict[str, int] = {}

    @property
    def calls(self) -> list[Call]:
        """All calls so far."""
        return list(self._calls.values())

    def call(self, name: str) -> Call:
        """Return a call by its request's id."""
        return self._calls[name]

    def submit(self, name: str, through: str | None = None, **fields: Any) -> None:
        """Submit a new request; `fields` are `team` and the fields of `Request`."""
        request = Request(
            RequestKey(fields.pop("team", "counter"), self._simulation.zone, name),
            fields.pop("kind", "alignment_check"),
            fields.pop("size", Size(1_000, 1_000, 0, 1, 1)),
            **fields,
        )
        self._calls[name] = Call(request)
        self.resubmit(name, through)

    def resubmit(self, name: str, through: str | None = None) -> None:
        """Submit a recorded request, again or for the first time."""
        call = self._calls[name]
        request = call.request
        call.record_submission(self._simulation.now_ms)
        self._last_submitted_ms[name] = self._simulation.now_ms
        for host in [through] if through else self._simulation.serving:
            origin = Origin(host, self._next_call(name))
            self._simulation.deliver(host, RequestSubmitted(request, origin))

    def cancel(self, name: str) -> None:
        """Cancel a request."""
        for host in self._simulation.serving:
            key = self._calls[name].request.key
            origin = Origin(host, self._next_call(name))
            self._simulation.deliver(host, CancelRequested(key, origin))

    def run(self, milliseconds: int) -> None:
        """Run the simulation while callers resubmit their requests."""
        end_ms = self._simulation.now_ms + milliseconds
        while self._simulation.now_ms < end_ms:
            self._simulation.run(50)
            self.collect()
            if self._resubmits:
                self._resubmit_open()

    def collect(self) -> None:
        """Record the outcomes that were sent since the last call."""
        outcomes = self._simulation.outcomes
        for _, number, outcome in outcomes[self._collected_count :]:
            name = self._names_by_call[number]
            assert outcome.key.id == name, f"{name} got the outcome of {outcome.key}"
            self._calls[name].record_outcome(self._simulation.now_ms, outcome)
        self._collected_count = len(outcomes)

    def _resubmit_open(self) -> None:
        for name, call in self._calls.items():
            if (
                self._simulation.now_ms - self._last_submitted_ms[name]
                < RETRY_INTERVAL_MS
            ):
                continue
            if self._is_open(call):
                self.resubmit(name)

    def _is_open(self, call: Call) -> bool:
        last = call.outcomes[-1] if call.outcomes else None
        return last is None or last.retry_after_ms > 0

    def _next_call(self, name: str) -> int:
        self._last_call += 1
        self._names_by_call[self._last_call] = name
        return self._last_call
