"""Replay recorded traces: `python -m marigoldpath_bench.replay FILE`."""

from ._files import read_trace_file, write_trace_file

__all__ = ["read_trace_file", "write_trace_file"]
