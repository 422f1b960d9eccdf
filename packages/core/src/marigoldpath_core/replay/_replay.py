"""Feeds a trace to a new scheduler and compares what comes out."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.messages import Effect, RequestSubmitted
from marigoldpath_core.registry import Registry
from marigoldpath_core.scheduler import ZoneScheduler

from ._caller_events import ConfigurationApplied, DrainBegun
from ._trace import Trace, TracedEvent, TracedOutcome, effects_digest, outcomes_of

Control = Callable[[ZoneScheduler, Any], None]
CONTROLS: Registry[type, Control] = Registry("control of a scheduler")


class Difference(NamedTuple):
    """An event or a request of which the replay differs; `at` names it."""

    at: str
    recorded: str
    replayed: str


class ReplayResult(NamedTuple):
    """What a replay counted; `outcomes` are the requests whose callers were told."""

    events: int
    requests: int
    outcomes: int
    differences: tuple[Difference, ...]

    def line(self) -> str:
        """Return the closing line of a replay."""
        return (
            f"replay: events={self.events} requests={self.requests} "
            f"outcomes={self.outcomes} differing={len(self.differences)}"
        )


def replay_trace(trace: Trace) -> ReplayResult:
    """Compare the effects of each event, and what each caller was told last.

    A replay in which an event differs goes on, so that every request is compared.
    """
    replayed = rerun(trace)
    differences = []
    for number, (before, after) in enumerate(zip(trace.events, replayed.events), 1):
        if before.effects != after.effects:
            name = f"event {number} {type(before.event).__name__} at {before.at_ms}"
            differences.append(Difference(name, before.effects, after.effects))
    recorded, told = _last_told(trace), _last_told(replayed)
    for request in sorted(recorded.keys() | told.keys()):
        one, other = recorded.get(request), told.get(request)
        if one != other:
            differences.append(Difference(request, _shown(one), _shown(other)))
    requests = {
        event.request.key
        for _, event, *_ in trace.events
        if isinstance(event, RequestSubmitted)
    }
    return ReplayResult(
        len(trace.events), len(requests), len(recorded), tuple(differences)
    )


def rerun(trace: Trace) -> Trace:
    """Return the trace with what a new scheduler makes of its events."""
    scheduler = ZoneScheduler(trace.header.settings, trace.header.incarnation)
    events = tuple(_rerun_event(scheduler, traced) for traced in trace.events)
    return Trace(trace.header, events)


def _rerun_event(scheduler: ZoneScheduler, traced: TracedEvent) -> TracedEvent:
    event = traced.event
    if type(event) in CONTROLS:
        CONTROLS.get(type(event))(scheduler, event)
        return TracedEvent(traced.at_ms, event)
    try:
        effects = scheduler.handle(event, traced.at_ms)
    except Exception as fault:
        return trace_exception(traced.at_ms, event, fault)
    return trace_effects(traced.at_ms, event, effects)


def trace_effects(at_ms: int, event: Any, effects: list[Effect]) -> TracedEvent:
    """Return what is recorded of an event and its effects."""
    return TracedEvent(at_ms, event, effects_digest(effects), outcomes_of(effects))


def trace_exception(at_ms: int, event: Any, fault: Exception) -> TracedEvent:
    """Return what is recorded of an event that the scheduler failed on."""
    return TracedEvent(at_ms, event, f"raised {type(fault).__name__}")


@CONTROLS.register(ConfigurationApplied)
def _configure(scheduler: ZoneScheduler, event: ConfigurationApplied) -> None:
    scheduler.configure(event.configuration)


@CONTROLS.register(DrainBegun)
def _drain(scheduler: ZoneScheduler, event: DrainBegun) -> None:
    scheduler.drain()


def _last_told(trace: Trace) -> dict[str, TracedOutcome]:
    return {told.request: told for traced in trace.events for told in traced.outcomes}


def _shown(told: TracedOutcome | None) -> str:
    return "nothing" if told is None else f"{told.outcome} {told.code}".strip()
