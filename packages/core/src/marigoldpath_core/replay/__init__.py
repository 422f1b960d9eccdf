"""Traces of the events that go into a zone's scheduler, and their replay."""

from . import _table_events, _worker_events  # noqa: F401  (fill the registry)
from ._caller_events import ConfigurationPut, DrainBegun
from ._codec import EVENT_CODECS, Codec, decode_event, encode_event, event_codec
from ._replay import Difference, ReplayResult, handled, raised, replay_trace, rerun
from ._trace import (
    Trace,
    TracedEvent,
    TracedOutcome,
    TraceError,
    TraceHeader,
    effects_digest,
    event_lines,
    header_line,
    outcomes_of,
    read_lines,
)

__all__ = [
    "EVENT_CODECS",
    "Codec",
    "ConfigurationPut",
    "Difference",
    "DrainBegun",
    "ReplayResult",
    "Trace",
    "TraceError",
    "TraceHeader",
    "TracedEvent",
    "TracedOutcome",
    "decode_event",
    "effects_digest",
    "encode_event",
    "event_codec",
    "event_lines",
    "handled",
    "header_line",
    "outcomes_of",
    "raised",
    "read_lines",
    "replay_trace",
    "rerun",
]
