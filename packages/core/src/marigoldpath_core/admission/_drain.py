"""The measured rate at which a queue drains."""

# Below 8 starts the rate is noise. Halving after 5 s lets the rate follow a change of
# load within about 10 s.
LEAST_COUNT = 8
HALVE_AFTER_MS = 5_000.0


class DrainRate:
    """Starts for each millisecond in which requests waited.

    Time without waiting requests does not count: a queue that is seldom used is not
    a slow one.
    """

    def __init__(self) -> None:
        self._busy_since: int | None = None
        self._busy_ms = 0.0
        self._count = 0.0

    @property
    def per_ms(self) -> float | None:
        """Return the rate, or None while too little was measured."""
        if self._count < LEAST_COUNT or self._busy_ms <= 0:
            return None
        return self._count / self._busy_ms

    def grew(self, now_ms: int) -> None:
        """Take note that a request waits."""
        if self._busy_since is None:
            self._busy_since = now_ms
        self._advance(now_ms)

    def shrank(self, now_ms: int, length: int, waited_ms: int, started: bool) -> None:
        """Take note that a request left and that `length` still wait."""
        self._advance(now_ms)
        if started and waited_ms > 0:
            self._count += 1
        if not length:
            self._busy_since = None

    def wait_ms(self, length: int) -> int | None:
        """Return the expected wait behind `length` requests, or None if unknown."""
        rate = self.per_ms
        return None if rate is None else int(length / rate)

    def _advance(self, now_ms: int) -> None:
        if self._busy_since is None:
            return
        self._busy_ms += max(0, now_ms - self._busy_since)
        self._busy_since = max(now_ms, self._busy_since)
        while self._busy_ms > HALVE_AFTER_MS:
            self._busy_ms /= 2
            self._count /= 2
