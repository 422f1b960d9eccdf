"""Preempts background runs for more urgent tasks."""

from marigoldpath_core.jobs import Resources

from ._avoidance import excluded_workers
from ._fleet import Fleet
from ._placement import Candidates, has_room
from ._pools import Pools
from ._quotas import count_allowed
from ._run import Run, RunState
from ._work import Step
from ._worker import Worker


def preempt_for(fleet: Fleet, pools: Pools, step: Step, candidates: Candidates) -> None:
    """Stop less urgent runs to free capacity for the waiting tasks of the step.

    A call frees capacity for at most one task on each worker. Only runs that lose
    little work are stopped: those that save a checkpoint, and those with little
    progress.
    """
    if not _may_preempt(step):
        return
    if has_room(fleet, step, candidates):
        # The waiting tasks avoid that worker, or are kept apart from others there.
        return
    # Runs are stopped only for tasks that the quota lets start.
    remaining_tasks = min(count_allowed(fleet, step), fleet.settings.max_preemptions)
    unused_workers = _unused_workers(fleet, pools, step)
    limit = step.spec.max_per_worker
    for worker in sorted(candidates.workers, key=lambda each: -each.free.cpu_millis):
        if remaining_tasks <= 0:
            return
        if limit and candidates.placed[worker.worker_id] >= limit:
            continue
        if worker.worker_id in unused_workers or not fleet.is_startable(worker):
            continue
        is_stopping = any(
            run.state is RunState.STOPPING for run in worker.runs.values()
        )
        # A run of the worker that is stopping already is expected to free capacity for
        # one task.
        to_preempt = [] if is_stopping else _runs_to_preempt(fleet, step, worker)
        for run in to_preempt:
            fleet.stop(run, f"preempted for {step.job.spec.job_id}")
        if is_stopping or to_preempt:
            # Otherwise the room of the run that ends first would go to the tasks that
            # are preempted, as long as it is too small for this one.
            until_ms = fleet.now_ms + fleet.settings.retry_stop_ms
            worker.reserve_for(step, fleet.now_ms, until_ms)
            remaining_tasks -= 1


def could_preempt(fleet: Fleet, step: Step, worker: Worker) -> bool:
    """Return whether a task of the step would fit if less urgent runs were stopped."""
    return _may_preempt(step) and bool(_runs_to_preempt(fleet, step, worker))


def _may_preempt(step: Step) -> bool:
    # What a workspace sends above its rate must not stop the runs of others.
    return step.job.queue.priority <= 1 and not (step.spec.fills or step.job.was_excess)


def _unused_workers(fleet: Fleet, pools: Pools, step: Step) -> set[str]:
    """Return the workers that no waiting task of the step would use now."""
    unused: set[str] | None = None
    for task in step.waiting:
        excluded = excluded_workers(fleet, pools, task)
        unused = excluded if unused is None else unused & excluded
        if not unused:
            break
    return unused or set()


def _runs_to_preempt(fleet: Fleet, step: Step, worker: Worker) -> list[Run]:
    """Return the runs to stop so that one more task fits, the largest first.

    The list is empty if stopping all preemptible runs would not free enough.
    """
    missing = Resources(*(want - have for want, have in zip(step.need, worker.free)))
    chosen: list[Run] = []
    preemptible = [
        run for run in worker.runs.values() if _is_preemptible(fleet, step, run)
    ]
    for run in sorted(preemptible, key=lambda each: -each.need.cpu_millis):
        if max(missing) <= 0:
            break
        chosen.append(run)
        missing = Resources(*(want - have for want, have in zip(missing, run.need)))
    return chosen if max(missing) <= 0 else []


def _is_preemptible(fleet: Fleet, step: Step, run: Run) -> bool:
    other = run.task.step
    spec = other.spec
    return (
        run.state is RunState.RUNNING
        and other.job.queue.priority > step.job.queue.priority
        and not spec.long_running
        and not spec.gang
        and not spec.fills
        and (spec.checkpointable or run.percent <= fleet.settings.preempt_percent)
    )
