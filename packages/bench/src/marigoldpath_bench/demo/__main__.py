"""Runs the demonstration: `python -m marigoldpath_bench.demo --deployment skala`."""

import signal
import sys
from types import FrameType

from cyclopts import App

from ._run import DemoSettings, run_demo

app = App(name="demo", help="Run a deployment, kill a zone leader and count.")


def _exit_on_signal(number: int, _frame: FrameType | None) -> None:
    raise SystemExit(128 + number)


@app.default
def main(
    *,
    deployment: str,
    daemon_python: str,
    seed: int = 1,
    seconds: float = 10.0,
    rate: float = 100.0,
    zone: str = "",
) -> int:
    """Print the counts as the last line; the status is 0 if nothing went wrong.

    Parameters
    ----------
    deployment: skala or sfax.
    daemon_python: the Python that runs the daemons.
    seed: makes the trace.
    seconds: the length of the trace.
    rate: requests a second.
    zone: the zone whose leader is killed half-way, the first one by default.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    settings = DemoSettings(deployment, seed, daemon_python, seconds, rate, zone)
    summary = run_demo(settings)
    print(summary.line(), flush=True)
    return 0 if summary.passed else 1


if __name__ == "__main__":
    sys.exit(app())
