"""The record of the day in progress in one zone."""

from datetime import date

from ._counters import DayCounters
from ._day import DayRecord, HostRemoval, Refusal
from ._flood_watch import FloodWatch, time_of_day

DAY_MS = 86_400_000
HOUR_MS = 3_600_000
EPOCH_ORDINAL = date(1970, 1, 1).toordinal()


class DailyStatistics:
    """Counts the day in progress; days are those of UTC.

    Times are milliseconds since the Unix epoch. The leader's process holds the counts,
    so those of a leader that was killed are lost.
    """

    def __init__(self, availability_zone: str) -> None:
        self._availability_zone = availability_zone
        self._counters = DayCounters()
        self._floods = FloodWatch()
        self._day = 0
        self._last: DayRecord | None = None
        self._out: dict[str, str] = {}
        self._failed: dict[str, int] = {}
        self._charged: dict[str, int] = {}

    @property
    def last(self) -> DayRecord | None:
        """The record of the last day that is over."""
        return self._last

    def is_day_over(self, now_ms: int) -> bool:
        """Return whether the day that is counted has passed."""
        return bool(self._day) and now_ms // DAY_MS > self._day

    def begin_day(self, now_ms: int, last: DayRecord) -> None:
        """Begin to count a new day after `last`."""
        self._last = last
        self._counters = DayCounters()
        self._day = now_ms // DAY_MS
        for host, cause in self._out.items():
            self._note_out(host, cause, now_ms)

    def advance(self, now_ms: int) -> None:
        """Note the floods that have ended; call it about once a second or oftener."""
        self._day = self._day or now_ms // DAY_MS
        for flood in self._floods.advance(now_ms):
            self._counters.flood(flood)

    def submitted(self, kind: str) -> None:
        """Count a request that came in."""
        self._counters.submitted(kind)
        self._floods.asked(kind)

    def started(self, kind: str, wait_ms: int, cause: str) -> None:
        """Count the first start of a request and why it had to wait."""
        self._counters.started(kind, wait_ms, cause)
        self._floods.started(kind)

    def done(self, kind: str, team: str, now_ms: int) -> None:
        """Count a request that ran to its end."""
        self._counters.done(kind, team, now_ms // HOUR_MS % 24, 0)
        self._floods.done(kind)

    def cancelled(self, kind: str) -> None:
        """Count a request that its caller cancelled."""
        self._counters.cancelled(kind)

    def unknown(self, kind: str) -> None:
        """Count a request of which nobody knows whether it ran."""
        self._counters.unknown(kind)

    def refused(self, refusal: Refusal) -> None:
        """Count a refusal."""
        self._counters.refused(refusal)

    def count_cpu_time(
        self, task: str, kind: str, team: str, cpu_millis: int, span: tuple[int, int]
    ) -> None:
        """Count what a task held from its start, or the last charge, until now.

        `span` holds the start, 0 when it is not known, and the present time.
        """
        started_ms, now_ms = span
        since_ms = max(started_ms, self._charged.get(task, 0))
        self._charged[task] = now_ms
        if since_ms:
            cpu_ms = cpu_millis * (now_ms - since_ms) // 1_000
            self._counters.held(kind, team, cpu_ms)

    def task_ended(self, task: str, worker: str, failed: bool) -> None:
        """Count the failures of a worker in a row."""
        self._charged.pop(task, None)
        self._failed[worker] = self._failed.get(worker, 0) + 1 if failed else 0

    def host_removed(self, host: str, cause: str, now_ms: int) -> None:
        """Note that a worker gets no more work, unless that is known already."""
        if host not in self._out:
            self._out[host] = cause
            self._note_out(host, cause, now_ms)

    def host_restored(self, host: str, cause: str, now_ms: int) -> None:
        """Note that a worker that was out for `cause` gets work again."""
        if self._out.get(host) == cause:
            del self._out[host]
            self._counters.host_restored(host, time_of_day(now_ms))

    def removed_hosts(self, cause: str) -> set[str]:
        """Return the workers that are out for a cause."""
        return {host for host, known in self._out.items() if known == cause}

    def record(
        self, waiting: dict[str, int], running: dict[str, int], now_ms: int
    ) -> DayRecord:
        """Return the record so far, with the floods that go on."""
        day = self._day or now_ms // DAY_MS
        name = date.fromordinal(EPOCH_ORDINAL + day).isoformat()
        record = self._counters.record(name, self._availability_zone, waiting, running)
        return record._replace(
            floods=(*record.floods, *self._floods.in_progress(now_ms))
        )

    def _note_out(self, host: str, cause: str, now_ms: int) -> None:
        at = time_of_day(now_ms)
        failed = self._failed.get(host, 0) if cause == "failing" else 0
        zone = self._availability_zone
        self._counters.host_removed(HostRemoval(host, zone, cause, at, "", failed))
