"""Logs, spans and metrics that never block the loop."""

from ._lines import LineWriter
from ._logs import create_logger, route_library_logs
from ._metrics import Metrics
from ._observer import Observer
from ._spans import Span, SpanWriter, parse_traceparent

__all__ = [
    "LineWriter",
    "Metrics",
    "Observer",
    "Span",
    "SpanWriter",
    "create_logger",
    "parse_traceparent",
    "route_library_logs",
]
