"""Run the demonstration: `python -m marigoldpath_bench.demo --deployment skala`."""

import signal
import sys
from types import FrameType

from cyclopts import App

from ._run import DemoSettings, run_demo

app = App(
    name="demo", help="Run a deployment, kill a zone leader and count the outcomes."
)


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
    """Run the demonstration and print the counts as the last line.

    The exit status is 0 if no request was lost, duplicated or overcommitted.

    Parameters
    ----------
    deployment: skala, sfax or hanbit.
    daemon_python: the Python interpreter for the daemons.
    seed: the seed of the trace.
    seconds: the duration of the trace.
    rate: requests per second.
    zone: the zone whose leader is killed halfway; the first zone by default.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    settings = DemoSettings(deployment, seed, daemon_python, seconds, rate, zone)
    summary = run_demo(settings)
    print(summary.line(), flush=True)
    return 0 if summary.passed else 1


if __name__ == "__main__":
    sys.exit(app())
