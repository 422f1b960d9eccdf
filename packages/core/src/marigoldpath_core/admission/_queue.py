"""The queue of a zone's waiting requests."""

import heapq
from collections import OrderedDict
from collections.abc import Callable, Iterator
from itertools import islice

from result import Err, Ok, Result

from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.requests import Origin, Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

from ._lane import Lane
from ._model import QueuedRequest, Refusal
from ._policies import queue_policies
from ._shares import Shares

# Told to callers while the drain rate is not known, and the bounds of what they are
# told otherwise.
DEFAULT_RETRY_MS = 1_000
LEAST_RETRY_MS = 100
MOST_RETRY_MS = 60_000
# A request that was passed over for this long, or for a quarter of its deadline, gets
# workers kept free for it. Earlier reservations cost 1% of the packing. A reservation
# ends after the hold, so that tasks without an end cannot keep workers empty for good.
RESERVE_AFTER_MS = 10_000
RESERVE_HOLD_MS = 30_000
STARVING_TRIED = 16


class AdmissionQueue:
    """Bounded queues by kind and team with fair turns, floors, ceilings and quotas.

    Times are `now_ms` on one clock of the caller, which must not go back.
    """

    def __init__(self, settings: SchedulerSettings) -> None:
        self._settings = settings
        self._policy = queue_policies.get(settings.queue_policy)
        self._lanes: dict[str, Lane] = {}
        self._configured: frozenset[str] = frozenset()
        self._queued: OrderedDict[RequestKey, QueuedRequest] = OrderedDict()
        self._deadlines: list[tuple[int, int, RequestKey]] = []
        self._shares = Shares()
        self._sequence = 0
        # The virtual time of the last start: a kind that was idle begins there and has
        # saved up no turns.
        self._virtual_time = 0.0
        self._passed_over: OrderedDict[RequestKey, int] = OrderedDict()
        self._starving: tuple[QueuedRequest, int] | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, key: RequestKey) -> bool:
        return key in self._queued

    @property
    def kinds(self) -> tuple[WorkKind, ...]:
        """Return the kinds of work that are configured."""
        return tuple(self._lanes[name].kind for name in sorted(self._configured))

    def length(self, kind: str) -> int:
        """Return the number of waiting requests of a kind."""
        lane = self._lanes.get(kind)
        return 0 if lane is None else len(lane)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; requests of kinds that are gone stay queued."""
        kinds = {kind.name: kind for kind in configuration.kinds}
        for name, lane in list(self._lanes.items()):
            if name not in kinds and not len(lane):
                del self._lanes[name]
        for name, kind in kinds.items():
            if name in self._lanes:
                self._lanes[name].kind = kind
            else:
                self._lanes[name] = Lane(kind)
        self._configured = frozenset(kinds)
        self._shares.configure(configuration)

    def set_capacity(self, capacity: Size) -> None:
        """Set the capacity of the zone, of which floors and ceilings are parts."""
        self._shares.set_capacity(capacity)

    def offer(
        self, request: Request, origin: Origin | None, now_ms: int
    ) -> Result[None, Refusal]:
        """Queue a request or say why not; a request that waits already is kept."""
        if request.key in self._queued:
            return Ok(None)
        refusal = self.refusal(request)
        if refusal is not None:
            return Err(refusal)
        self._put(request, origin, now_ms, now_ms + request.deadline_ms)
        return Ok(None)

    def restore(self, request: Request, now_ms: int, since_ms: int) -> None:
        """Queue a request that was taken in at `since_ms`, also where it is full.

        Its deadline counts from then. A kind that is no longer configured gets a
        lane that takes no new requests.
        """
        if request.key in self._queued:
            return
        if request.kind not in self._lanes:
            self._lanes[request.kind] = Lane(WorkKind(request.kind, queue_limit=0))
        self._put(request, None, now_ms, since_ms + request.deadline_ms)

    def next(
        self, now_ms: int, can_place: Callable[[QueuedRequest], bool]
    ) -> QueuedRequest | None:
        """Take the next request that is allowed and that `can_place` accepts.

        The caller then places it and calls `allocate`. None means that nothing that
        waits can start now.
        """
        failed: list[tuple[Size, int]] = []
        for queued in self._candidates():
            request = queued.request
            if not self._is_starving(queued):
                if _found_no_room(request, failed):
                    self._passed_over.setdefault(request.key, now_ms)
                    continue
                if not self._shares.within_quota(request):
                    continue
                failed.append((request.size, request.tasks))
            if can_place(queued):
                self._take(queued, now_ms)
                return queued
            self._passed_over.setdefault(request.key, now_ms)
        return None

    def starving_request(self, now_ms: int) -> QueuedRequest | None:
        """Return the request for which workers should be kept free, if any.

        It is one at a time, the one passed over for longest, for a bounded time.
        """
        if self._starving is not None:
            queued, since_ms = self._starving
            if queued.key in self._queued and now_ms - since_ms < RESERVE_HOLD_MS:
                return queued
            if self._passed_over.pop(queued.key, None) is not None:
                self._passed_over[queued.key] = now_ms
            self._starving = None
        for key, since_ms in islice(self._passed_over.items(), STARVING_TRIED):
            queued = self._queued[key]
            after_ms = min(RESERVE_AFTER_MS, queued.request.deadline_ms // 4)
            if now_ms - since_ms >= after_ms and self._shares.allows(queued.request):
                self._starving = queued, now_ms
                return queued
        return None

    def allocate(self, request: Request, size: Size | None = None) -> None:
        """Count a request that was started, or found running, as holding room.

        `size` is what one of its tasks holds if that differs from the declared size.
        """
        self._shares.charge(request, size or request.size)

    def release(self, key: RequestKey) -> None:
        """Give back what a started request held."""
        self._shares.discharge(key)

    def remove(
        self, key: RequestKey, now_ms: int | None = None
    ) -> QueuedRequest | None:
        """Take a request out, for a cancellation; None if it does not wait."""
        queued = self._queued.get(key)
        if queued is not None:
            self._drop(queued, now_ms, started=False)
        return queued

    def pop_expired(self, now_ms: int) -> list[QueuedRequest]:
        """Take out and return the requests whose deadline has passed."""
        gone = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, sequence, key = heapq.heappop(self._deadlines)
            queued = self._queued.get(key)
            if queued is not None and queued.sequence == sequence:
                self._drop(queued, now_ms, started=False)
                gone.append(queued)
        return gone

    def expected_wait_ms(self, kind: str) -> int | None:
        """Return the wait of a new request by the measured drain rate, if known."""
        lane = self._lanes[kind]
        return lane.drain.wait_ms(len(lane)) if len(lane) else 0

    def retry_after_ms(self, kind: str) -> int:
        """Return when a refused request of a kind may come back."""
        wait_ms = self._lanes[kind].drain.wait_ms(len(self._lanes[kind]))
        if wait_ms is None:
            return DEFAULT_RETRY_MS
        return min(max(wait_ms, LEAST_RETRY_MS), MOST_RETRY_MS)

    def oldest(self) -> QueuedRequest | None:
        """Return the request that waits longest."""
        return next(iter(self._queued.values()), None)

    def next_urgent_request(self) -> QueuedRequest | None:
        """Return the next request of priority 0 that its team's quota allows."""
        for lane in self.nonempty_queues():
            if lane.kind.priority == 0:
                for queued in lane.next_candidates():
                    if self._shares.within_quota(queued.request):
                        return queued
        return None

    def outsizes_floors(self, request: Request, size: Size) -> bool:
        """Return whether a request can never fit beside the floors of other kinds."""
        return self._shares.outsizes_floors(request, size)

    def within_quota(self, request: Request) -> bool:
        """Return whether a request fits in what its team's quota leaves."""
        return self._shares.within_quota(request)

    def nonempty_queues(self) -> list[Lane]:
        """Return the lanes with waiting requests."""
        return [lane for lane in self._lanes.values() if len(lane)]

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind holds less than its floor."""
        return self._shares.is_below_floor(kind)

    def room(self, kind: str) -> Size | None:
        """Return what one more request of a kind may hold; None for no limit."""
        return self._shares.room(kind)

    def allocated_to_kind(self, kind: str) -> Size:
        """Return what the started requests of a kind hold."""
        return self._shares.allocated_to_kind(kind)

    def allocated_to_team(self, team: str) -> Size:
        """Return what the started requests of a team hold."""
        return self._shares.allocated_to_team(team)

    def _candidates(self) -> Iterator[QueuedRequest]:
        starving_request = None
        if self._starving is not None:
            starving_request = self._queued.get(self._starving[0].key)
        if starving_request is not None and self._shares.allows(
            starving_request.request
        ):
            yield starving_request
        for queued in self._policy(self):
            if queued is not starving_request:
                yield queued

    def _is_starving(self, queued: QueuedRequest) -> bool:
        return self._starving is not None and queued.key == self._starving[0].key

    def _take(self, queued: QueuedRequest, now_ms: int) -> None:
        self._drop(queued, now_ms, started=True)
        request = queued.request
        lane = self._lanes[request.kind]
        self._virtual_time = max(self._virtual_time, lane.virtual_time)
        weight = self._shares.team_weight(request.key.team)
        lane.charge(request.key.team, request.tasks, weight)

    def refusal(self, request: Request) -> Refusal | None:
        """Return why a request would not be queued now, or None."""
        lane = self._lanes.get(request.kind)
        if lane is None or request.kind not in self._configured:
            known = ", ".join(sorted(self._configured)) or "none"
            message = f"kind {request.kind!r} is not configured; known: {known}"
            return Refusal("unknown_kind", message, "kind")
        over = self._shares.over_quota_alone(request)
        if over:
            message = (
                f"the request needs more {', '.join(over)} than the quota of team "
                f"{request.key.team!r} allows in the zone"
            )
            return Refusal("over_quota", message, "size")
        retry_ms = self.retry_after_ms(request.kind)
        if len(self._queued) >= self._settings.max_requests:
            message = f"{len(self._queued)} requests wait, which is the limit"
            return Refusal("queue_full", message, "", retry_ms)
        if len(lane) >= lane.kind.queue_limit:
            message = (
                f"{len(lane)} requests of kind {request.kind!r} wait and its limit is "
                f"{lane.kind.queue_limit}"
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
        lane = self._lanes[request.kind]
        self._sequence += 1
        volume = self._shares.volume(request)
        queued = QueuedRequest(
            request, origin, now_ms, expires_ms, self._sequence, volume
        )
        if not len(lane):
            lane.virtual_time = max(lane.virtual_time, self._virtual_time)
        lane.put(queued)
        lane.drain.grew(now_ms)
        self._queued[request.key] = queued
        heapq.heappush(self._deadlines, (expires_ms, self._sequence, request.key))
        self._shares.observe(request)

    def _drop(self, queued: QueuedRequest, now_ms: int | None, started: bool) -> None:
        key = queued.key
        del self._queued[key]
        self._passed_over.pop(key, None)
        lane = self._lanes[queued.request.kind]
        lane.discard(queued, started)
        if now_ms is None:
            now_ms = queued.since_ms
        lane.drain.shrank(now_ms, len(lane), now_ms - queued.since_ms, started)
        if len(self._deadlines) > 2 * len(self._queued) + 1_000:
            self._compact_deadlines()

    def _compact_deadlines(self) -> None:
        self._deadlines = [
            (queued.expires_ms, queued.sequence, key)
            for key, queued in self._queued.items()
        ]
        heapq.heapify(self._deadlines)


def _found_no_room(request: Request, failed: list[tuple[Size, int]]) -> bool:
    return any(
        tasks <= request.tasks and size.fits(request.size) for size, tasks in failed
    )
