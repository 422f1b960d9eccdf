"""Logs, spans, metrics and traces, written without blocking the event loop."""

from ._lines import LineWriter
from ._logs import create_logger, route_library_logs
from ._metrics import Metrics
from ._spans import Span, SpanWriter, parse_traceparent
from ._telemetry import Telemetry
from ._trace import TraceWriter

__all__ = [
    "LineWriter",
    "Metrics",
    "Span",
    "SpanWriter",
    "Telemetry",
    "TraceWriter",
    "create_logger",
    "parse_traceparent",
    "route_library_logs",
]
