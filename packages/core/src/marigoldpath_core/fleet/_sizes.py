"""Finds the largest recent tasks that fit only on some workers of a service.

Placement avoids filling these workers with smaller tasks.
"""

from typing import NamedTuple

from marigoldpath_core.jobs import Resources

from ._fleet import Fleet
from ._pools import Pools
from ._work import Step

# A service is expected to get another task of its largest size for this time.
LARGE_NEED_RETENTION_MS = 30_000


class LargeNeed(NamedTuple):
    """The largest need of the recent tasks of a service, and when it was last seen."""

    need: Resources
    seen_ms: float


def record_need(fleet: Fleet, step: Step) -> None:
    """Record the need of a step that was opened if it is the largest recent one."""
    if step.spec.fills:
        return
    service = step.job.queue.service
    largest = _largest(fleet, service)
    if largest is None or step.need.cpu_millis >= largest.cpu_millis:
        fleet.large_needs[service] = LargeNeed(step.need, fleet.now_ms)


def find_scarce_need(fleet: Fleet, pools: Pools, step: Step) -> Resources | None:
    """Return the largest recent need if only some workers can satisfy it.

    None means that there is none, or that it is not larger than that of the step.
    """
    service = step.job.queue.service
    largest = _largest(fleet, service)
    if largest is None or step.need.cpu_millis >= largest.cpu_millis:
        return None
    return largest if largest.cpu_millis > pools.smallest_cpu(service) else None


def _largest(fleet: Fleet, service: str) -> Resources | None:
    found = fleet.large_needs.get(service)
    if found is None or fleet.now_ms - found.seen_ms > LARGE_NEED_RETENTION_MS:
        return None
    return found.need
