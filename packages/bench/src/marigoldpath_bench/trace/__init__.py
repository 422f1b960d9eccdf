"""Traces: requests with the time at which a caller sends them."""

from ._files import read_trace, write_trace
from ._generate import TraceItem, TraceSettings, generate_trace

__all__ = [
    "TraceItem",
    "TraceSettings",
    "generate_trace",
    "read_trace",
    "write_trace",
]
