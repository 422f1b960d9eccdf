"""Queue policies: the order in which waiting requests are tried."""

from collections.abc import Callable, Iterable
from typing import Protocol

from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Request, Size

from ._lane import Lane
from ._model import QueuedRequest
from ._shares import times

# An urgent kind goes first until it is this many starts, for each unit of weight,
# ahead of the kind that is furthest behind. Without the bound a flood of the most
# urgent kind would start nothing else.
URGENT_LEAD = 32.0


class WaitingRequests(Protocol):
    """What a policy sees of the queue."""

    def oldest(self) -> QueuedRequest | None:
        """Return the request that waits longest."""

    def nonempty_queues(self) -> list[Lane]:
        """Return the lanes with waiting requests."""

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind holds less than its floor."""

    def outsizes_floors(self, request: Request, size: Size) -> bool:
        """Return whether a request can never fit beside the floors of other kinds."""

    def room(self, kind: str) -> Size | None:
        """Return what one more request of a kind may hold; None for no limit."""


# Yields requests in the order in which they are to be tried. The queue itself checks
# the quotas of teams, for every policy.
QueuePolicy = Callable[[WaitingRequests], Iterable[QueuedRequest]]
queue_policies: Registry[str, QueuePolicy] = Registry("queue policy")
queue_policy = queue_policies.register


@queue_policy("fifo")
def first_in_first_out(waiting: WaitingRequests) -> Iterable[QueuedRequest]:
    """Offer only the oldest request; the baseline, without floors and ceilings."""
    oldest = waiting.oldest()
    if oldest is not None:
        yield oldest


@queue_policy("weighted_fair")
def weighted_fair(waiting: WaitingRequests) -> Iterable[QueuedRequest]:
    """Offer kinds below their floor first, then urgent kinds, then by weight."""
    lanes = waiting.nonempty_queues()
    if len(lanes) > 1:
        least = min(lane.virtual_time for lane in lanes)

        def rank(lane: Lane) -> tuple[bool, bool, int, float, str]:
            ahead = lane.virtual_time - least > URGENT_LEAD
            urgency = 0 if ahead else lane.kind.priority
            below = waiting.is_below_floor(lane.kind.name)
            return not below, ahead, urgency, lane.virtual_time, lane.kind.name

        lanes = sorted(lanes, key=rank)
    for lane in lanes:
        room = waiting.room(lane.kind.name)
        for queued in lane.next_candidates():
            request = queued.request
            size = request.size
            if request.tasks > 1:
                size = times(size, request.tasks)
            if (
                room is None
                or size.fits(room)
                or waiting.outsizes_floors(request, size)
            ):
                yield queued
