"""Counts the workers that crash under a task, and gives the task up after some.

A worker that ends a moment after a start may have crashed because of it, so the runs
that were started within `crash_window_ms` before its end are blamed. Their tasks are
suspects from then on: no two of them are started on one worker within that time, and
their starts are stored before they are sent, so that the next leader counts a crash
that took the leader with it.
"""

from marigoldpath_core.jobs import JobState, RecordedStart

from ._fleet import Fleet
from ._job_steps import finish_job
from ._run import Run, RunState
from ._work import Step, Task
from ._worker import Worker

# The blamed runs of this many workers are remembered, in case a worker turns out to be
# the same incarnation.
MAX_BLAMED_WORKERS = 256


def record_process_end(fleet: Fleet, worker: Worker, end_ms: float) -> None:
    """Blame the runs that were started shortly before the worker's process ended.

    A draining worker ends for another reason.
    """
    if worker.entry.draining:
        return
    for run in list(worker.runs.values()):
        age_ms = end_ms - run.started_ms
        if run.state is not RunState.PLANNED and age_ms <= _window_ms(fleet):
            _blame(fleet, run.task, run.number, worker.worker_id, worker.incarnation)


def record_lost_worker(fleet: Fleet, worker: Worker) -> None:
    """Blame the recorded start of a worker that left the directory without draining."""
    if worker.is_listed or worker.entry.draining:
        return
    for run in list(worker.runs.values()):
        start = run.task.recorded_start
        is_sent = run.state is not RunState.PLANNED
        if is_sent and start is not None and start.run == run.number:
            _blame(fleet, run.task, run.number, start.worker_id, start.incarnation)


def retract(fleet: Fleet, worker_id: str, incarnation: int) -> None:
    """Clear the runs that were blamed for the end of an incarnation that is alive."""
    for key, number in fleet.blamed_runs.pop((worker_id, incarnation), ()):
        task = fleet.task(key)
        if task is None or number not in task.crashed_runs:
            continue
        task.crashed_runs.discard(number)
        fleet.mark_dirty(task.step.job)
        fleet.log("crash_retracted", job=key.job_id, run=number, worker=worker_id)


def record_survival(fleet: Fleet, run: Run) -> None:
    """Forget a recorded start whose run is reported after `crash_window_ms`.

    A later end of its worker has another cause.
    """
    job = run.task.step.job
    start = run.task.recorded_start
    if start is None or start.run != run.number or job.state.is_final:
        return
    if fleet.now_ms - run.started_ms > _window_ms(fleet):
        run.task.recorded_start = None
        fleet.mark_dirty(job)


def must_record_start(fleet: Fleet, task: Task) -> bool:
    """Return whether a start of the task must be stored before it is sent.

    If a worker was lost together with the previous leader, any task of an earlier epoch
    may have been started there.
    """
    if is_suspect(task):
        return True
    job = task.step.job
    is_first_start = not task.number
    return (
        fleet.lost_worker_before_term
        and is_first_start
        and (job.accepted.epoch < fleet.epoch)
    )


def is_suspect(task: Task) -> bool:
    """Return whether a worker has crashed under the task."""
    return bool(_counted_task(task).crashed_runs)


def may_try_on(fleet: Fleet, task: Task, worker: Worker) -> bool:
    """Return whether a suspect may be started on the worker now.

    It may not if another suspect was started there so recently that it could be unclear
    which of them a crash is due to.
    """
    if not is_suspect(task):
        return True
    if any(_is_planned_for_other(task, run) for run in worker.runs.values()):
        return False
    return fleet.now_ms - worker.suspect_started_ms > _window_ms(fleet)


def settle_recorded_starts(fleet: Fleet, step: Step) -> bool:
    """Find out what became of the starts that an earlier leader recorded for a step.

    Return whether all are settled, so that the tasks may be started again.
    """
    if not step.has_unsettled_starts:
        return True
    for task in step.known_tasks:
        if task.recorded_start is None or task.run is not None or task.done:
            continue
        if not _settle(fleet, task, task.recorded_start) or step.job.state.is_final:
            return False
    step.has_unsettled_starts = False
    return True


def _settle(fleet: Fleet, task: Task, start: RecordedStart) -> bool:
    worker = fleet.workers.get(start.worker_id)
    if start.run not in _counted_task(task).crashed_runs | task.failed_runs:
        if worker is None or not worker.is_listed:
            if start.worker_id in fleet.unreported_workers:
                return False
            has_crashed = True
        elif worker.last_polled_ms is None:
            if start.worker_id in fleet.unreported_workers and not worker.is_gone:
                return False
            has_crashed = worker.is_gone
        else:
            has_crashed = worker.incarnation != start.incarnation
        if has_crashed:
            _blame(fleet, task, *start)
    task.recorded_start = None
    return True


def _blame(
    fleet: Fleet, task: Task, number: int, worker_id: str, incarnation: int
) -> None:
    job = task.step.job
    counted = _counted_task(task)
    if number in counted.crashed_runs or job.state.is_final:
        return
    counted.crashed_runs.add(number)
    fleet.mark_dirty(job)
    blamed = fleet.blamed_runs.setdefault((worker_id, incarnation), [])
    blamed.append((counted.key, number))
    if len(fleet.blamed_runs) > MAX_BLAMED_WORKERS:
        del fleet.blamed_runs[next(iter(fleet.blamed_runs))]
    crashes = len(counted.crashed_runs)
    fleet.log(
        "worker_crashed_under_task",
        job=job.spec.job_id,
        task=tuple(task.key[1:]),
        run=number,
        worker=worker_id,
        crashes=crashes,
    )
    if crashes >= fleet.settings.max_crashes:
        finish_job(fleet, job, JobState.FAILED, "workers crashed under a task")


def _counted_task(task: Task) -> Task:
    """Return the task that counts the crashes: the members of a gang share a count."""
    return task.step.task(0) if task.step.spec.gang else task


def _is_planned_for_other(task: Task, run: Run) -> bool:
    is_same_gang = task.step.spec.gang and run.task.step is task.step
    return run.state is RunState.PLANNED and not is_same_gang


def _window_ms(fleet: Fleet) -> int:
    return fleet.settings.crash_window_ms
