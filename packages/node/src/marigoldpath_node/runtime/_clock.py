"""The scheduler's clock."""

import time

# Times in the journal are read by other hosts, so this clock starts at the time of day.
# It advances with the monotonic clock, so clock adjustments never move it backwards.
_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def clock_ms() -> int:
    """Return milliseconds since the Unix epoch; the value never decreases."""
    return (time.monotonic_ns() + _OFFSET_NS) // 1_000_000
