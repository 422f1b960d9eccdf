"""The lines of a trace: a header, then events, each followed by its outcomes."""

import hashlib
import json
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple, NotRequired, TypedDict

from marigoldpath_core.messages import Effect, Log, SendOutcome
from marigoldpath_core.settings import (
    DaemonSettings,
    ObservabilitySettings,
    load_settings,
)

from ._codec import decode_event, encode_event

FORMAT = 1
DIGEST_LETTERS = 12


class HeaderLine(TypedDict):
    """The first line: who recorded the trace. `settings` leaves the keys out."""

    trace: int
    incarnation: str
    settings: dict[str, Any]


class EventLine(TypedDict):
    """An event and, when it had effects, the digest of these."""

    at_ms: int
    event: str
    fields: NotRequired[dict[str, Any]]
    effects: NotRequired[str]


class OutcomeLine(TypedDict):
    """What the caller of a request was told after the event before."""

    at_ms: int
    request: str
    outcome: str
    code: NotRequired[str]


class TraceHeader(NamedTuple):
    """The scheduler that a trace was recorded from."""

    incarnation: str
    settings: DaemonSettings


class TracedOutcome(NamedTuple):
    """What the caller of a request was told."""

    request: str
    outcome: str
    code: str = ""


class TracedEvent(NamedTuple):
    """An event with what the scheduler made of it."""

    at_ms: int
    event: Any
    effects: str = ""
    outcomes: tuple[TracedOutcome, ...] = ()


class Trace(NamedTuple):
    """A trace as recorded."""

    header: TraceHeader
    events: tuple[TracedEvent, ...]


class TraceError(ValueError):
    """A trace cannot be read; the message names the line."""


def effects_digest(effects: Iterable[Effect]) -> str:
    """Return the digest of the effects of one event, empty without any.

    Log lines are left out, so that their wording can change. The order of effects is
    left out because that of a set differs between processes.
    """
    texts = sorted(
        json.dumps([type(effect).__name__, effect], sort_keys=True)
        for effect in effects
        if not isinstance(effect, Log)
    )
    if not texts:
        return ""
    return hashlib.sha256("\n".join(texts).encode()).hexdigest()[:DIGEST_LETTERS]


def outcomes_of(effects: Iterable[Effect]) -> tuple[TracedOutcome, ...]:
    """Return what the effects tell callers."""
    return tuple(
        TracedOutcome(
            str(effect.outcome.key), effect.outcome.kind.value, effect.outcome.code
        )
        for effect in effects
        if isinstance(effect, SendOutcome)
    )


def header_line(header: TraceHeader) -> str:
    """Return the first line of a trace, without secrets and paths."""
    settings = header.settings._replace(keys=(), observability=ObservabilitySettings())
    line: HeaderLine = {
        "trace": FORMAT,
        "incarnation": header.incarnation,
        "settings": _plain(settings),
    }
    return _text(line)


def event_lines(traced: TracedEvent) -> list[str]:
    """Return the lines of an event and of its outcomes."""
    name, fields = encode_event(traced.event)
    line: EventLine = {"at_ms": traced.at_ms, "event": name}
    if fields:
        line["fields"] = fields
    if traced.effects:
        line["effects"] = traced.effects
    lines = [_text(line)]
    for told in traced.outcomes:
        outcome: OutcomeLine = {
            "at_ms": traced.at_ms,
            "request": told.request,
            "outcome": told.outcome,
        }
        if told.code:
            outcome["code"] = told.code
        lines.append(_text(outcome))
    return lines


def parse_trace(lines: Sequence[str]) -> Trace:
    """Return a trace; raises TraceError.

    A last line that was cut off, as by a kill of the recording process, is left out.
    """
    payloads = []
    for number, line in enumerate(lines, 1):
        try:
            payloads.append((number, json.loads(line)))
        except ValueError as fault:
            if number < len(lines) or number == 1:
                raise TraceError(f"line {number}: {fault}") from fault
    if not payloads:
        raise TraceError("line 1: the trace is empty")
    header = _read_header(payloads[0][1])
    events: list[TracedEvent] = []
    for number, payload in payloads[1:]:
        try:
            _read_line(payload, events)
        except (LookupError, TypeError, ValueError) as fault:
            raise TraceError(f"line {number}: {fault!r}") from fault
    return Trace(header, tuple(events))


def _read_header(payload: Any) -> TraceHeader:
    if not isinstance(payload, dict) or payload.get("trace") != FORMAT:
        raise TraceError(f"line 1: not the header of a trace of format {FORMAT}")
    loaded = load_settings(json.dumps(payload.get("settings")))
    if loaded.is_err():
        faults = "; ".join(str(fault) for fault in loaded.unwrap_err())
        raise TraceError(f"line 1: {faults}")
    return TraceHeader(str(payload.get("incarnation")), loaded.unwrap())


def _read_line(payload: Any, events: list[TracedEvent]) -> None:
    if "event" in payload:
        event = decode_event(payload["event"], payload.get("fields", {}))
        events.append(TracedEvent(payload["at_ms"], event, payload.get("effects", "")))
        return
    told = TracedOutcome(
        payload["request"], payload["outcome"], payload.get("code", "")
    )
    last = events[-1]
    events[-1] = last._replace(outcomes=(*last.outcomes, told))


def _plain(value: Any) -> Any:
    """Return named tuples as JSON objects, also inside other values."""
    if hasattr(value, "_asdict"):
        return {name: _plain(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [_plain(item) for item in value]
    return value


def _text(line: Any) -> str:
    return json.dumps(line, separators=(",", ":"))
