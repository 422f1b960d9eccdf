"""Measures how often an event occurs."""


class EventRate:
    """The rate of an event over the last one to two periods of `period_ms`."""

    def __init__(self, period_ms: float, now_ms: float) -> None:
        self._period_ms = period_ms
        self._period_start_ms = now_ms
        self._count = 0
        self._previous_count = 0
        self._has_previous = False

    def record(self, now_ms: float) -> None:
        """Record that the event occurred."""
        self._advance(now_ms)
        self._count += 1

    def per_second(self, now_ms: float) -> float:
        """Return the number of events in a second."""
        self._advance(now_ms)
        counted_ms = now_ms - self._period_start_ms
        if self._has_previous:
            counted_ms += self._period_ms
        # The first events after the start say nothing about the rate.
        counted_ms = max(counted_ms, self._period_ms)
        return 1_000 * (self._count + self._previous_count) / counted_ms

    def _advance(self, now_ms: float) -> None:
        periods = int((now_ms - self._period_start_ms) // self._period_ms)
        if periods < 1:
            return
        self._previous_count = self._count if periods == 1 else 0
        self._count = 0
        self._has_previous = True
        self._period_start_ms += periods * self._period_ms
