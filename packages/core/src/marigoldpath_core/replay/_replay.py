"""Replays a trace with a new scheduler and compares the effects with the recorded."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.messages import Effect, RequestSubmitted
from marigoldpath_core.registry import Registry
from marigoldpath_core.scheduler import ZoneScheduler

from ._caller_events import ConfigurationApplied, DrainBegun
from ._trace import Trace, TracedEvent, TracedOutcome, collect_outcomes, effects_digest

ControlHandler = Callable[[ZoneScheduler, Any], None]
CONTROL_HANDLERS: Registry[type, ControlHandler] = Registry("control of a scheduler")


class Difference(NamedTuple):
    """A difference between the recorded and the replayed effects or outcomes.

    `location` identifies the event or request.
    """

    location: str
    recorded: str
    replayed: str


class ReplayResult(NamedTuple):
    """The result of a replay: the differences, and counts of what the trace contains.

    `requests` is the number of requests submitted, and `outcomes` the number of
    requests to whose caller an outcome was sent.
    """

    events: int
    requests: int
    outcomes: int
    differences: tuple[Difference, ...]

    def line(self) -> str:
        """Return a one-line summary of the replay."""
        return (
            f"replay: events={self.events} requests={self.requests} "
            f"outcomes={self.outcomes} differing={len(self.differences)}"
        )


def replay_trace(trace: Trace) -> ReplayResult:
    """Replay a trace; compare each event's effects and each request's last outcome.

    The replay continues after a difference, so that every request is compared.
    """
    replayed = rerun(trace)
    differences = []
    for number, (expected_event, actual_event) in enumerate(
        zip(trace.events, replayed.events), 1
    ):
        if expected_event.effects != actual_event.effects:
            name = (
                f"event {number} {type(expected_event.event).__name__} "
                f"at {expected_event.at_ms}"
            )
            differences.append(
                Difference(name, expected_event.effects, actual_event.effects)
            )
    expected_outcomes, actual_outcomes = _last_outcomes(trace), _last_outcomes(replayed)
    for request in sorted(expected_outcomes.keys() | actual_outcomes.keys()):
        expected_outcome, actual_outcome = (
            expected_outcomes.get(request),
            actual_outcomes.get(request),
        )
        if expected_outcome != actual_outcome:
            differences.append(
                Difference(
                    request,
                    _format_outcome(expected_outcome),
                    _format_outcome(actual_outcome),
                )
            )
    requests = {
        event.request.key
        for _, event, *_ in trace.events
        if isinstance(event, RequestSubmitted)
    }
    return ReplayResult(
        len(trace.events), len(requests), len(expected_outcomes), tuple(differences)
    )


def rerun(trace: Trace) -> Trace:
    """Process the events of a trace with a new scheduler; return the new trace."""
    scheduler = ZoneScheduler(trace.header.settings, trace.header.incarnation)
    events = tuple(_rerun_event(scheduler, traced) for traced in trace.events)
    return Trace(trace.header, events)


def _rerun_event(scheduler: ZoneScheduler, traced: TracedEvent) -> TracedEvent:
    event = traced.event
    if type(event) in CONTROL_HANDLERS:
        CONTROL_HANDLERS.get(type(event))(scheduler, event)
        return TracedEvent(traced.at_ms, event)
    try:
        effects = scheduler.handle(event, traced.at_ms)
    except Exception as error:
        return trace_exception(traced.at_ms, event, error)
    return trace_effects(traced.at_ms, event, effects)


def trace_effects(at_ms: int, event: Any, effects: list[Effect]) -> TracedEvent:
    """Return the traced form of an event and its effects."""
    return TracedEvent(at_ms, event, effects_digest(effects), collect_outcomes(effects))


def trace_exception(at_ms: int, event: Any, error: Exception) -> TracedEvent:
    """Return the traced form of an event for which the scheduler raised an error."""
    return TracedEvent(at_ms, event, f"raised {type(error).__name__}")


@CONTROL_HANDLERS.register(ConfigurationApplied)
def _configure(scheduler: ZoneScheduler, event: ConfigurationApplied) -> None:
    scheduler.configure(event.configuration)


@CONTROL_HANDLERS.register(DrainBegun)
def _drain(scheduler: ZoneScheduler, event: DrainBegun) -> None:
    scheduler.drain()


def _last_outcomes(trace: Trace) -> dict[str, TracedOutcome]:
    return {
        outcome.request: outcome
        for traced in trace.events
        for outcome in traced.outcomes
    }


def _format_outcome(traced: TracedOutcome | None) -> str:
    return "nothing" if traced is None else f"{traced.outcome} {traced.code}".strip()
