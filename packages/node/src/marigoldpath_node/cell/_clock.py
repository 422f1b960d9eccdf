"""Clocks of an entry host's process."""

import time


def now_s() -> float:
    """Return seconds of a monotonic clock that includes time spent suspended.

    CLOCK_MONOTONIC excludes that time. With it, a leader whose host was suspended would
    compute too low an age of its last commit and continue to send commands.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> float:
    """Return `now_s` in milliseconds."""
    return now_s() * 1000


def wall_ms() -> int:
    """Return milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000
