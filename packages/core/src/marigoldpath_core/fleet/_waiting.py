"""Logs why tasks wait for a worker."""

from . import _placement
from ._crashes import may_try_on
from ._fleet import Fleet
from ._pools import Pools
from ._work import Step, Task

# A step is logged once its oldest waiting task has waited for this time.
LOG_DELAY_MS = 1_000
# The time between two lines for the same step.
LOG_INTERVAL_MS = 5_000
# The time between two lines for any steps, which bounds the lines of a backlog.
MIN_LOG_GAP_MS = 200


def log_if_due(fleet: Fleet, pools: Pools, step: Step, cause: str) -> None:
    """Log why tasks of a step wait, if they have for some time.

    `cause` is empty if a worker was looked for. The counts of candidates are those for
    the task that has waited longest.
    """
    now_ms = fleet.now_ms
    if (
        now_ms - fleet.waiting_logged_ms < MIN_LOG_GAP_MS
        or now_ms - step.waiting_logged_ms < LOG_INTERVAL_MS
        or now_ms - step.opened_ms < LOG_DELAY_MS
    ):
        return
    task = step.longest_waiting_task()
    waited_ms = now_ms - task.waiting_since_ms
    if waited_ms < LOG_DELAY_MS:
        return
    fleet.waiting_logged_ms = step.waiting_logged_ms = now_ms
    fleet.log(
        "tasks_waiting",
        job=step.job.spec.job_id,
        step=step.key[1:],
        tasks=step.waiting_tasks,
        waited_ms=round(waited_ms),
        cause=cause or "no worker",
        **_count_candidates(fleet, pools, step, task),
    )


def _count_candidates(
    fleet: Fleet, pools: Pools, step: Step, task: Task
) -> dict[str, int]:
    """Return the number of candidates, and how many of them each reason excludes."""
    candidates = _placement.find_candidates(fleet, pools, step)
    workers = candidates.workers
    limit = step.spec.max_per_worker
    placed = candidates.placed
    return {
        "candidates": len(workers),
        "avoided": sum(each.worker_id in task.avoided_workers for each in workers),
        "full": sum(not each.fits(step.need) for each in workers),
        "reserved": sum(
            each.fits(step.need) and not _placement.has_capacity(fleet, step, each)
            for each in workers
        ),
        "at_limit": sum(
            bool(limit) and placed[each.worker_id] >= limit for each in workers
        ),
        "unusable": sum(not fleet.is_startable(each) for each in workers),
        "apart": sum(not may_try_on(fleet, task, each) for each in workers),
        "quarantined": sum(
            fleet.now_ms < each.quarantined_until_ms for each in fleet.workers.values()
        ),
    }
