"""The clock of the core."""

import time


def monotonic_ms() -> int:
    """Return the monotonic time in milliseconds."""
    return time.monotonic_ns() // 1_000_000
