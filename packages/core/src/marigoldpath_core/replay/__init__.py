"""Traces of the events that a zone's scheduler processes, and their replay."""

from . import _platform_events, _worker_events  # noqa: F401  (registers the codecs)
from ._caller_events import ConfigurationApplied, DrainBegun
from ._codec import EVENT_CODECS, Codec, decode_event, encode_event, event_codec
from ._replay import (
    Difference,
    ReplayResult,
    replay_trace,
    rerun,
    trace_effects,
    trace_exception,
)
from ._trace import (
    Trace,
    TracedEvent,
    TracedOutcome,
    TraceError,
    TraceHeader,
    collect_outcomes,
    effects_digest,
    event_lines,
    header_line,
    parse_trace,
)

__all__ = [
    "EVENT_CODECS",
    "Codec",
    "ConfigurationApplied",
    "Difference",
    "DrainBegun",
    "ReplayResult",
    "Trace",
    "TraceError",
    "TraceHeader",
    "TracedEvent",
    "TracedOutcome",
    "collect_outcomes",
    "decode_event",
    "effects_digest",
    "encode_event",
    "event_codec",
    "event_lines",
    "header_line",
    "parse_trace",
    "replay_trace",
    "rerun",
    "trace_effects",
    "trace_exception",
]
