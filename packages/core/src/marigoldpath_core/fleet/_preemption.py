"""Stops background runs to make room for more urgent tasks."""

from marigoldpath_core.jobs import Resources

from ._fleet import Fleet
from ._placement import Candidates
from ._work import Run, RunState, Step
from ._worker import Worker


def make_room(fleet: Fleet, step: Step, among: Candidates, tasks: int) -> None:
    """Stop less urgent runs so that `tasks` more tasks of the step fit.

    Only runs that lose little are stopped: those that save a checkpoint, and those
    that have only just begun.
    """
    if step.job.queue.priority > 1 or step.spec.fills:
        return
    left = min(tasks, fleet.settings.most_preemptions)
    limit = step.spec.max_per_worker
    for worker in sorted(among.workers, key=lambda each: -each.free.cpu_millis):
        if left <= 0:
            return
        if limit and among.placed[worker.worker_id] >= limit:
            continue
        if any(run.state is RunState.STOPPING for run in worker.runs.values()):
            # Room is being made here already.
            left -= 1
            continue
        victims = _victims(fleet, step, worker)
        for run in victims:
            fleet.stop(run, f"preempted for {step.job.spec.job_id}")
        left -= bool(victims)


def _victims(fleet: Fleet, step: Step, worker: Worker) -> list[Run]:
    """Return the fewest runs whose end lets one task fit, or none."""
    missing = Resources(*(want - have for want, have in zip(step.need, worker.free)))
    chosen: list[Run] = []
    able = [run for run in worker.runs.values() if _may_stop(fleet, step, run)]
    for run in sorted(able, key=lambda each: -each.need.cpu_millis):
        if max(missing) <= 0:
            break
        chosen.append(run)
        missing = Resources(*(want - have for want, have in zip(missing, run.need)))
    return chosen if max(missing) <= 0 else []


def _may_stop(fleet: Fleet, step: Step, run: Run) -> bool:
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
