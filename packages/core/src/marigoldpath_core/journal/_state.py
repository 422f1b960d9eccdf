"""The state of requests that the journal's rows give."""

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
    """What the journal knows of one request; times are on the last writer's clock.

    `request` is None after the end, and before it when only an intent or a
    cancellation was recorded. `intents` are those of the latest attempt: an attempt
    begins only after the end of the one before.
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
    """Requests by key, changed by one entry after another.

    The clocks of two leaders cannot be compared, so `begin_epoch` moves all times to
    the new leader's clock. The time between the last entry of the old leader and the
    first of the new one is left out: deadlines and retention never end early.
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
        """Return what is known of a request."""
        return self._requests.get(key)

    @property
    def last_ms(self) -> int:
        """Return the latest time recorded, on the last writer's clock."""
        return self._last_ms

    @property
    def unfinished(self) -> list[RecoveredRequest]:
        """Return requests accepted or about to be started, without an outcome."""
        return [
            request
            for request in self._requests.values()
            if not request.finished and (request.request or request.intents)
        ]

    @property
    def finished(self) -> list[RecoveredRequest]:
        """Return requests whose outcome is still kept."""
        return [request for request in self._requests.values() if request.finished]

    def load(self, request: RecoveredRequest) -> None:
        """Add a request of a snapshot; snapshots list them in order of expiry."""
        self._requests[request.key] = request
        if request.finished or not (request.request or request.intents):
            self._expiry.append((request.finished_ms, request.key))

    def accept(self, entry: Accepted) -> None:
        """Record an accepted request; a kept outcome of the same id is replaced."""
        self._advance(entry.accepted_ms)
        key = entry.request.key
        known = self._unfinished(key)
        self._requests[key] = known._replace(
            request=entry.request, accepted_ms=entry.accepted_ms
        )

    def intend(self, entry: Intent) -> None:
        """Record an intent and drop those of earlier attempts."""
        key, attempt, _ = parse_task_id(entry.tasks[0])
        known = self._unfinished(key)
        same_attempt = tuple(
            intent
            for intent in known.intents
            if parse_task_id(intent.tasks[0])[1] == attempt
        )
        self._requests[key] = known._replace(intents=(*same_attempt, entry))

    def finish(self, entry: Finished) -> None:
        """Record an outcome and drop what is needed only before the end."""
        self._advance(entry.finished_ms)
        known = self._unfinished(entry.key)
        self._requests[entry.key] = RecoveredRequest(
            entry.key,
            accepted_ms=known.accepted_ms,
            cancelled=known.cancelled,
            outcome=entry.outcome,
            answer=entry.answer,
            finished_ms=entry.finished_ms,
        )
        self._expiry.append((entry.finished_ms, entry.key))

    def cancel(self, entry: Cancelled) -> None:
        """Record a cancellation; one without a request expires like an outcome."""
        self._advance(entry.cancelled_ms)
        known = self._requests.get(entry.key)
        if known is None:
            known = RecoveredRequest(entry.key, finished_ms=entry.cancelled_ms)
            self._expiry.append((entry.cancelled_ms, entry.key))
        self._requests[entry.key] = known._replace(cancelled=True)

    def begin_epoch(self, entry: EpochBegun) -> None:
        """Move all times to the clock of the new leader."""
        shift = entry.began_ms - self._last_ms
        self._last_ms = entry.began_ms
        for key, request in self._requests.items():
            self._requests[key] = request._replace(
                accepted_ms=request.accepted_ms + shift,
                finished_ms=request.finished_ms + shift,
            )
        self._expiry = deque((time + shift, key) for time, key in self._expiry)

    def expire(self, now_ms: int) -> None:
        """Forget outcomes older than the retention time, on the writer's clock."""
        while self._expiry and self._expiry[0][0] + self._retention_ms <= now_ms:
            time, key = self._expiry.popleft()
            known = self._requests.get(key)
            if known is None or known.request or known.intents:
                continue
            if known.finished_ms == time:
                del self._requests[key]

    def _unfinished(self, key: RequestKey) -> RecoveredRequest:
        known = self._requests.get(key)
        if known is None or known.finished:
            return RecoveredRequest(key)
        return known

    def _advance(self, time_ms: int) -> None:
        self._last_ms = max(self._last_ms, time_ms)
