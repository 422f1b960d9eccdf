"""Counts the workers that reply to a leader, of those that are listed.

A majority of them is an authority besides the leader's row. Only workers of the cell
count, as any program may write to the directory.
"""

from collections import Counter
from typing import NamedTuple

from ._fleet import Fleet
from ._worker import Worker

# The services in a log line that counts the workers by service.
MAX_LOGGED_SERVICES = 5


class WorkerCounts(NamedTuple):
    """How many workers a leader knows, and how many count for its majority.

    Of all `workers`, `listed` are in the directory now, `reachable` of these replied
    recently, and `never_reported` of these have not replied to this leader at all.
    `listed_by_service` has at most MAX_LOGGED_SERVICES services with most workers.
    """

    workers: int
    listed: int
    reachable: int
    never_reported: int
    listed_by_service: dict[str, int]


def has_majority(fleet: Fleet, oldest_ms: float) -> bool:
    """Return whether most workers replied to polls sent at `oldest_ms` or later."""
    listed = _listed(fleet)
    return _count_replied(listed, oldest_ms) * 2 > len(listed)


def count_workers(fleet: Fleet, oldest_ms: float) -> WorkerCounts:
    """Return the counts; reachable workers replied to polls sent since `oldest_ms`."""
    listed = _listed(fleet)
    services = Counter(each.entry.service for each in listed)
    return WorkerCounts(
        workers=len(fleet.workers),
        listed=len(listed),
        reachable=_count_replied(listed, oldest_ms),
        never_reported=sum(each.last_polled_ms is None for each in listed),
        listed_by_service=dict(services.most_common(MAX_LOGGED_SERVICES)),
    )


def _listed(fleet: Fleet) -> list[Worker]:
    return [each for each in fleet.workers.values() if each.is_listed]


def _count_replied(workers: list[Worker], oldest_ms: float) -> int:
    """Return how many workers replied to polls sent at `oldest_ms` or later.

    A worker may check the epoch of a poll when it arrives, and reply later. So the age
    of a reply counts from the time at which its poll was sent.
    """
    return sum(
        1
        for each in workers
        if each.last_polled_ms is not None and each.last_polled_ms >= oldest_ms
    )
