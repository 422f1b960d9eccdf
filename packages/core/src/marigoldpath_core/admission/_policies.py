"""Queue policies, which set the order in which waiting requests are tried."""

from collections.abc import Callable, Iterable
from typing import Protocol

from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Request, Size

from ._kind_queue import KindQueue
from ._model import QueuedRequest
from ._shares import multiply_size

# A more urgent kind is tried first until its virtual time (starts per unit of weight)
# exceeds the lowest one by more than this. Without the bound, a flood of the most
# urgent kind would keep all other kinds from starting.
MAX_URGENT_LEAD_STARTS = 32.0


class WaitingRequests(Protocol):
    """The queue as seen by a policy."""

    def oldest(self) -> QueuedRequest | None:
        """Return the request that has waited longest, or None."""

    def nonempty_queues(self) -> list[KindQueue]:
        """Return the queues of the kinds that have waiting requests."""

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind has less than its floor in every dimension of it."""

    def exceeds_capacity_outside_floors(self, request: Request, size: Size) -> bool:
        """Return whether a request exceeds the capacity outside other kinds' floors."""

    def headroom(self, kind: str) -> Size | None:
        """Return the capacity left for a kind, or None while no capacity is known."""


# A policy yields requests in the order in which the queue tries to start them. It need
# not check the team quotas, because the queue checks them for every policy.
QueuePolicy = Callable[[WaitingRequests], Iterable[QueuedRequest]]
queue_policies: Registry[str, QueuePolicy] = Registry("queue policy")
queue_policy = queue_policies.register


@queue_policy("fifo")
def first_in_first_out(waiting: WaitingRequests) -> Iterable[QueuedRequest]:
    """Yield only the oldest request: a baseline that ignores floors and ceilings."""
    oldest = waiting.oldest()
    if oldest is not None:
        yield oldest


@queue_policy("weighted_fair")
def weighted_fair(waiting: WaitingRequests) -> Iterable[QueuedRequest]:
    """Yield requests of kinds below their floor first, then by priority and weight.

    Skips requests that exceed the headroom of their kind, unless they exceed the
    capacity outside other kinds' floors and would therefore wait forever.
    """
    queues = waiting.nonempty_queues()
    if len(queues) > 1:
        least = min(queue.virtual_time for queue in queues)

        def rank(queue: KindQueue) -> tuple[bool, bool, int, float, str]:
            ahead = queue.virtual_time - least > MAX_URGENT_LEAD_STARTS
            urgency = 0 if ahead else queue.kind.priority
            below = waiting.is_below_floor(queue.kind.name)
            return not below, ahead, urgency, queue.virtual_time, queue.kind.name

        queues = sorted(queues, key=rank)
    for queue in queues:
        headroom = waiting.headroom(queue.kind.name)
        for queued in queue.next_candidates():
            request = queued.request
            size = request.size
            if request.tasks > 1:
                size = multiply_size(size, request.tasks)
            if (
                headroom is None
                or size.fits(headroom)
                or waiting.exceeds_capacity_outside_floors(request, size)
            ):
                yield queued
