"""Decides when a task uses the workers that it avoids.

A task avoids the workers where a run of it failed, stalled or was refused, so that a
worker that fails all it gets does not use up the attempts of a job. The other workers
may stay full for ever, so this is a preference, and it ends.
"""

from ._fleet import Fleet
from ._pools import Pools
from ._work import Step, Task
from ._worker import Worker


def may_use_avoided(fleet: Fleet, pools: Pools, task: Task) -> bool:
    """Return whether a task that has found no other worker uses those it avoids.

    It does after `avoid_ms`, or at once if there is no other worker to wait for.
    """
    if not task.avoided_workers:
        return False
    if has_waited(fleet, task):
        return True
    return not any(
        worker.worker_id not in task.avoided_workers and _may_run(task.step, worker)
        for worker in pools.usable(task.step)
    )


def has_waited(fleet: Fleet, task: Task) -> bool:
    """Return whether a task has waited for a worker for `avoid_ms`."""
    return fleet.now_ms - task.waiting_since_ms >= fleet.settings.avoid_ms


def _may_run(step: Step, worker: Worker) -> bool:
    """Return whether the worker may be a candidate of the step, now or later."""
    zone = step.job.zone
    if zone and worker.entry.zone != zone:
        return False
    if step.job.queue.advice is None:
        return True
    is_refused = (
        worker.worker_id in step.queried_workers
        and worker.worker_id not in step.tickets
    )
    return not is_refused
