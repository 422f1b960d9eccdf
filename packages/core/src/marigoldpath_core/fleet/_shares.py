"""Shares the capacity between workspaces, and marks what they send above their rate."""

import math
from collections.abc import Iterable

from marigoldpath_core.jobs import AcceptedJob, Resources

from ._fleet import Fleet
from ._job import Job
from ._pools import Pools
from ._quotas import quota_of
from ._share_state import NewJob, ShareLevel, TokenBucket, burst_of
from ._work import Step

# An excess job comes after all others until it has waited for this time, so that it
# starts even if the service never has spare capacity.
EXCESS_WAIT_MS = 10_000
# Clocks of hosts differ by less than this. A job that was accepted later than that by
# the leader's clock has a wrong time, which would keep the bucket empty for long.
MAX_CLOCK_LEAD_MS = 1_000


def record_new_job(fleet: Fleet, accepted: AcceptedJob, job: Job | None) -> None:
    """Count a job that was read for the first time, at the next scheduling pass."""
    if accepted.workspace:
        fleet.shares.new_jobs.append(
            NewJob(accepted.accepted_ms, accepted.spec.job_id, accepted.workspace, job)
        )


def mark_excess(fleet: Fleet) -> None:
    """Mark the new jobs that their workspaces sent above their rate.

    They are counted in the order of their acceptance, so that a new leader marks the
    same jobs as the previous one.
    """
    if fleet.quotas.workspaces is None or not fleet.shares.new_jobs:
        return
    new_jobs, fleet.shares.new_jobs = fleet.shares.new_jobs, []
    for accepted_ms, _, name, job in sorted(new_jobs, key=lambda each: each[:2]):
        workspace = fleet.quotas.known.get(name)
        if workspace is None:
            continue
        at_ms = accepted_ms
        if fleet.wall_ms:
            at_ms = min(accepted_ms, fleet.wall_ms + MAX_CLOCK_LEAD_MS)
        fleet.shares.arrivals.record(name, at_ms)
        bucket = fleet.shares.buckets.get(
            name, TokenBucket(burst_of(workspace.weight), at_ms)
        )
        bucket = bucket.refilled(workspace.weight, at_ms)
        if bucket.tokens >= 1:
            bucket = bucket._replace(tokens=bucket.tokens - 1)
        elif job is not None:
            job.excess_until_ms = job.accepted_at_ms + EXCESS_WAIT_MS
        fleet.shares.buckets[name] = bucket


def is_excess(fleet: Fleet, job: Job) -> bool:
    """Return whether a job comes after all others, whatever its priority."""
    return fleet.now_ms < job.excess_until_ms


def find_share_level(
    fleet: Fleet, pools: Pools, waiting: Iterable[Step]
) -> ShareLevel | None:
    """Return the fair shares of the workspaces with waiting tasks.

    They divide in proportion to the weights what these workspaces used together after
    the last pass, not the whole capacity. They could not use all of it, because of the
    reserve for urgent work, jobs without a workspace, and room that is too small. None
    means that no workspace is above its share: there is only one, or the usage is not
    complete, as workers have not reported.
    """
    names = {step.job.accepted.workspace for step in waiting}
    names.discard("")
    if len(names) < 2 or fleet.unreported_workers:
        fleet.shares.last_shares = {}
        return None
    capacity = pools.capacity
    shares = {name: share_of(fleet, capacity, name) for name in names}
    last_shares = [
        fleet.shares.last_shares.get(name, share) for name, share in shares.items()
    ]
    used = max(sum(shares.values()), sum(last_shares))
    weights = {name: weight_of(fleet, name) for name in names}
    ceilings = {name: _ceiling(fleet, name, share) for name, share in shares.items()}
    unit = _fair_unit(used, weights, ceilings)
    # The tolerance keeps rounding from separating workspaces with equal shares.
    limits = {name: unit * weight * (1 + 1e-9) for name, weight in weights.items()}
    return ShareLevel(capacity, limits)


def _fair_unit(
    used: float, weights: dict[str, float], ceilings: dict[str, float]
) -> float:
    """Return the fair share of a workspace with a weight of 1.

    The fair shares of all workspaces add up to `used`. What a workspace cannot use
    because of its quota, which limits its share to its ceiling, is divided between the
    others.
    """
    weights = dict(weights)
    while True:
        unit = used / sum(weights.values())
        capped = [name for name in weights if ceilings[name] < unit * weights[name]]
        if not capped or len(capped) == len(weights):
            return unit
        for name in capped:
            used -= ceilings[name]
            del weights[name]


def _ceiling(fleet: Fleet, name: str, share: float) -> float:
    """Return the share at which the quota of a workspace is used up.

    That is derived from the proportions of the resources that it uses now.
    """
    used = fleet.usage.used(name)
    factors = [
        limit / amount
        for limit, amount in zip(quota_of(fleet, name), used)
        if limit and amount
    ]
    return share * min(factors) if factors else math.inf


def record_shares(fleet: Fleet, level: ShareLevel) -> None:
    """Record what the workspaces use at the end of a scheduling pass."""
    fleet.shares.last_shares = {
        name: share_of(fleet, level.capacity, name) for name in level.limits
    }


def is_over_share(fleet: Fleet, level: ShareLevel, step: Step) -> bool:
    """Return whether the workspace of a step uses more than its fair share."""
    name = step.job.accepted.workspace
    if not name:
        return False
    share = share_of(fleet, level.capacity, name)
    return share > level.limits[name]


def count_within_share(fleet: Fleet, step: Step) -> int:
    """Return how many tasks of the step its workspace may start for its fair share.

    The task that brings the workspace above its share is included.
    """
    level, name = fleet.shares.level, step.job.accepted.workspace
    if level is None or not name:
        return step.waiting_tasks
    limit = level.limits[name]
    room = [
        int((limit * have - amount) // want) + 1
        for have, amount, want in zip(
            level.capacity, fleet.usage.used(name), step.spec.need
        )
        if have and want
    ]
    return max(0, min([step.waiting_tasks, *room]))


def weight_of(fleet: Fleet, name: str) -> float:
    """Return the weight of a workspace, 1 if it is in no configuration.

    The result is positive, because shares are divided by it.
    """
    workspace = fleet.quotas.known.get(name)
    return 1.0 if workspace is None else max(workspace.weight, 1e-6)


def share_of(fleet: Fleet, capacity: Resources, name: str) -> float:
    """Return the dominant share: the largest part of a resource that is used."""
    return max(
        (
            amount / total
            for amount, total in zip(fleet.usage.used(name), capacity)
            if total
        ),
        default=0.0,
    )
