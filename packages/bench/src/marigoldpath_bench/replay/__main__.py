"""Replay a trace: `python -m marigoldpath_bench.replay FILE`."""

import sys
from pathlib import Path

from cyclopts import App

from marigoldpath_core.replay import TraceError, replay_trace, rerun

from ._files import read_trace_file, write_trace_file

MAX_PRINTED_DIFFERENCES = 20
app = App(name="replay", help="Replay a recorded trace and compare.")


@app.default
def main(file: Path, /, *, update: bool = False) -> int:
    """Replay the trace and print the counts as the last line.

    The exit status is 1 if effects or outcomes differ and 2 if the file is invalid.

    Parameters
    ----------
    file: a trace that a daemon recorded at observability.trace_path.
    update: replace the recorded effects and outcomes with those of this version.
    """
    try:
        trace = read_trace_file(file)
    except (OSError, TraceError) as error:
        print(f"replay: {file}: {error}", file=sys.stderr)
        return 2
    if update:
        trace = rerun(trace)
        write_trace_file(file, trace)
    result = replay_trace(trace)
    for difference in result.differences[:MAX_PRINTED_DIFFERENCES]:
        print(
            f"{difference.location}: recorded {difference.recorded or 'no effects'}, "
            f"now {difference.replayed or 'no effects'}",
            file=sys.stderr,
        )
    print(result.line(), flush=True)
    return 1 if result.differences else 0


if __name__ == "__main__":
    sys.exit(app())
