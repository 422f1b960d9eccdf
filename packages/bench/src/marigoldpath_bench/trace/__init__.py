"""Traces: requests with the offsets at which callers send them."""

from ._files import read_trace, write_trace
from ._generate import TraceItem, TraceSettings, generate_trace

__all__ = [
    "TraceItem",
    "TraceSettings",
    "generate_trace",
    "read_trace",
    "write_trace",
]
