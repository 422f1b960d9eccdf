"""Adopts the runs that a worker reports and this leader has not started."""

import math

from marigoldpath_core.jobs import TaskKey

from ._fleet import Fleet
from ._messages import RunningTask, StopRun
from ._occurrences import find_reported_task
from ._quotas import record_adopted
from ._run import UNKNOWN_SPEED, Run, RunState
from ._work import Task
from ._worker import Worker


def adopt(
    fleet: Fleet,
    worker: Worker,
    row: RunningTask,
    orphaned_runs: dict[tuple[TaskKey, int], float],
) -> Run | None:
    """Return a new run for a reported task, or None if the task must not run there.

    In the second case the run is added to `orphaned_runs` with the time of its newest
    stop command. It is stopped, unless its job is not known and could still be read
    from the store. The command is repeated after `retry_stop_ms`.
    """
    task = find_reported_task(fleet, row.task)
    is_copy = task is not None and _may_be_second_run(worker, task)
    if task is not None and not task.done and (task.run is None or is_copy):
        run = Run(task, row.run, worker.worker_id, task.step.need, worker.clock_ms)
        run.state = RunState.RUNNING
        if task.step.spec.fills:
            run.speed_percent = UNKNOWN_SPEED
        if is_copy:
            _attach_second_run(fleet, task, run)
        else:
            task.run = run
        task.number = max(task.number, row.run)
        worker.add(run)
        record_adopted(fleet, run)
        if task.step.spec.gang and run.number <= task.step.stopped_gang_run:
            fleet.stop(run, "a member of the gang did not start")
        return run
    job_id = row.task.job_id
    stop_sent_ms = worker.orphaned_runs.get((row.task, row.run), -math.inf)
    is_overdue = fleet.now_ms - stop_sent_ms > fleet.settings.retry_stop_ms
    if is_overdue and not may_still_load(fleet, worker, job_id):
        stop_sent_ms = fleet.now_ms
        fleet.log(
            "stray_run_stopping",
            job=job_id,
            task=tuple(row.task[1:]),
            run=row.run,
            worker=worker.worker_id,
            job_known=fleet.is_known(job_id),
            reason=_orphan_reason(fleet, task, row),
        )
        fleet.emit(
            StopRun(
                worker.worker_id,
                worker.entry.address,
                row.task,
                row.run,
                worker.restarts,
            )
        )
    orphaned_runs[row.task, row.run] = stop_sent_ms
    return None


def _may_be_second_run(worker: Worker, task: Task) -> bool:
    """Return whether a reported run can be the copy of the run that is known.

    It cannot if the known run is on the same worker: that one never got a copy there.
    """
    primary = task.run
    return (
        task.step.allows_copies
        and primary is not None
        and primary.state is not RunState.PLANNED
        and task.copy is None
        and task.key not in worker.runs
    )


def _attach_second_run(fleet: Fleet, task: Task, run: Run) -> None:
    """Add a second run to a task; the one that was started later is the copy.

    The order of the reports says nothing about that, but the numbers do.
    """
    primary = task.run
    assert primary is not None
    copy = run
    if run.number < primary.number:
        primary, copy = run, primary
    task.run, task.copy = primary, copy
    copy.started_as_copy = primary.had_copy = True
    fleet.copies.runs.add(copy)
    fleet.log(
        "copy_adopted",
        job=task.key.job_id,
        task=tuple(task.key[1:]),
        run=copy.number,
        worker=copy.worker_id,
    )


def _orphan_reason(fleet: Fleet, task: Task | None, row: RunningTask) -> str:
    if task is None:
        return fleet.why_ignored(row.task)
    if task.done:
        return "the task is done"
    assert task.run is not None
    return f"run {task.run.number} is on {task.run.worker_id}"


def may_still_load(fleet: Fleet, worker: Worker, job_id: str) -> bool:
    """Return whether a job that is not known could still be read from the store."""
    if fleet.is_known(job_id):
        return False
    since_ms = worker.unknown_jobs.get(job_id, fleet.now_ms)
    return fleet.jobs_read_ms < since_ms + fleet.settings.unknown_job_grace_ms
