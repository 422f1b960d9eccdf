"""Encodes and parses traces: a header, then events, each followed by its outcomes."""

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

FORMAT_VERSION = 1
DIGEST_HEX_DIGITS = 12


class HeaderLine(TypedDict):
    """The first line; it describes the scheduler that was recorded.

    In `settings`, the access keys are removed and the observability settings, which
    contain paths, are replaced by the defaults.
    """

    trace: int
    incarnation: str
    settings: dict[str, Any]


class EventLine(TypedDict):
    """An event and the digest of its effects, if it had any."""

    at_ms: int
    event: str
    fields: NotRequired[dict[str, Any]]
    effects: NotRequired[str]


class OutcomeLine(TypedDict):
    """An outcome that was sent to a caller as an effect of the preceding event."""

    at_ms: int
    request: str
    outcome: str
    code: NotRequired[str]


class TraceHeader(NamedTuple):
    """The incarnation and settings of the scheduler that was recorded."""

    incarnation: str
    settings: DaemonSettings


class TracedOutcome(NamedTuple):
    """An outcome that was sent to the caller of a request."""

    request: str
    outcome: str
    code: str = ""


class TracedEvent(NamedTuple):
    """An event with the digest of its effects and the outcomes it caused."""

    at_ms: int
    event: Any
    effects: str = ""
    outcomes: tuple[TracedOutcome, ...] = ()


class Trace(NamedTuple):
    """A recorded trace."""

    header: TraceHeader
    events: tuple[TracedEvent, ...]


class TraceError(ValueError):
    """A trace cannot be read; the message contains the line number."""


def effects_digest(effects: Iterable[Effect]) -> str:
    """Return the digest of the effects of one event, or an empty string without any.

    Log lines are omitted, so that a change of their wording does not change the digest.
    The order of effects is ignored, because the iteration order of a set differs
    between processes.
    """
    texts = sorted(
        json.dumps([type(effect).__name__, effect], sort_keys=True)
        for effect in effects
        if not isinstance(effect, Log)
    )
    if not texts:
        return ""
    return hashlib.sha256("\n".join(texts).encode()).hexdigest()[:DIGEST_HEX_DIGITS]


def collect_outcomes(effects: Iterable[Effect]) -> tuple[TracedOutcome, ...]:
    """Return the outcomes that the effects send to callers."""
    return tuple(
        TracedOutcome(
            str(effect.outcome.key), effect.outcome.kind.value, effect.outcome.code
        )
        for effect in effects
        if isinstance(effect, SendOutcome)
    )


def header_line(header: TraceHeader) -> str:
    """Return the first line of a trace, without access keys and paths."""
    settings = header.settings._replace(keys=(), observability=ObservabilitySettings())
    line: HeaderLine = {
        "trace": FORMAT_VERSION,
        "incarnation": header.incarnation,
        "settings": _to_json_value(settings),
    }
    return _encode_line(line)


def event_lines(traced: TracedEvent) -> list[str]:
    """Return the lines of an event and of its outcomes."""
    name, fields = encode_event(traced.event)
    line: EventLine = {"at_ms": traced.at_ms, "event": name}
    if fields:
        line["fields"] = fields
    if traced.effects:
        line["effects"] = traced.effects
    lines = [_encode_line(line)]
    for traced_outcome in traced.outcomes:
        outcome: OutcomeLine = {
            "at_ms": traced.at_ms,
            "request": traced_outcome.request,
            "outcome": traced_outcome.outcome,
        }
        if traced_outcome.code:
            outcome["code"] = traced_outcome.code
        lines.append(_encode_line(outcome))
    return lines


def parse_trace(lines: Sequence[str]) -> Trace:
    """Parse the lines of a trace; raises TraceError.

    An incomplete last line is ignored, because a kill of the recording process can
    truncate it.
    """
    payloads = []
    for number, line in enumerate(lines, 1):
        try:
            payloads.append((number, json.loads(line)))
        except ValueError as error:
            if number < len(lines) or number == 1:
                raise TraceError(f"line {number}: {error}") from error
    if not payloads:
        raise TraceError("line 1: the trace is empty")
    header = _parse_header(payloads[0][1])
    events: list[TracedEvent] = []
    for number, payload in payloads[1:]:
        try:
            _parse_line(payload, events)
        except (LookupError, TypeError, ValueError) as error:
            raise TraceError(f"line {number}: {error!r}") from error
    return Trace(header, tuple(events))


def _parse_header(payload: Any) -> TraceHeader:
    if not isinstance(payload, dict) or payload.get("trace") != FORMAT_VERSION:
        raise TraceError(
            f"line 1: not the header of a trace of format {FORMAT_VERSION}"
        )
    loaded = load_settings(json.dumps(payload.get("settings")))
    if loaded.is_err():
        problems = "; ".join(str(problem) for problem in loaded.unwrap_err())
        raise TraceError(f"line 1: {problems}")
    return TraceHeader(str(payload.get("incarnation")), loaded.unwrap())


def _parse_line(payload: Any, events: list[TracedEvent]) -> None:
    if "event" in payload:
        event = decode_event(payload["event"], payload.get("fields", {}))
        events.append(TracedEvent(payload["at_ms"], event, payload.get("effects", "")))
        return
    traced_outcome = TracedOutcome(
        payload["request"], payload["outcome"], payload.get("code", "")
    )
    last = events[-1]
    events[-1] = last._replace(outcomes=(*last.outcomes, traced_outcome))


def _to_json_value(value: Any) -> Any:
    """Convert named tuples to JSON objects, also those nested in other values."""
    if hasattr(value, "_asdict"):
        return {name: _to_json_value(item) for name, item in value._asdict().items()}
    if isinstance(value, tuple | list):
        return [_to_json_value(item) for item in value]
    return value


def _encode_line(line: Any) -> str:
    return json.dumps(line, separators=(",", ":"))
