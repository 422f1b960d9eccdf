"""Measures the rate at which a queue drains."""

# With fewer than 8 starts the measured rate is mostly noise. Halving the counts after
# 5 s of busy time lets the rate follow a change of load within about 10 s.
MIN_STARTS = 8
HALVE_AFTER_BUSY_MS = 5_000.0


class DrainRate:
    """Measures the requests started per millisecond of busy time.

    Busy time is the time during which at least one request waits. Idle time is
    excluded, because otherwise a rarely used queue would appear to be slow.
    """

    def __init__(self) -> None:
        self._busy_since: int | None = None
        self._busy_ms = 0.0
        self._count = 0.0

    @property
    def starts_per_ms(self) -> float | None:
        """Return the rate, or None if there are too few starts to estimate it."""
        if self._count < MIN_STARTS or self._busy_ms <= 0:
            return None
        return self._count / self._busy_ms

    def record_enqueue(self, now_ms: int) -> None:
        """Record that a request entered the queue."""
        if self._busy_since is None:
            self._busy_since = now_ms
        self._advance(now_ms)

    def record_dequeue(
        self, now_ms: int, length: int, waited_ms: int, started: bool
    ) -> None:
        """Record that a request left the queue and that `length` requests remain.

        Only requests that started after a wait of more than 0 ms increase the rate.
        """
        self._advance(now_ms)
        if started and waited_ms > 0:
            self._count += 1
        if not length:
            self._busy_since = None

    def wait_ms(self, length: int) -> int | None:
        """Return the expected wait in ms behind `length` requests; None if unknown."""
        rate = self.starts_per_ms
        return None if rate is None else int(length / rate)

    def _advance(self, now_ms: int) -> None:
        if self._busy_since is None:
            return
        self._busy_ms += max(0, now_ms - self._busy_since)
        self._busy_since = max(now_ms, self._busy_since)
        while self._busy_ms > HALVE_AFTER_BUSY_MS:
            self._busy_ms /= 2
            self._count /= 2
