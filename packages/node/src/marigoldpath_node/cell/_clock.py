"""The clocks of a cell's process."""

import time


def now_s() -> float:
    """Return seconds of a steady clock that counts the time of a suspended host.

    CLOCK_MONOTONIC does not: a leader that was suspended would take its last commit
    for recent and go on ordering.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def now_ms() -> float:
    """Return `now_s` in milliseconds."""
    return now_s() * 1000


def wall_ms() -> int:
    """Return milliseconds since the epoch of Unix."""
    return time.time_ns() // 1_000_000
