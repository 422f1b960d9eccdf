"""Quarantines workers whose runs fail or stall, and readmits them on probation."""

from ._fleet import Fleet
from ._messages import TerminationReason
from ._pools import may_become_candidate
from ._run import Run, RunState
from ._work import Task
from ._worker import Worker

# A quarantine does not end earlier for a task that has no other worker.
MIN_QUARANTINE_MS = 500


def record_termination(
    fleet: Fleet, worker: Worker, run: Run, kind: TerminationReason
) -> None:
    """Record a run's success or failure on its worker, and quarantine it if needed."""
    image = run.task.step.spec.image
    if kind is TerminationReason.DONE:
        fleet.failing_images.record_done(image)
        worker.last_done_ms = fleet.now_ms
        worker.failures.clear()
        worker.stall_count = 0
        worker.is_on_probation = False
    elif kind is TerminationReason.FAILED:
        if fleet.failing_images.record_failure(image, worker.worker_id):
            _forget_failures(fleet, image)
        if not fleet.failing_images.includes(image):
            _record_failure(fleet, worker, run)


def _record_failure(fleet: Fleet, worker: Worker, run: Run) -> None:
    settings = fleet.settings
    oldest_ms = fleet.now_ms - settings.failure_window_ms
    step = run.task.step
    worker.failures.append((fleet.now_ms, step.job.spec.job_id, step.spec.image))
    recent = [each for each in worker.failures if each[0] >= oldest_ms]
    worker.failures[:] = recent
    jobs = {job_id for _, job_id, _ in recent}
    has_repeated_failures = (
        len(recent) >= settings.quarantine_failures and len(jobs) > 1
    )
    if has_repeated_failures or worker.is_on_probation:
        quarantine(fleet, worker, "failures of several jobs in a row")


def _forget_failures(fleet: Fleet, image: str) -> None:
    """Remove the failures of an image that fails on every worker from the workers."""
    fleet.log("image_failing", image=image)
    for worker in fleet.workers.values():
        worker.failures[:] = [each for each in worker.failures if each[2] != image]


def quarantine(fleet: Fleet, worker: Worker, reason: str) -> None:
    """Exclude the worker from placement for `quarantine_ms`.

    Does nothing if the worker is quarantined, or if at least `max_quarantined_fraction`
    of the workers are.
    """
    fleet_size = len(fleet.workers)
    quarantined = sum(
        1 for each in fleet.workers.values() if _is_quarantined(fleet, each)
    )
    if (
        _is_quarantined(fleet, worker)
        or quarantined >= fleet.settings.max_quarantined_fraction * fleet_size
    ):
        return
    worker.quarantined_ms = fleet.now_ms
    worker.quarantined_until_ms = fleet.now_ms + fleet.settings.quarantine_ms
    worker.is_on_probation = True
    worker.failures.clear()
    fleet.log(
        "worker_quarantined", worker=worker.worker_id, reason=reason, out=quarantined
    )


def end_quarantine_for(fleet: Fleet, task: Task) -> None:
    """End the quarantine of a worker with room for a task that has no other worker.

    At most one worker is released. It stays on probation.
    """
    step = task.step
    for worker in fleet.workers.values():
        if (
            not _is_quarantined(fleet, worker)
            or fleet.now_ms - worker.quarantined_ms < MIN_QUARANTINE_MS
            or not worker.fits(step.need)
            or not may_become_candidate(step, worker)
        ):
            continue
        worker.quarantined_until_ms = fleet.now_ms
        fleet.pools_outdated = fleet.needs_dispatch = True
        fleet.log(
            "quarantine_ended_early",
            worker=worker.worker_id,
            job=step.job.spec.job_id,
        )
        return


def stop_stalled_runs(fleet: Fleet) -> None:
    """Stop the runs that make no progress, so that their tasks can run elsewhere."""
    for worker in fleet.workers.values():
        if worker.is_unresponsive:
            continue
        for run in list(worker.runs.values()):
            if _is_stalled(fleet, worker, run):
                run.task.avoided_workers.add(worker.worker_id)
                worker.stall_count += 1
                fleet.stop(run, f"no progress at {run.percent} percent")
                if worker.stall_count >= 2:
                    quarantine(fleet, worker, "runs make no progress")


def _is_stalled(fleet: Fleet, worker: Worker, run: Run) -> bool:
    """Return whether the reports of a worker show a run without progress.

    The time between the reports is measured on the worker's clock, so a leader that
    was suspended or gets reports late does not take that for a stall.
    """
    settings = fleet.settings
    spec = run.task.step.spec
    if (
        run.state is not RunState.RUNNING
        or spec.fills
        or spec.gang
        or run.speed_percent < 100
        or run.unchanged_reports < settings.stall_reports
    ):
        return False
    stalled_ms = worker.clock_ms - run.progress_clock_ms
    if spec.long_running:
        return run.percent < 100 and stalled_ms > settings.long_running_startup_ms
    # The percentage of a long task rises slowly even without a stall.
    return stalled_ms > settings.stall_ms + spec.estimate_ms / 20


def _is_quarantined(fleet: Fleet, worker: Worker) -> bool:
    return fleet.now_ms < worker.quarantined_until_ms
