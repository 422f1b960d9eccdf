"""The admission queue of a zone."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice

from result import Err, Ok, Result

from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.requests import Origin, Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

from ._kind_queue import KindQueue
from ._model import QueuedRequest, Refusal
from ._policies import queue_policies
from ._shares import CapacityShares

# The retry delay sent to callers while the drain rate is unknown, and the bounds of the
# delay that is computed from the drain rate.
DEFAULT_RETRY_MS = 1_000
MIN_RETRY_MS = 100
MAX_RETRY_MS = 60_000
# Workers are reserved for a request that was skipped for this long, or for a quarter of
# its deadline, whichever is less. Earlier reservations packed workers 1% worse. A
# reservation expires after the hold time: if tasks on the reserved workers never
# completed, the rest of the reserved capacity would otherwise stay empty forever.
RESERVE_AFTER_MS = 10_000
RESERVE_HOLD_MS = 30_000
MAX_STARVATION_CANDIDATES = 16


class AdmissionQueue:
    """Queues requests by kind and team, with bounds on queues and on capacity.

    The queue policy sets the order of starts. Floors and ceilings bound the capacity
    allocated to a kind, and quotas that of a team. All `now_ms` arguments must come
    from one monotonic clock.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._policy = queue_policies.get(settings.queue_policy)
        self._kind_queues: dict[str, KindQueue] = {}
        self._configured: frozenset[str] = frozenset()
        self._queued: OrderedDict[RequestKey, QueuedRequest] = OrderedDict()
        self._deadlines: list[tuple[int, int, RequestKey]] = []
        self._shares = CapacityShares()
        self._sequence = 0
        # The highest virtual time that a kind had before one of its starts. A kind that
        # was idle begins there. Otherwise its low virtual time would put it before the
        # other kinds for many starts.
        self._virtual_time = 0.0
        self._skipped_since_ms: OrderedDict[RequestKey, int] = OrderedDict()
        self._starving: tuple[QueuedRequest, int] | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._queued

    @property
    def kinds(self) -> tuple[WorkKind, ...]:
        """Return the configured kinds of work."""
        return tuple(self._kind_queues[name].kind for name in sorted(self._configured))

    def length(self, kind: str) -> int:
        """Return the number of waiting requests of a kind."""
        queue = self._kind_queues.get(kind)
        return 0 if queue is None else len(queue)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; waiting requests of removed kinds stay queued."""
        kinds = {kind.name: kind for kind in configuration.kinds}
        for name, queue in list(self._kind_queues.items()):
            if name not in kinds and not len(queue):
                del self._kind_queues[name]
        for name, kind in kinds.items():
            if name in self._kind_queues:
                self._kind_queues[name].kind = kind
            else:
                self._kind_queues[name] = KindQueue(kind)
        self._configured = frozenset(kinds)
        self._shares.configure(configuration)

    def set_capacity(self, capacity: Size) -> None:
        """Set the capacity of the zone, of which floors and ceilings are fractions."""
        self._shares.set_capacity(capacity)

    def offer(
        self, request: Request, origin: Origin | None, now_ms: int
    ) -> Result[None, Refusal]:
        """Queue a request, or return why it is refused.

        Does nothing if the request already waits.
        """
        if request.key in self._queued:
            return Ok(None)
        refusal = self.refusal(request)
        if refusal is not None:
            return Err(refusal)
        self._put(request, origin, now_ms, now_ms + request.deadline_ms)
        return Ok(None)

    def restore(self, request: Request, now_ms: int, since_ms: int) -> None:
        """Queue a request that was accepted at `since_ms`, even if the queue is full.

        Its deadline is measured from `since_ms`. For a kind that is no longer
        configured, a queue is created that accepts no new requests.
        """
        if request.key in self._queued:
            return
        if request.kind not in self._kind_queues:
            self._kind_queues[request.kind] = KindQueue(
                WorkKind(request.kind, queue_limit=0)
            )
        self._put(request, None, now_ms, since_ms + request.deadline_ms)

    def next(
        self, now_ms: int, can_place: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Remove and return the next request that the limits and `can_place` allow.

        The caller then places it and calls `allocate`. Returns None if no waiting
        request can start now.
        """
        failed: list[tuple[Size, int]] = []
        for queued in self._candidates():
            request = queued.request
            if not self._is_starving(queued):
                if _exceeds_failed_size(request, failed):
                    self._skipped_since_ms.setdefault(request.key, now_ms)
                    continue
                if not self._shares.within_quota(request):
                    continue
                failed.append((request.size, request.tasks))
            if can_place(queued):
                self._dequeue(queued, now_ms)
                return queued
            self._skipped_since_ms.setdefault(request.key, now_ms)
        return None

    def starving_request(self, now_ms: int) -> QueuedRequest | None:
        """Return the request for which workers should be reserved, if any.

        Workers are reserved for one request at a time, the one skipped for the longest
        time, and only for `RESERVE_HOLD_MS`.
        """
        if self._starving is not None:
            queued, since_ms = self._starving
            if queued.key in self._queued and now_ms - since_ms < RESERVE_HOLD_MS:
                return queued
            if self._skipped_since_ms.pop(queued.key, None) is not None:
                self._skipped_since_ms[queued.key] = now_ms
            self._starving = None
        for key, since_ms in islice(
            self._skipped_since_ms.items(), MAX_STARVATION_CANDIDATES
        ):
            queued = self._queued[key]
            after_ms = min(RESERVE_AFTER_MS, queued.request.deadline_ms // 4)
            if now_ms - since_ms >= after_ms and self._shares.allows(queued.request):
                self._starving = queued, now_ms
                return queued
        return None

    def allocate(self, request: Request, size: Size | None = None) -> None:
        """Allocate capacity to a request that was started or found running.

        `size` is the size allocated to each of its tasks if it differs from the
        declared size.
        """
        self._shares.allocate(request, size or request.size)

    def release(self, key: RequestKey) -> None:
        """Release the capacity that is allocated to a request."""
        self._shares.release(key)

    def remove(
        self, key: RequestKey, now_ms: int | None = None
    ) -> QueuedRequest | None:
        """Remove and return a request, or return None if it does not wait."""
        queued = self._queued.get(key)
        if queued is not None:
            self._remove(queued, now_ms, started=False)
        return queued

    def pop_expired(self, now_ms: int) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, sequence, key = heapq.heappop(self._deadlines)
            queued = self._queued.get(key)
            if queued is not None and queued.sequence == sequence:
                self._remove(queued, now_ms, started=False)
                expired.append(queued)
        return expired

    def expected_wait_ms(self, kind: str) -> int | None:
        """Return the expected wait in ms of a new request, or None if it is unknown."""
        queue = self._kind_queues[kind]
        return queue.drain_rate.wait_ms(len(queue)) if len(queue) else 0

    def retry_after_ms(self, kind: str) -> int:
        """Return the delay in ms that a caller should wait before it retries."""
        wait_ms = self._kind_queues[kind].drain_rate.wait_ms(
            len(self._kind_queues[kind])
        )
        if wait_ms is None:
            return DEFAULT_RETRY_MS
        return min(max(wait_ms, MIN_RETRY_MS), MAX_RETRY_MS)

    def oldest(self) -> QueuedRequest | None:
        """Return the request that has waited longest, or None."""
        return next(iter(self._queued.values()), None)

    def next_urgent_request(self) -> QueuedRequest | None:
        """Return the next request of priority 0 within its team's quota, or None."""
        for queue in self.nonempty_queues():
            if queue.kind.priority == 0:
                for queued in queue.next_candidates():
                    if self._shares.within_quota(queued.request):
                        return queued
        return None

    def exceeds_capacity_outside_floors(self, request: Request, size: Size) -> bool:
        """Return whether `size` exceeds the total capacity minus other kinds' floors.

        The headroom of its kind does not apply to such a request. False if the kind is
        not configured or has a ceiling.
        """
        return self._shares.exceeds_capacity_outside_floors(request, size)

    def within_quota(self, request: Request) -> bool:
        """Return whether a request fits in the unused part of its team's quota."""
        return self._shares.within_quota(request)

    def nonempty_queues(self) -> list[KindQueue]:
        """Return the queues of the kinds that have waiting requests."""
        return [queue for queue in self._kind_queues.values() if len(queue)]

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind has less than its floor in every dimension of it."""
        return self._shares.is_below_floor(kind)

    def headroom(self, kind: str) -> Size | None:
        """Return the capacity left for a kind, or None while no capacity is known."""
        return self._shares.headroom(kind)

    def allocated_to_kind(self, kind: str) -> Size:
        """Return the capacity allocated to the started requests of a kind."""
        return self._shares.allocated_to_kind(kind)

    def allocated_to_team(self, team: str) -> Size:
        """Return the capacity allocated to the started requests of a team."""
        return self._shares.allocated_to_team(team)

    def _candidates(self) -> Iterator[QueuedRequest]:
        starving = None
        if self._starving is not None:
            starving = self._queued.get(self._starving[0].key)
        if starving is not None and self._shares.allows(starving.request):
            yield starving
        for queued in self._policy(self):
            if queued is not starving:
                yield queued

    def _is_starving(self, queued: QueuedRequest) -> bool:
        return self._starving is not None and queued.key == self._starving[0].key

    def _dequeue(self, queued: QueuedRequest, now_ms: int) -> None:
        self._remove(queued, now_ms, started=True)
        request = queued.request
        queue = self._kind_queues[request.kind]
        self._virtual_time = max(self._virtual_time, queue.virtual_time)
        weight = self._shares.team_weight(request.key.team)
        queue.charge(request.key.team, request.tasks, weight)

    def refusal(self, request: Request) -> Refusal | None:
        """Return why a new request would be refused now, or None."""
        queue = self._kind_queues.get(request.kind)
        if queue is None or request.kind not in self._configured:
            known = ", ".join(sorted(self._configured)) or "none"
            message = f"kind {request.kind!r} is not configured; known: {known}"
            return Refusal("unknown_kind", message, "kind")
        exceeded = self._shares.dimensions_over_quota(request)
        if exceeded:
            message = (
                f"the request needs more {', '.join(exceeded)} than the quota of team "
                f"{request.key.team!r} allows in the zone"
            )
            return Refusal("over_quota", message, "size")
        retry_ms = self.retry_after_ms(request.kind)
        if len(self._queued) >= self._settings.max_requests:
            message = f"{len(self._queued)} requests wait, which is the limit"
            return Refusal("queue_full", message, "", retry_ms)
        if len(queue) >= queue.kind.queue_limit:
            message = (
                f"{len(queue)} requests of kind {request.kind!r} wait "
                f"and its limit is {queue.kind.queue_limit}"
            )
            return Refusal("queue_full", message, "kind", retry_ms)
        wait_ms = self.expected_wait_ms(request.kind)
        if wait_ms is not None and wait_ms > request.deadline_ms:
            message = (
                f"the expected wait of {wait_ms} ms exceeds the deadline of "
                f"{request.deadline_ms} ms"
            )
            return Refusal("too_late", message, "deadline_ms", retry_ms)
        return None

    def _put(
        self, request: Request, origin: Origin | None, now_ms: int, expires_ms: int
    ) -> None:
        queue = self._kind_queues[request.kind]
        self._sequence += 1
        volume = self._shares.volume(request)
        queued = QueuedRequest(
            request, origin, now_ms, expires_ms, self._sequence, volume
        )
        if not len(queue):
            queue.virtual_time = max(queue.virtual_time, self._virtual_time)
        queue.put(queued)
        queue.drain_rate.record_enqueue(now_ms)
        self._queued[request.key] = queued
        heapq.heappush(self._deadlines, (expires_ms, self._sequence, request.key))
        self._shares.observe(request)

    def _remove(self, queued: QueuedRequest, now_ms: int | None, started: bool) -> None:
        key = queued.key
        del self._queued[key]
        self._skipped_since_ms.pop(key, None)
        queue = self._kind_queues[queued.request.kind]
        queue.discard(queued, started)
        if now_ms is None:
            now_ms = queued.since_ms
        queue.drain_rate.record_dequeue(
            now_ms, len(queue), now_ms - queued.since_ms, started
        )
        if len(self._deadlines) > 2 * len(self._queued) + 1_000:
            self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        self._deadlines = [
            (queued.expires_ms, queued.sequence, key)
            for key, queued in self._queued.items()
        ]
        heapq.heapify(self._deadlines)


def _exceeds_failed_size(request: Request, failed: list[tuple[Size, int]]) -> bool:
    return any(
        tasks <= request.tasks and size.fits(request.size) for size, tasks in failed
    )
