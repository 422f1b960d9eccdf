"""Finds the times in which a kind asks for far more than is started."""

from collections import Counter, deque

from ._day import Flood, FloodShare

# Shorter spans make a burst of some seconds look like a flood.
SPAN_MS = 10_000
MINUTE_MS = 60_000
# A kind floods while it asks for at least 10 requests a second, and for at least twice
# as many as are started.
LEAST_ASKED = 100
LEAST_RATIO = 2
# What is done in the five minutes before a flood is what the flood is measured against.
SPANS_BEFORE = 30


class _OpenFlood:
    def __init__(self, began_ms: int, before: Counter[str], spans: int) -> None:
        self.began_ms = began_ms
        self.before = before
        self.before_ms = spans * SPAN_MS
        self.during: Counter[str] = Counter()


class FloodWatch:
    """Counts requests by kind in spans of 10 s and tells floods from them."""

    def __init__(self) -> None:
        self._began_ms: int | None = None
        self._asked: Counter[str] = Counter()
        self._started: Counter[str] = Counter()
        self._done: Counter[str] = Counter()
        self._before: deque[Counter[str]] = deque(maxlen=SPANS_BEFORE)
        self._open: dict[str, _OpenFlood] = {}

    def asked(self, kind: str) -> None:
        """Count a request that came in, refused or not."""
        self._asked[kind] += 1

    def started(self, kind: str) -> None:
        """Count a request that was started."""
        self._started[kind] += 1

    def done(self, kind: str) -> None:
        """Count a request that ran to its end."""
        self._done[kind] += 1

    def advance(self, now_ms: int) -> list[Flood]:
        """Close the span that is over and return the floods that ended with it."""
        if self._began_ms is None:
            self._began_ms = now_ms
        if now_ms - self._began_ms < SPAN_MS:
            return []
        began_ms, self._began_ms = self._began_ms, now_ms
        flooding = {kind for kind in self._asked if self._is_flooding(kind)}
        for kind in sorted(flooding - self._open.keys()):
            before: Counter[str] = sum(self._before, Counter())
            self._open[kind] = _OpenFlood(began_ms, before, len(self._before))
        ended = [
            self._flood(kind, began_ms) for kind in sorted(self._open.keys() - flooding)
        ]
        for flood in ended:
            del self._open[flood.kind]
        for flood_in_progress in self._open.values():
            flood_in_progress.during.update(self._done)
        if not self._open:
            self._before.append(self._done)
        self._asked, self._started, self._done = Counter(), Counter(), Counter()
        return ended

    def in_progress(self, now_ms: int) -> list[Flood]:
        """Return the floods that go on, as they are now."""
        return [self._flood(kind, now_ms) for kind in sorted(self._open)]

    def _is_flooding(self, kind: str) -> bool:
        asked = self._asked[kind]
        return asked >= LEAST_ASKED and asked >= LEAST_RATIO * self._started[kind]

    def _flood(self, kind: str, until_ms: int) -> Flood:
        found = self._open[kind]
        lasted_ms = max(until_ms - found.began_ms, SPAN_MS)
        kinds = sorted({*found.before, *found.during})
        shares = tuple(
            FloodShare(
                name,
                _a_minute(found.before[name], found.before_ms),
                _a_minute(found.during[name], lasted_ms),
            )
            for name in kinds
        )
        minutes = max(1, round(lasted_ms / MINUTE_MS))
        return Flood(kind, time_of_day(found.began_ms), minutes, shares)


def time_of_day(at_ms: int) -> str:
    """Return the hour and minute of a time since the Unix epoch, in UTC."""
    minutes = at_ms // MINUTE_MS
    return f"{minutes // 60 % 24:02}:{minutes % 60:02}"


def _a_minute(count: int, span_ms: int) -> float:
    return round(count * MINUTE_MS / span_ms, 1) if span_ms else 0.0
