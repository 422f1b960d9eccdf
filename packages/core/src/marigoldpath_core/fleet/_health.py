"""Workers that fail or stall are taken out of use and probed again."""

from ._fleet import Fleet
from ._messages import TerminationReason
from ._work import Run, RunState
from ._worker import Worker


def note_end(fleet: Fleet, worker: Worker, run: Run, kind: TerminationReason) -> None:
    """Judge a worker by how a run ended."""
    if kind is TerminationReason.DONE:
        worker.failures.clear()
        worker.stalls = 0
        worker.is_on_probation = False
    elif kind is TerminationReason.FAILED:
        settings = fleet.settings
        oldest_ms = fleet.now_ms - settings.failure_window_ms
        worker.failures.append((fleet.now_ms, run.task.key.job_id))
        recent = [each for each in worker.failures if each[0] >= oldest_ms]
        worker.failures[:] = recent
        jobs = {job_id for _, job_id in recent}
        enough = len(recent) >= settings.quarantine_failures and len(jobs) > 1
        if enough or worker.is_on_probation:
            quarantine(fleet, worker, "failures of several jobs in a row")


def quarantine(fleet: Fleet, worker: Worker, reason: str) -> None:
    """Place nothing on the worker for a while, unless too many are out of use."""
    fleet_size = len(fleet.workers)
    out = sum(1 for each in fleet.workers.values() if _is_out(fleet, each))
    if _is_out(fleet, worker) or out >= fleet.settings.quarantine_share * fleet_size:
        return
    worker.quarantined_until_ms = fleet.now_ms + fleet.settings.quarantine_ms
    worker.is_on_probation = True
    worker.failures.clear()
    fleet.note("worker_quarantined", worker=worker.worker_id, reason=reason, out=out)


def stop_stalled_runs(fleet: Fleet) -> None:
    """Stop the runs that make no progress, so that they run elsewhere."""
    for worker in fleet.workers.values():
        if worker.is_silent:
            continue
        for run in list(worker.runs.values()):
            if _is_stalled(fleet, run):
                run.task.avoided.add(worker.worker_id)
                worker.stalls += 1
                fleet.stop(run, f"no progress at {run.percent} percent")
                if worker.stalls >= 2:
                    quarantine(fleet, worker, "runs make no progress")


def _is_stalled(fleet: Fleet, run: Run) -> bool:
    settings = fleet.settings
    spec = run.task.step.spec
    if run.state is not RunState.RUNNING or spec.fills or spec.gang or run.pace < 100:
        return False
    still_ms = fleet.now_ms - run.progressed_ms
    if spec.long_running:
        return run.percent < 100 and still_ms > settings.lasting_start_ms
    if run.still_reports < settings.stall_reports:
        return False
    # The percentage of a long task rises slowly by itself.
    return still_ms > settings.stall_ms + spec.estimate_ms / 20


def _is_out(fleet: Fleet, worker: Worker) -> bool:
    return fleet.now_ms < worker.quarantined_until_ms
