"""Applies the reports of workers, and expires leases."""

import math

from marigoldpath_core.jobs import JobState, TaskKey

from ._adoption import adopt, may_still_load
from ._crashes import (
    record_lost_worker,
    record_process_end,
    record_survival,
    retract,
)
from ._directory import remove_if_gone
from ._fleet import Fleet, handlers
from ._incarnations import begin_incarnation, begin_reports, settle_restart
from ._majority import has_reported_majority
from ._messages import (
    RunningTask,
    WorkerReport,
    WorkerUnresponsive,
)
from ._quotas import find_stray
from ._roster import remove_from_roster
from ._run import Run, RunState
from ._terminations import apply_termination
from ._worker import Worker

# A worker refuses a start after the start's time limit. A report from more than this
# time later on the worker's clock proves whether the run was started.
REFUSAL_MARGIN_MS = 50


@handlers.register(WorkerReport)
def apply_report(fleet: Fleet, event: WorkerReport) -> None:
    """Apply the runs and terminations in a worker's report."""
    worker = fleet.workers.get(event.worker_id)
    if worker is None or event.incarnation < worker.incarnation:
        return
    if not worker.is_unresponsive or event.polled_ms > worker.silent_since_ms:
        retract(fleet, event.worker_id, event.incarnation)
    if event.incarnation > worker.incarnation:
        begin_incarnation(fleet, worker, event.incarnation, event.polled_ms)
    if worker.is_unresponsive or worker.last_polled_ms is None:
        fleet.needs_dispatch = fleet.pools_outdated = True
    if worker.is_unresponsive:
        _restart_stall_checks(worker, event.clock_ms)
    if worker.last_polled_ms is None:
        begin_reports(fleet, worker)
    worker.last_polled_ms = max(event.polled_ms, worker.last_polled_ms or 0.0)
    worker.is_unresponsive = worker.is_gone = False
    fleet.unreported_workers.pop(event.worker_id, None)
    _record_majority(fleet)
    if not worker.is_restart_settled and event.restarts == worker.restarts:
        settle_restart(fleet, worker, event.clock_ms)
    is_newest = event.clock_ms >= worker.clock_ms
    if is_newest:
        worker.clock_ms, worker.clock_read_ms = event.clock_ms, fleet.now_ms
        fleet.record_unknown_jobs(worker, _reported_jobs(worker, event))
    all_applied = _apply_terminations(fleet, worker, event)
    if is_newest:
        _apply_running(fleet, worker, event, all_applied)


@handlers.register(WorkerUnresponsive)
def mark_unresponsive(fleet: Fleet, event: WorkerUnresponsive) -> None:
    """Exclude a worker from placement until it replies again."""
    worker = fleet.workers.get(event.worker_id)
    if worker is None:
        return
    if not worker.is_unresponsive:
        worker.silent_since_ms = fleet.now_ms
        fleet.log(
            "worker_silent",
            worker=worker.worker_id,
            runs=len(worker.runs),
            reason=event.reason,
        )
    worker.is_unresponsive = True
    if event.is_gone and not worker.is_gone:
        worker.is_gone = True
        _log_process_end(fleet, worker)
        record_process_end(fleet, worker, worker.silent_since_ms)
        if worker.worker_id in fleet.unreported_workers:
            fleet.lost_worker_before_term = True


def _log_process_end(fleet: Fleet, worker: Worker) -> None:
    ages_ms = [
        round(worker.silent_since_ms - run.started_ms)
        for run in worker.runs.values()
        if run.started_ms > -math.inf
    ]
    fleet.log(
        "worker_process_ended",
        worker=worker.worker_id,
        runs=len(worker.runs),
        youngest_run_ms=min(ages_ms, default=None),
    )


def expire_leases(fleet: Fleet) -> None:
    """Release the runs of unresponsive workers whose lease has certainly expired.

    The expiry includes the drift of the worker's clock. Also stop waiting for workers
    that have not reported, once all leases of previous leaders have expired.
    """
    for worker in list(fleet.workers.values()):
        if worker.is_unresponsive and fleet.now_ms > worker.lease_expiry_ms:
            release_runs(fleet, worker, "the worker's lease has expired")
        if not worker.is_listed:
            remove_if_gone(fleet, worker)
    _give_up_unreported_workers(fleet)


def _give_up_unreported_workers(fleet: Fleet) -> None:
    """Stop waiting for workers on which all leases of previous leaders have expired."""
    given_up = [
        worker_id
        for worker_id in fleet.unreported_workers
        if fleet.now_ms > fleet.previous_lease_expires_ms(worker_id)
    ]
    if not given_up:
        return
    fleet.log("unheard_workers_given_up", workers=sorted(given_up))
    for worker_id in given_up:
        remove_from_roster(fleet, worker_id, "leases of earlier leaders have expired")
        del fleet.unreported_workers[worker_id]
    fleet.needs_dispatch = True


def retry_stops(fleet: Fleet) -> None:
    """Repeat the stops of runs that have not terminated after `retry_stop_ms`.

    Those of a worker that does not reply would only queue up. They are repeated once it
    replies again.
    """
    for worker in fleet.workers.values():
        if worker.is_unresponsive:
            continue
        for run in worker.runs.values():
            if run.state is RunState.STOPPING and fleet.is_stop_overdue(run):
                fleet.stop(run, "repeated")


