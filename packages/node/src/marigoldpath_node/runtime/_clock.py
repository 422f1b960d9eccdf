"""The clock of the core."""

import time

# The journal carries times from one host to the next, so the clock is near the time
# of day; it advances with the monotonic clock, so that no adjustment turns it back.
_OFFSET_NS = time.time_ns() - time.monotonic_ns()


def clock_ms() -> int:
    """Return milliseconds since the Unix epoch that never go back."""
    return (time.monotonic_ns() + _OFFSET_NS) // 1_000_000
