"""Read and write trace files."""

from pathlib import Path

from marigoldpath_core.replay import Trace, event_lines, header_line, parse_trace


def read_trace_file(path: Path) -> Trace:
    """Return the trace in a file; raise OSError or TraceError."""
    return parse_trace(path.read_text(encoding="utf-8").splitlines())


def write_trace_file(path: Path, trace: Trace) -> None:
    """Write a trace; raise OSError if that fails."""
    lines = [header_line(trace.header)]
    for traced in trace.events:
        lines.extend(event_lines(traced))
    path.write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")