def release_runs(fleet: Fleet, worker: Worker, reason: str) -> None:
    """Release all runs of a worker, so that their tasks wait for a new start."""
    if worker.runs:
        fleet.log(
            "runs_lost", worker=worker.worker_id, runs=len(worker.runs), reason=reason
        )
    record_lost_worker(fleet, worker)
    for run in list(worker.runs.values()):
        fleet.release(run)
    worker.orphaned_runs.clear()
    fleet.usage.replace_strays(worker.worker_id, ())
    fleet.record_unknown_jobs(worker, set())


def _restart_stall_checks(worker: Worker, clock_ms: int) -> None:
    """Count the time without progress anew for a worker that was silent.

    Its machine may have been suspended, together with its runs. So the durations of
    these runs are not measured.
    """
    for run in worker.runs.values():
        run.restart_stall_check(clock_ms)
        # It may have ended long before this report.
        run.began_clock_ms = None


def _record_majority(fleet: Fleet) -> None:
    """Record the time when a majority of the workers has reported."""
    earlier_leaders = fleet.earlier_leaders
    if earlier_leaders.majority_reported_ms is not None:
        return
    if has_reported_majority(fleet):
        earlier_leaders.majority_reported_ms = fleet.now_ms
        fleet.log(
            "unheard_workers",
            workers=sorted(fleet.unreported_workers),
            wait_ms=round(fleet.previous_leases_expire_ms - fleet.now_ms),
        )


def _apply_terminations(fleet: Fleet, worker: Worker, event: WorkerReport) -> bool:
    """Apply the new terminations in a report; return whether all were applied.

    If a job is not known and this leader could still read it from the store, the
    termination of its run is deferred. That termination and all later ones stay
    unacknowledged. Later ones whose job is known are applied nevertheless, because
    their tasks would be started again otherwise.
    """
    all_applied = True
    for terminated in sorted(event.ended):
        if terminated.number <= worker.last_applied_termination:
            continue
        if terminated.number not in worker.applied_out_of_order:
            if may_still_load(fleet, worker, terminated.task.job_id):
                all_applied = False
                continue
            apply_termination(fleet, worker, terminated)
            worker.applied_out_of_order.add(terminated.number)
        if all_applied:
            worker.applied_out_of_order.discard(terminated.number)
            worker.last_applied_termination = terminated.number
            fleet.needs_commit = True
    return all_applied


def _apply_running(
    fleet: Fleet, worker: Worker, event: WorkerReport, all_applied: bool
) -> None:
    listed = set()
    orphaned_runs: dict[tuple[TaskKey, int], float] = {}
    for row in event.running:
        run = worker.runs.get(row.task)
        if run is None or run.number != row.run:
            run = adopt(fleet, worker, row, orphaned_runs)
        if run is not None:
            listed.add(row.task)
            _update_run(fleet, run, row, event.clock_ms)
    if worker.orphaned_runs and not orphaned_runs:
        fleet.pools_outdated = True
    worker.orphaned_runs = orphaned_runs
    _count_strays(fleet, worker)
    if not all_applied:
        return
    for run in list(worker.runs.values()):
        if run.task.key not in listed and _is_absent(run, event.clock_ms):
            fleet.log(
                "run_absent",
                job=run.task.key.job_id,
                task=tuple(run.task.key[1:]),
                run=run.number,
                worker=worker.worker_id,
            )
            fleet.abandon(run)


def _count_strays(fleet: Fleet, worker: Worker) -> None:
    """Count the orphaned runs of a worker, which have no resources allocated."""
    strays = [
        find_stray(fleet, worker, key, may_still_load(fleet, worker, key.job_id))
        for key, _ in worker.orphaned_runs
    ]
    fleet.usage.replace_strays(
        worker.worker_id, tuple(each for each in strays if each is not None)
    )


def _is_absent(run: Run, clock_ms: int) -> bool:
    if run.state is RunState.PLANNED:
        return False
    if run.confirmed_clock_ms is not None:
        return clock_ms > run.confirmed_clock_ms
    if run.until_clock_ms is None:
        return False
    return clock_ms > run.until_clock_ms + REFUSAL_MARGIN_MS


def _update_run(fleet: Fleet, run: Run, row: RunningTask, clock_ms: int) -> None:
    task = run.task
    run.confirmed_clock_ms = clock_ms
    run.was_reported = True
    if run.measured_from_clock_ms is None:
        run.measured_from_clock_ms = clock_ms
        run.measured_from_percent = row.percent
    if fleet.proves_not_done(run):
        task.step.seen_running = True
    run.load = row.load
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
    if row.percent == run.percent:
        run.unchanged_reports += 1
    else:
        run.restart_stall_check(clock_ms)
    run.percent = row.percent
    # A run that is behind the other run of the task has the older checkpoint.
    if row.checkpoint and all(row.percent >= each.percent for each in task.runs):
        task.checkpoint = row.checkpoint
    if task.recorded_start is not None:
        record_survival(fleet, run)
    mark_started(task.step.job)


def mark_started(job) -> None:
    """Record that a task of the job has started."""
    job.has_started = True
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING


def _reported_jobs(worker: Worker, event: WorkerReport) -> set[str]:
    """Return the jobs of the running tasks and new terminations in a report."""
    job_ids = {row.task.job_id for row in event.running}
    job_ids.update(
        terminated.task.job_id
        for terminated in event.ended
        if terminated.number > worker.last_applied_termination
    )
    return job_ids
