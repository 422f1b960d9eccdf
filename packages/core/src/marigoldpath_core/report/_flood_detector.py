"""Detects floods: far more requests of a kind are submitted than are started."""

from collections import Counter, deque

from ._day import Flood, FloodShare

# With shorter windows, a burst of a few seconds would be detected as a flood.
WINDOW_MS = 10_000
MINUTE_MS = 60_000
# A window belongs to a flood of a kind if at least 10 requests of the kind per second
# are submitted, and at least twice as many as are started.
MIN_SUBMITTED = 100
MIN_SUBMITTED_TO_STARTED = 2
# The requests completed in the five minutes before a flood are the baseline with which
# those completed during the flood are compared.
BASELINE_WINDOWS = 30


class _ActiveFlood:
    def __init__(self, start_ms: int, baseline: Counter[str], windows: int) -> None:
        self.start_ms = start_ms
        self.baseline = baseline
        self.baseline_ms = windows * WINDOW_MS
        self.during: Counter[str] = Counter()


class FloodDetector:
    """Counts the requests of each kind in windows of 10 s and detects floods."""

    def __init__(self) -> None:
        self._window_start_ms: int | None = None
        self._submitted: Counter[str] = Counter()
        self._started: Counter[str] = Counter()
        self._done: Counter[str] = Counter()
        self._baseline: deque[Counter[str]] = deque(maxlen=BASELINE_WINDOWS)
        self._active: dict[str, _ActiveFlood] = {}

    def count_submitted(self, kind: str) -> None:
        """Count a submitted request, whether it is refused or not."""
        self._submitted[kind] += 1

    def count_started(self, kind: str) -> None:
        """Count a started request."""
        self._started[kind] += 1

    def count_done(self, kind: str) -> None:
        """Count a completed request."""
        self._done[kind] += 1

    def advance(self, now_ms: int) -> list[Flood]:
        """Close the current window if it is over; return the floods that have ended."""
        if self._window_start_ms is None:
            self._window_start_ms = now_ms
        if now_ms - self._window_start_ms < WINDOW_MS:
            return []
        start_ms, self._window_start_ms = self._window_start_ms, now_ms
        flooding = {kind for kind in self._submitted if self._is_flooding(kind)}
        for kind in sorted(flooding - self._active.keys()):
            baseline: Counter[str] = sum(self._baseline, Counter())
            self._active[kind] = _ActiveFlood(start_ms, baseline, len(self._baseline))
        ended = [
            self._make_flood(kind, start_ms)
            for kind in sorted(self._active.keys() - flooding)
        ]
        for flood in ended:
            del self._active[flood.kind]
        for flood_in_progress in self._active.values():
            flood_in_progress.during.update(self._done)
        if not self._active:
            self._baseline.append(self._done)
        self._submitted, self._started, self._done = Counter(), Counter(), Counter()
        return ended

    def in_progress(self, now_ms: int) -> list[Flood]:
        """Return the floods that are still active, with their counts so far."""
        return [self._make_flood(kind, now_ms) for kind in sorted(self._active)]

    def _is_flooding(self, kind: str) -> bool:
        submitted = self._submitted[kind]
        return (
            submitted >= MIN_SUBMITTED
            and submitted >= MIN_SUBMITTED_TO_STARTED * self._started[kind]
        )

    def _make_flood(self, kind: str, until_ms: int) -> Flood:
        active = self._active[kind]
        duration_ms = max(until_ms - active.start_ms, WINDOW_MS)
        kinds = sorted({*active.baseline, *active.during})
        shares = tuple(
            FloodShare(
                name,
                _per_minute(active.baseline[name], active.baseline_ms),
                _per_minute(active.during[name], duration_ms),
            )
            for name in kinds
        )
        minutes = max(1, round(duration_ms / MINUTE_MS))
        return Flood(kind, time_of_day(active.start_ms), minutes, shares)


def time_of_day(at_ms: int) -> str:
    """Return the time of day in UTC (HH:MM) of a time in ms since the Unix epoch."""
    minutes = at_ms // MINUTE_MS
    return f"{minutes // 60 % 24:02}:{minutes % 60:02}"


def _per_minute(count: int, period_ms: int) -> float:
    return round(count * MINUTE_MS / period_ms, 1) if period_ms else 0.0
