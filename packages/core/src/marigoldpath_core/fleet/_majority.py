"""Counts the workers that reply to a leader, of those of the cell.

A majority of them is an authority besides the leader's row. The directory does not
decide alone who counts: any program may write to it, and entries expire while the store
is away.
"""

import math
from collections import Counter
from typing import NamedTuple

from ._fleet import Fleet

# The services in a log line that counts the workers by service.
MAX_LOGGED_SERVICES = 5


class WorkerCounts(NamedTuple):
    """How many workers a leader knows, and how many count for its majority.

    Of all `workers`, `listed` are in the directory now, and `reachable` replied
    recently. Of those listed, `never_reported` have not replied to this leader at all.
    `listed_by_service` has at most MAX_LOGGED_SERVICES services with most workers.
    """

    workers: int
    listed: int
    reachable: int
    never_reported: int
    listed_by_service: dict[str, int]


def has_majority(fleet: Fleet, oldest_ms: float) -> bool:
    """Return whether most workers replied to polls sent at `oldest_ms` or later.

    One that replied counts also if its entry has expired.
    """
    replied = _replied(fleet, oldest_ms)
    return len(replied) * 2 > len(replied | _listed(fleet))


def has_reported_majority(fleet: Fleet) -> bool:
    """Return whether most workers have reported to this leader.

    At the beginning of the term, workers in the roster whose entry may have expired
    while the store was away count as well.
    """
    reported = _replied(fleet, -math.inf)
    counted = reported | _listed(fleet)
    term_ms = fleet.now_ms - fleet.earlier_leaders.began_ms
    if term_ms < fleet.settings.expired_entry_return_ms:
        counted |= fleet.unreported_workers.keys()
    return len(reported) * 2 > len(counted)


def count_workers(fleet: Fleet, oldest_ms: float) -> WorkerCounts:
    """Return the counts; reachable workers replied to polls sent since `oldest_ms`."""
    listed = [each for each in fleet.workers.values() if each.is_listed]
    services = Counter(each.entry.service for each in listed)
    return WorkerCounts(
        workers=len(fleet.workers),
        listed=len(listed),
        reachable=len(_replied(fleet, oldest_ms)),
        never_reported=sum(each.last_polled_ms is None for each in listed),
        listed_by_service=dict(services.most_common(MAX_LOGGED_SERVICES)),
    )


def _listed(fleet: Fleet) -> set[str]:
    return {each.worker_id for each in fleet.workers.values() if each.is_listed}


def _replied(fleet: Fleet, oldest_ms: float) -> set[str]:
    """Return the workers that replied to polls sent at `oldest_ms` or later.

    A worker may check the epoch of a poll when it arrives, and reply later. So the age
    of a reply counts from the time at which its poll was sent.
    """
    return {
        each.worker_id
        for each in fleet.workers.values()
        if each.last_polled_ms is not None and each.last_polled_ms >= oldest_ms
    }
