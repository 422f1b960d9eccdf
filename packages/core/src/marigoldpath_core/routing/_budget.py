"""Limits retries between entry hosts."""

from collections import deque

from marigoldpath_core.settings import RoutingSettings

WINDOW_MS = 10_000
BUCKET_MS = 1_000
# At low load the percentage rounds down to 0. One retry per window is allowed even
# then, because it adds little load.
MIN_RETRIES_PER_WINDOW = 1


class _Bucket:
    def __init__(self, start_ms: int) -> None:
        self.start_ms = start_ms
        self.requests = 0
        self.retries = 0


class RetryBudget:
    """Limits the retries in the last 10 s to a percentage of the requests in that time.

    At least `MIN_RETRIES_PER_WINDOW` are allowed.
    """

    def __init__(self, settings: RoutingSettings) -> None:
        self._settings = settings
        self._buckets: deque[_Bucket] = deque()

    def count_request(self, now_ms: int) -> None:
        """Count a request from a caller."""
        self._bucket(now_ms).requests += 1

    def try_acquire(self, now_ms: int) -> bool:
        """Return whether a retry is allowed, and count it if it is."""
        bucket = self._bucket(now_ms)
        requests = sum(each.requests for each in self._buckets)
        retries = sum(each.retries for each in self._buckets)
        allowed = max(
            MIN_RETRIES_PER_WINDOW, requests * self._settings.retry_percent // 100
        )
        if retries >= allowed:
            return False
        bucket.retries += 1
        return True

    def _bucket(self, now_ms: int) -> _Bucket:
        start_ms = now_ms - now_ms % BUCKET_MS
        while self._buckets and self._buckets[0].start_ms <= now_ms - WINDOW_MS:
            self._buckets.popleft()
        if not self._buckets or self._buckets[-1].start_ms < start_ms:
            self._buckets.append(_Bucket(start_ms))
        return self._buckets[-1]
