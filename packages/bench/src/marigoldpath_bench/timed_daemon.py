"""`marigoldpathd` with timers around the core and the codecs, for the benchmark.

The timers measure the processor time of the thread, which excludes waiting. The totals
are appended to a file next to the settings file, about four times per second.
"""

import argparse
import functools
import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, TextIO

import h11

from marigoldpath_core.scheduler import ZoneScheduler
from marigoldpath_node.daemon import main

LOG_SUFFIX = ".timers.jsonl"
WRITE_INTERVAL_NS = 250_000_000
SCHEDULER_METHODS = ("handle", "wake_ms", "is_serving", "status", "request_state")
H11_METHODS = ("send", "next_event", "receive_data", "start_next_cycle")
CALIBRATION_CALLS = 20_000


class Timers:
    """Processor time by group; a timed call inside another counts for the outer."""

    def __init__(self, log: TextIO) -> None:
        self._log = log
        self._cpu_times = {"core_ns": 0, "codec_ns": 0}
        self._calls = 0
        self._inside = False
        self._written_ns = 0
        self._call_ns = self._calibrate()

    @property
    def cpu_times(self) -> dict[str, int]:
        """The nanoseconds of each group so far."""
        return self._cpu_times

    def wrap(self, group: str, function: Callable) -> Callable:
        """Return the function with a timer that adds to the group."""

        @functools.wraps(function)
        def timed(*arguments: Any, **named: Any) -> Any:
            if self._inside:
                return function(*arguments, **named)
            self._inside = True
            begin_ns = time.thread_time_ns()
            try:
                return function(*arguments, **named)
            finally:
                self._cpu_times[group] += time.thread_time_ns() - begin_ns
                self._calls += 1
                self._inside = False
                self._write()

        return timed

    def _calibrate(self) -> float:
        """Return the overhead of one timer in nanoseconds per call."""
        timed = self.wrap("core_ns", int)
        begin_ns = time.thread_time_ns()
        for _ in range(CALIBRATION_CALLS):
            timed()
        calibration_ns = time.thread_time_ns() - begin_ns
        self._cpu_times = {"core_ns": 0, "codec_ns": 0}
        self._calls = 0
        return calibration_ns / CALIBRATION_CALLS

    def _write(self) -> None:
        now_ns = time.monotonic_ns()
        if now_ns - self._written_ns < WRITE_INTERVAL_NS:
            return
        self._written_ns = now_ns
        line = {
            "at_ms": now_ns // 1_000_000,
            "cpu_ns": time.process_time_ns(),
            "timer_ns": int(self._calls * getattr(self, "_call_ns", 0)),
            **self._cpu_times,
        }
        self._log.write(json.JSONEncoder().encode(line) + "\n")


def install(timers: Timers) -> None:
    """Wrap the methods of the core and h11 and the functions of json with timers."""
    for name in SCHEDULER_METHODS:
        method = getattr(ZoneScheduler, name)
        setattr(ZoneScheduler, name, timers.wrap("core_ns", method))
    for name in H11_METHODS:
        method = getattr(h11.Connection, name)
        setattr(h11.Connection, name, timers.wrap("codec_ns", method))
    for name in ("dumps", "loads"):
        setattr(json, name, timers.wrap("codec_ns", getattr(json, name)))


def run() -> int:
    """Run the daemon with timers; return its exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", type=Path, required=True)
    path = parser.parse_args().settings
    with path.with_suffix(LOG_SUFFIX).open("a", buffering=1) as log:
        install(Timers(log))
        return main()


if __name__ == "__main__":
    sys.exit(run())
