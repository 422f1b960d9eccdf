"""Data types of worker health."""

from typing import NamedTuple

from marigoldpath_core.requests import RequestKey

# A task that still runs after this time proves that the worker can start tasks.
START_PROVEN_AFTER_MS = 1_000


class Failure(NamedTuple):
    """A failed task; `sequence` is the number of its start, counted on all workers."""

    sequence: int
    key: RequestKey
    kind: str


class StartRecord(NamedTuple):
    """A started task whose termination has not been recorded."""

    sequence: int
    key: RequestKey
    kind: str
    started_ms: int


class RuleResult(NamedTuple):
    """The result of a health rule.

    `reason` is why the worker should be removed from service, or None. `limit` is the
    number of unproven starts that are allowed on it; None means no limit.
    """

    reason: str | None = None
    limit: int | None = None


class WorkerRecord:
    """The starts and failures of one worker.

    `proven_sequence` is the latest start number at the worker's last success. `reason`
    is why the worker was removed from service, or None. `removed_sequence` is the
    latest start number at the removal.
    """

    def __init__(self) -> None:
        self.in_flight: dict[RequestKey, list[StartRecord]] = {}
        self.failures: list[Failure] = []
        self.proven_sequence = 0
        self.reason: str | None = None
        self.removed_sequence = 0
        self.retry_at_ms = 0
        self.retry_delay_ms = 0

    def unproven_starts(self, now_ms: int) -> int:
        """Return the number of failures plus the number of starts not proven yet.

        After a failure this counts every task that started after the first failure and
        still runs. Otherwise it counts the running tasks that started after the last
        success and less than `START_PROVEN_AFTER_MS` ago.
        """
        count = len(self.failures)
        first = self.failures[0].sequence if self.failures else 0
        for starts in self.in_flight.values():
            for start in starts:
                if self.failures:
                    count += start.sequence > first
                elif start.sequence > self.proven_sequence:
                    count += now_ms - start.started_ms < START_PROVEN_AFTER_MS
        return count

    def failed_requests(self) -> int:
        """Return the number of distinct requests among the recorded failures."""
        return len({failure.key for failure in self.failures})
