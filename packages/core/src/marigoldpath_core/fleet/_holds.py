"""Keeps one worker of a service free for a large task until its runs have ended.

Small tasks can use the room of each run that ends. So on a busy service, without this,
a task that fits only on some of the workers could wait for ever.
"""

import math

from ._fleet import Fleet
from ._place_waiting import expected_ends
from ._placement import Candidates, free_for
from ._pools import Pools
from ._work import Step
from ._worker import Hold, Worker

# A worker whose runs take longer to end is not held, as its room would be unused.
MAX_HOLD_MS = 5_000
# A run may end this much later than expected before the hold is given up.
HOLD_MARGIN_MS = 500


def hold_worker(fleet: Fleet, pools: Pools, step: Step, candidates: Candidates) -> None:
    """Hold the worker on which a large task fits first, unless another one is held.

    Between two holds there is a pause of the length of a hold, so that large tasks
    cannot exclude small ones. What a workspace sends above its rate holds no worker,
    because that would delay the jobs of others.
    """
    service = step.job.queue.service
    if (
        not fleet.speeds.differ
        or step.job.was_excess
        or step.need.cpu_millis <= pools.smallest_cpu(service)
        or fleet.now_ms < fleet.next_hold_ms.get(service, -math.inf)
        or pools.is_mostly_free(service)
    ):
        return
    found: Worker | None = None
    first_ms = fleet.now_ms + MAX_HOLD_MS
    for worker in candidates.workers:
        if _soon_free_millis(fleet, pools, worker) < step.need.cpu_millis:
            continue
        free_ms = _fits_ms(fleet, pools, step, worker)
        if free_ms < first_ms:
            found, first_ms = worker, free_ms
    if found is None:
        return
    until_ms = first_ms + HOLD_MARGIN_MS
    found.hold = Hold(step, first_ms, until_ms)
    fleet.next_hold_ms[service] = until_ms + (until_ms - fleet.now_ms)
    fleet.log(
        "worker_held",
        worker=found.worker_id,
        job=step.job.spec.job_id,
        step=step.key[1:],
        for_ms=round(until_ms - fleet.now_ms),
    )


def _soon_free_millis(fleet: Fleet, pools: Pools, worker: Worker) -> int:
    """Return the millicores that can be free on a worker within a hold.

    The result is as old as the pools, so that a backlog of large steps does not examine
    all runs for each step.
    """
    millis = pools.soon_free_millis.get(worker.worker_id)
    if millis is None:
        until_ms = fleet.now_ms + MAX_HOLD_MS
        millis = worker.free.cpu_millis + sum(
            run.need.cpu_millis
            for end_ms, run in expected_ends(fleet, pools, worker)
            if end_ms < until_ms
        )
        pools.soon_free_millis[worker.worker_id] = millis
    return millis


def _fits_ms(fleet: Fleet, pools: Pools, step: Step, worker: Worker) -> float:
    """Return when a task of the step is expected to fit on a worker."""
    if not fleet.is_startable(worker):
        return math.inf
    cpu_millis, memory_mb, accelerators = free_for(fleet, step, worker)
    for end_ms, run in expected_ends(fleet, pools, worker):
        if worker.runs.get(run.task.key) is not run:
            # It has ended, so its room is free already.
            continue
        cpu_millis += run.need.cpu_millis
        memory_mb += run.need.memory_mb
        accelerators += run.need.accelerators
        if (
            cpu_millis >= step.need.cpu_millis
            and memory_mb >= step.need.memory_mb
            and accelerators >= step.need.accelerators
        ):
            return end_ms
    return math.inf
