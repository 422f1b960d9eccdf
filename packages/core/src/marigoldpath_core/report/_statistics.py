"""Statistics of the current day in one zone."""

from datetime import date

from ._counters import DayCounters
from ._day import DayRecord, HostRemoval, Refusal
from ._flood_detector import FloodDetector, time_of_day

DAY_MS = 86_400_000
HOUR_MS = 3_600_000
UNIX_EPOCH_ORDINAL = date(1970, 1, 1).toordinal()


class DailyStatistics:
    """Collects the statistics of the current day, which begins at 00:00 UTC.

    Times are in milliseconds since the Unix epoch. The statistics are only in the
    memory of the leader's process, so they are lost if the process is killed.
    """

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._counters = DayCounters()
        self._flood_detector = FloodDetector()
        self._day_number = 0
        self._previous_day: DayRecord | None = None
        self._removed: dict[str, str] = {}
        self._consecutive_failures: dict[str, int] = {}
        self._counted_until_ms: dict[str, int] = {}

    @property
    def previous_day(self) -> DayRecord | None:
        """Return the record of the previous day, or None."""
        return self._previous_day

    def is_day_over(self, now_ms: int) -> bool:
        """Return whether `now_ms` is on a later day than the current statistics."""
        return bool(self._day_number) and now_ms // DAY_MS > self._day_number

    def begin_day(self, now_ms: int, previous_day: DayRecord) -> None:
        """Store the record of the previous day and begin statistics of a new day."""
        self._previous_day = previous_day
        self._counters = DayCounters()
        self._day_number = now_ms // DAY_MS
        for host, cause in self._removed.items():
            self._record_removal(host, cause, now_ms)

    def advance(self, now_ms: int) -> None:
        """Record the floods that have ended; call this about once a second."""
        self._day_number = self._day_number or now_ms // DAY_MS
        for flood in self._flood_detector.advance(now_ms):
            self._counters.add_flood(flood)

    def count_submitted(self, kind: str) -> None:
        """Count a submitted request."""
        self._counters.count_submitted(kind)
        self._flood_detector.count_submitted(kind)

    def count_started(self, kind: str, wait_ms: int, cause: str) -> None:
        """Count the first start of a request, its wait and the cause of the wait."""
        self._counters.count_started(kind, wait_ms, cause)
        self._flood_detector.count_started(kind)

    def count_done(self, kind: str, team: str, now_ms: int) -> None:
        """Count a completed request."""
        self._counters.count_done(kind, team, now_ms // HOUR_MS % 24, 0)
        self._flood_detector.count_done(kind)

    def count_cancelled(self, kind: str) -> None:
        """Count a request that its caller cancelled."""
        self._counters.count_cancelled(kind)

    def count_unknown(self, kind: str) -> None:
        """Count a request for which it cannot be determined whether it ran."""
        self._counters.count_unknown(kind)

    def count_refused(self, refusal: Refusal) -> None:
        """Count a refused request."""
        self._counters.count_refused(refusal)

    def count_cpu_time(
        self,
        task: str,
        kind: str,
        team: str,
        cpu_millis: int,
        interval: tuple[int, int],
    ) -> None:
        """Add the CPU time allocated to a task since its start or the last call.

        `interval` contains the start of the task and the current time. If the start is
        unknown, it is 0, and only the time since the last call is added.
        """
        started_ms, now_ms = interval
        since_ms = max(started_ms, self._counted_until_ms.get(task, 0))
        self._counted_until_ms[task] = now_ms
        if since_ms:
            cpu_ms = cpu_millis * (now_ms - since_ms) // 1_000
            self._counters.count_cpu_time(kind, team, cpu_ms)

    def task_terminated(self, task: str, worker: str, failed: bool) -> None:
        """Update the number of consecutive failures of a worker after a task."""
        self._counted_until_ms.pop(task, None)
        self._consecutive_failures[worker] = (
            self._consecutive_failures.get(worker, 0) + 1 if failed else 0
        )

    def host_removed(self, host: str, cause: str, now_ms: int) -> None:
        """Record the removal of a worker from service; ignored if already removed."""
        if host not in self._removed:
            self._removed[host] = cause
            self._record_removal(host, cause, now_ms)

    def host_restored(self, host: str, cause: str, now_ms: int) -> None:
        """Record that a worker returned to service.

        Ignored unless the worker's removal was recorded with the same `cause`.
        """
        if self._removed.get(host) == cause:
            del self._removed[host]
            self._counters.host_restored(host, time_of_day(now_ms))

    def removed_hosts(self, cause: str) -> set[str]:
        """Return the workers that are removed from service for a cause."""
        return {
            host for host, removed_for in self._removed.items() if removed_for == cause
        }

    def record(
        self, waiting: dict[str, int], running: dict[str, int], now_ms: int
    ) -> DayRecord:
        """Return the record so far, including floods that are still active."""
        day = self._day_number or now_ms // DAY_MS
        day_name = date.fromordinal(UNIX_EPOCH_ORDINAL + day).isoformat()
        record = self._counters.record(
            day_name, self._availability_zone, waiting, running
        )
        return record._replace(
            floods=(*record.floods, *self._flood_detector.in_progress(now_ms))
        )

    def _record_removal(self, host: str, cause: str, now_ms: int) -> None:
        time = time_of_day(now_ms)
        failed = self._consecutive_failures.get(host, 0) if cause == "failing" else 0
        zone = self._availability_zone
        self._counters.host_removed(HostRemoval(host, zone, cause, time, "", failed))
