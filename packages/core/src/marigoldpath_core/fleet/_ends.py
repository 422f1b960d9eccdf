"""What follows from the end of a run, by its kind."""

from marigoldpath_core.jobs import JobState
from marigoldpath_core.registry import Registry

from . import _health
from ._fleet import Fleet
from ._jobs import complete_task, finish
from ._messages import TerminatedRun, TerminationReason
from ._work import Task
from ._worker import Worker

ends: Registry = Registry("kind of end")


def take_end(fleet: Fleet, worker: Worker, ended: TerminatedRun) -> None:
    """Free what the run held and let its kind decide what becomes of the task."""
    run = worker.runs.get(ended.task)
    if run is not None and run.number == ended.run:
        _health.note_end(fleet, worker, run, ended.kind)
        fleet.release(run)
    task = fleet.task(ended.task)
    fleet.note(
        "run_ended",
        job=ended.task.job_id,
        task=tuple(ended.task[1:]),
        run=ended.run,
        worker=worker.worker_id,
        kind=ended.kind.value,
        known=task is not None,
    )
    if task is None or task.step.job.state.is_final:
        return
    task.number = max(task.number, ended.run)
    if ended.checkpoint and not task.done:
        _keep_checkpoint(task, ended.checkpoint)
    ends.get(ended.kind)(fleet, worker, task, ended)


@ends.register(TerminationReason.DONE)
def _done(fleet: Fleet, _worker: Worker, task: Task, _ended: TerminatedRun) -> None:
    step = task.step
    if step.spec.long_running:
        return
    # One end of a gang stands for all of its tasks.
    for member in step.tasks if step.spec.gang else [task]:
        if member.run is not None and not step.spec.gang:
            fleet.stop(member.run, "done elsewhere")
        complete_task(fleet, member)


@ends.register(TerminationReason.FAILED)
def _failed(fleet: Fleet, worker: Worker, task: Task, ended: TerminatedRun) -> None:
    step = task.step
    task.avoided.add(worker.worker_id)
    if step.spec.long_running or task.done:
        return
    # The failures of a gang are counted on its first task, once for a run.
    counted = step.tasks[0] if step.spec.gang else task
    if ended.run in counted.failed_runs:
        return
    counted.failed_runs.add(ended.run)
    fleet.mark_dirty(step.job)
    if len(counted.failed_runs) >= step.job.queue.attempts:
        finish(fleet, step.job, JobState.FAILED, "a task failed too often")


@ends.register(TerminationReason.STOPPED)
@ends.register(TerminationReason.LEASE_EXPIRED)
@ends.register(TerminationReason.BROKEN)
@ends.register(TerminationReason.ALONE)
def _interrupted(
    fleet: Fleet, _worker: Worker, task: Task, _ended: TerminatedRun
) -> None:
    if task.checkpoint:
        fleet.mark_dirty(task.step.job)


def _keep_checkpoint(task: Task, checkpoint: str) -> None:
    # All tasks of a gang must resume from the same checkpoint.
    for member in task.step.tasks if task.step.spec.gang else [task]:
        member.checkpoint = checkpoint
