"""Data types of health."""

from typing import NamedTuple

from marigoldpath_core.requests import RequestKey

# A start that is still running after this long shows that the worker can start tasks.
SURVIVAL_MS = 1_000


class Failure(NamedTuple):
    """A failed task; `sequence` is its place in the order of starts."""

    sequence: int
    key: RequestKey
    kind: str


class StartRecord(NamedTuple):
    """A start whose end is not known yet."""

    sequence: int
    key: RequestKey
    kind: str
    started_ms: int


class Verdict(NamedTuple):
    """What a rule says: a reason for removal, and how many unproven starts are allowed.

    A `limit` of None allows any number.
    """

    reason: str | None = None
    limit: int | None = None


class WorkerRecord:
    """What is known of one worker's starts."""

    def __init__(self) -> None:
        self.in_flight: dict[RequestKey, list[StartRecord]] = {}
        self.failures: list[Failure] = []
        self.proven_sequence = 0
        self.reason: str | None = None
        self.removed_sequence = 0
        self.retry_ms = 0
        self.pause_ms = 0

    def unproven(self, now_ms: int) -> int:
        """Return the failures and the starts since the worker last proved itself."""
        count = len(self.failures)
        first = self.failures[0].sequence if self.failures else 0
        for starts in self.in_flight.values():
            for start in starts:
                if self.failures:
                    count += start.sequence > first
                elif start.sequence > self.proven_sequence:
                    count += now_ms - start.started_ms < SURVIVAL_MS
        return count

    def failed_requests(self) -> int:
        """Return the number of different requests among the failures that count."""
        return len({failure.key for failure in self.failures})
