"""Spans in the JSON format of OpenTelemetry, and the W3C traceparent header."""

import json
import os
import random
import re
import time
from typing import Any, NamedTuple

from marigoldpath_core.settings import ObservabilitySettings

from ._lines import LineWriter

TRACEPARENT_PATTERN = re.compile(r"00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})")
# Retry interval if the span file cannot be opened, such as a pipe without a reader.
REOPEN_INTERVAL_S = 5.0


class TraceContext(NamedTuple):
    """The parts of a traceparent header."""

    trace_id: str
    span_id: str
    sampled: bool


class Span(NamedTuple):
    """One operation in a trace; `parent_id` is empty for the root span."""

    trace_id: str
    span_id: str
    parent_id: str
    name: str
    start_ns: int
    sampled: bool

    @property
    def traceparent(self) -> str:
        """The traceparent header for requests that are children of this span."""
        return f"00-{self.trace_id}-{self.span_id}-{self.sampled:02d}"


def parse_traceparent(text: str) -> TraceContext | None:
    """Return the parts of a traceparent header, or None for a malformed one."""
    match = TRACEPARENT_PATTERN.fullmatch(text)
    if match is None or set(match[1]) == {"0"} or set(match[2]) == {"0"}:
        return None
    return TraceContext(match[1], match[2], bool(int(match[3], 16) & 1))


class SpanWriter:
    """Creates spans and writes the sampled ones, if the settings have a path."""

    def __init__(self, settings: ObservabilitySettings, host: str) -> None:
        self._settings = settings
        self._host = host
        self._random = random.Random()
        self._lines: LineWriter | None = None
        self._next_open_s = 0.0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """The number of spans that were not written."""
        return self._dropped

    def start(self, name: str, traceparent: str = "") -> Span:
        """Return a child of the span in `traceparent`, or the root of a new trace."""
        parent = parse_traceparent(traceparent)
        span_id = f"{self._random.getrandbits(64) or 1:016x}"
        if parent is None:
            trace_id = f"{self._random.getrandbits(128) or 1:032x}"
            sampled = bool(self._settings.span_path)
            return Span(trace_id, span_id, "", name, time.time_ns(), sampled)
        return Span(
            parent.trace_id,
            span_id,
            parent.span_id,
            name,
            time.time_ns(),
            parent.sampled,
        )

    def end(self, span: Span, attributes: dict[str, str], error: str = "") -> None:
        """End a span now, and write it if it is sampled."""
        if not span.sampled or not self._settings.span_path:
            return
        lines = self._open()
        line = json.dumps(self._encode(span, attributes, error), separators=(",", ":"))
        if lines is None or not lines.write(line):
            self._dropped += 1

    def _encode(
        self, span: Span, attributes: dict[str, str], error: str
    ) -> dict[str, Any]:
        return {
            "traceId": span.trace_id,
            "spanId": span.span_id,
            "parentSpanId": span.parent_id,
            "name": span.name,
            "kind": 2,
            "startTimeUnixNano": str(span.start_ns),
            "endTimeUnixNano": str(time.time_ns()),
            "attributes": [
                {"key": key, "value": {"stringValue": value}}
                for key, value in {"host": self._host, **attributes}.items()
            ],
            "status": {"code": 2, "message": error} if error else {"code": 1},
        }

    def _open(self) -> LineWriter | None:
        if self._lines is not None or time.monotonic() < self._next_open_s:
            return self._lines
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_NONBLOCK | os.O_CLOEXEC
        try:
            descriptor = os.open(self._settings.span_path, flags, 0o644)
        except OSError:
            self._next_open_s = time.monotonic() + REOPEN_INTERVAL_S
            return None
        self._lines = LineWriter(descriptor)
        return self._lines
