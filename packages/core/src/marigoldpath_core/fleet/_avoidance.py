"""Decides when a task uses the workers that it avoids.

A task avoids the workers where a run of it failed, stalled or was refused, so that a
worker that fails all it gets does not use up the attempts of a job. The other workers
may stay full for ever, so this is a preference, and it ends.
"""

from ._fleet import Fleet
from ._pools import Pools, may_become_candidate
from ._work import Task


def excluded_workers(fleet: Fleet, pools: Pools, task: Task) -> set[str]:
    """Return the workers that a task does not use, even if no other one has room.

    They are those that it avoids and that have completed no run since the task waits.
    After `avoid_ms` there are none, nor if there is no other worker to wait for.
    """
    avoided = task.avoided_workers
    if not avoided or has_waited(fleet, task):
        return set()
    pool = pools.get(task.step.job.queue.service)
    has_others = any(
        worker_id not in avoided and may_become_candidate(task.step, worker)
        for worker_id, worker in pool.usable.items()
    )
    if not has_others:
        return set()
    return {each for each in avoided if not _has_recovered(fleet, task, each)}


def has_waited(fleet: Fleet, task: Task) -> bool:
    """Return whether a task has waited for a worker for `avoid_ms`."""
    return fleet.now_ms - task.waiting_since_ms >= fleet.settings.avoid_ms


def is_stuck(fleet: Fleet, pools: Pools, task: Task) -> bool:
    """Return whether a job has nothing running although its service has much room.

    The task has waited for long. On a busy service tasks wait for the workers that
    become free, and so do those of a job that is making progress. A long-running task
    does not wait for the others of its job.
    """
    if not has_waited(fleet, task):
        return False
    job = task.step.job
    return pools.is_mostly_free(job.queue.service) and (
        task.step.spec.long_running or not job.has_runs
    )


def _has_recovered(fleet: Fleet, task: Task, worker_id: str) -> bool:
    """Return whether a run was done on the worker since the task waits."""
    worker = fleet.workers.get(worker_id)
    return worker is not None and worker.last_done_ms > task.waiting_since_ms
