"""The state of requests that results from the rows of the journal."""

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from marigoldpath_core.requests import (
    Answer,
    OutcomeKind,
    Request,
    RequestKey,
    parse_task_id,
)

from ._entries import Accepted, Cancelled, EpochBegun, Finished, Intent


class RecoveredRequest(NamedTuple):
    """The recorded state of one request; times are on the last writer's clock.

    `request` is None once the request has an outcome, and also if only an intent or a
    cancellation was recorded for its key. `intents` are those of the latest attempt:
    an attempt begins only after the previous one has terminated.
    """

    key: RequestKey
    request: Request | None = None
    accepted_ms: int = 0
    intents: tuple[Intent, ...] = ()
    cancelled: bool = False
    outcome: OutcomeKind | None = None
    answer: Answer | None = None
    finished_ms: int = 0

    @property
    def finished(self) -> bool:
        """Return whether the final outcome is recorded."""
        return self.outcome is not None


class JournalState:
    """The requests by key; entries must be applied in the order of the journal.

    The clocks of two leaders cannot be compared, so `begin_epoch` converts all times to
    the new leader's clock. The time between the previous leader's last entry and the
    new leader's first one is unknown and treated as zero, so that no deadline or
    retention time passes too early.
    """

    def __init__(self, retention_ms: int, last_ms: int = 0) -> None:
        self._retention_ms = retention_ms
        self._requests: dict[RequestKey, RecoveredRequest] = {}
        self._expiry: deque[tuple[int, RequestKey]] = deque()
        self._last_ms = last_ms

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[RecoveredRequest]:
        return iter(self._requests.values())

    def get(self, key: RequestKey) -> RecoveredRequest | None:
        """Return the recorded state of a request, or None."""
        return self._requests.get(key)

    @property
    def last_ms(self) -> int:
        """Return the latest recorded time, on the last writer's clock."""
        return self._last_ms

    @property
    def unfinished(self) -> list[RecoveredRequest]:
        """Return the requests without an outcome that are accepted or have intents."""
        return [
            request
            for request in self._requests.values()
            if not request.finished and (request.request or request.intents)
        ]

    @property
    def finished(self) -> list[RecoveredRequest]:
        """Return the requests that have an outcome, until it expires."""
        return [request for request in self._requests.values() if request.finished]

    def load(self, request: RecoveredRequest) -> None:
        """Add a request of a snapshot; must be called in ascending `finished_ms`."""
        self._requests[request.key] = request
        if request.finished or not (request.request or request.intents):
            self._expiry.append((request.finished_ms, request.key))

    def accept(self, entry: Accepted) -> None:
        """Record an accepted request; replaces a retained outcome of the same key."""
        self._advance_clock(entry.accepted_ms)
        key = entry.request.key
        current = self._current_or_new(key)
        self._requests[key] = current._replace(
            request=entry.request, accepted_ms=entry.accepted_ms
        )

    def record_intent(self, entry: Intent) -> None:
        """Record an intent and drop the intents of earlier attempts."""
        key, attempt, _ = parse_task_id(entry.tasks[0])
        current = self._current_or_new(key)
        same_attempt = tuple(
            intent
            for intent in current.intents
            if parse_task_id(intent.tasks[0])[1] == attempt
        )
        self._requests[key] = current._replace(intents=(*same_attempt, entry))

    def finish(self, entry: Finished) -> None:
        """Record an outcome and drop the data that only unfinished requests need."""
        self._advance_clock(entry.finished_ms)
        current = self._current_or_new(entry.key)
        self._requests[entry.key] = RecoveredRequest(
            entry.key,
            accepted_ms=current.accepted_ms,
            cancelled=current.cancelled,
            outcome=entry.outcome,
            answer=entry.answer,
            finished_ms=entry.finished_ms,
        )
        self._expiry.append((entry.finished_ms, entry.key))

    def cancel(self, entry: Cancelled) -> None:
        """Record a cancellation; one of an unknown key is retained like an outcome."""
        self._advance_clock(entry.cancelled_ms)
        current = self._requests.get(entry.key)
        if current is None:
            current = RecoveredRequest(entry.key, finished_ms=entry.cancelled_ms)
            self._expiry.append((entry.cancelled_ms, entry.key))
        self._requests[entry.key] = current._replace(cancelled=True)

    def begin_epoch(self, entry: EpochBegun) -> None:
        """Convert all times to the clock of the new leader."""
        shift_ms = entry.began_ms - self._last_ms
        self._last_ms = entry.began_ms
        for key, request in self._requests.items():
            self._requests[key] = request._replace(
                accepted_ms=request.accepted_ms + shift_ms,
                finished_ms=request.finished_ms + shift_ms,
            )
        self._expiry = deque((time + shift_ms, key) for time, key in self._expiry)

    def expire(self, now_ms: int) -> None:
        """Remove what is older than the retention time; `now_ms` is the writer's time.

        This removes outcomes and the cancellations of unknown keys.
        """
        while self._expiry and self._expiry[0][0] + self._retention_ms <= now_ms:
            time, key = self._expiry.popleft()
            current = self._requests.get(key)
            if current is None or current.request or current.intents:
                continue
            if current.finished_ms == time:
                del self._requests[key]

    def _current_or_new(self, key: RequestKey) -> RecoveredRequest:
        current = self._requests.get(key)
        if current is None or current.finished:
            return RecoveredRequest(key)
        return current

    def _advance_clock(self, time_ms: int) -> None:
        self._last_ms = max(self._last_ms, time_ms)
