"""Handlers for the termination of a run, registered by termination reason."""

import math

from marigoldpath_core.jobs import JobState
from marigoldpath_core.registry import Registry

from . import _health
from ._fleet import Fleet
from ._job_steps import complete_task, finish_job
from ._messages import TerminatedRun, TerminationReason
from ._occurrences import find_reported_task
from ._run import Run
from ._work import Task
from ._worker import Worker

# The number of durations that a step keeps. Their median needs no more.
MAX_DONE_RUNS = 32

termination_handlers: Registry = Registry("termination reason")


def apply_termination(fleet: Fleet, worker: Worker, terminated: TerminatedRun) -> None:
    """Free the resources of the run and apply the handler of its reason."""
    run = worker.runs.get(terminated.task)
    if run is not None and run.number == terminated.run:
        if terminated.kind is TerminationReason.DONE:
            fleet.speeds.record_done(worker, run)
        run.is_done = terminated.kind is TerminationReason.DONE
        _record_duration(fleet, run)
        _health.record_termination(fleet, worker, run, terminated.kind)
        fleet.release(run)
    task = find_reported_task(fleet, terminated.task)
    fleet.log(
        "run_ended",
        job=terminated.task.job_id,
        task=tuple(terminated.task[1:]),
        run=terminated.run,
        worker=worker.worker_id,
        kind=terminated.kind.value,
        known=fleet.task(terminated.task) is not None,
        ignored=fleet.why_ignored(terminated.task),
    )
    if task is None:
        return
    task.number = max(task.number, terminated.run)
    if terminated.checkpoint and not task.done:
        task.checkpoint = terminated.checkpoint
    termination_handlers.get(terminated.kind)(fleet, worker, task, terminated)


@termination_handlers.register(TerminationReason.DONE)
def _on_done(
    fleet: Fleet, _worker: Worker, task: Task, _terminated: TerminatedRun
) -> None:
    step = task.step
    if step.spec.long_running or not step.remaining_tasks:
        return
    # One termination with this reason is reported for a whole gang, and it completes
    # all of the gang's tasks. Any other task can have other runs on other workers,
    # which are stopped.
    for member in step.tasks if step.spec.gang else [task]:
        for run in () if step.spec.gang else member.runs:
            fleet.stop(run, _reason_to_stop(run))
        complete_task(fleet, member)


@termination_handlers.register(TerminationReason.FAILED)
def _on_failed(
    fleet: Fleet, worker: Worker, task: Task, terminated: TerminatedRun
) -> None:
    step = task.step
    task.avoided_workers.add(worker.worker_id)
    if step.spec.long_running or task.done:
        return
    # All runs of one attempt of a gang have the same number. Its failures are recorded
    # on the gang's first task, so that each attempt is one failure.
    counted = step.task(0) if step.spec.gang else task
    if terminated.run in counted.failed_runs:
        return
    counted.failed_runs.add(terminated.run)
    fleet.mark_dirty(step.job)
    if len(counted.failed_runs) >= step.job.queue.attempts:
        finish_job(fleet, step.job, JobState.FAILED, "a task failed too often")


@termination_handlers.register(TerminationReason.STOPPED)
@termination_handlers.register(TerminationReason.LEASE_EXPIRED)
@termination_handlers.register(TerminationReason.GANG_MEMBER_TERMINATED)
@termination_handlers.register(TerminationReason.GANG_INCOMPLETE)
def _on_interrupted(
    fleet: Fleet, _worker: Worker, task: Task, _terminated: TerminatedRun
) -> None:
    if task.checkpoint:
        fleet.mark_dirty(task.step.job)


def _reason_to_stop(run: Run) -> str:
    """Return why a run is stopped whose task another run has completed."""
    if run.started_as_copy:
        return "the run that it copies is done"
    return "its copy is done" if run.had_copy else "done elsewhere"


def _record_duration(fleet: Fleet, run: Run) -> None:
    """Record how long a run took that this leader started from the beginning."""
    is_whole = math.isfinite(run.started_ms) and not run.measured_from_percent
    if run.is_done and is_whole and run.task.step.allows_copies:
        durations = run.task.step.done_run_ms
        durations.append(fleet.now_ms - run.started_ms)
        del durations[:-MAX_DONE_RUNS]
