"""Pauses fillers while a task on the same worker misses its response time target.

Fillers are best-effort tasks that use spare processor time.
"""

from ._fleet import Fleet
from ._messages import ThrottleRun
from ._run import Run, RunState
from ._worker import Worker


def throttle_fillers(fleet: Fleet) -> None:
    """Pause the fillers of workers on which a task misses its target.

    They resume after response times have been well below the targets for a while.
    """
    for worker in fleet.workers.values():
        if not worker.has_fillers or worker.is_unresponsive:
            continue
        fillers = [run for run in worker.runs.values() if run.task.step.spec.fills]
        _throttle(fleet, worker, fillers)


def _throttle(fleet: Fleet, worker: Worker, fillers: list[Run]) -> None:
    settings = fleet.settings
    now_ms = fleet.now_ms
    target_ratio = _highest_target_ratio(worker)
    if target_ratio >= 1.0:
        worker.under_target_since_ms = None
        if worker.over_target_since_ms is None:
            worker.over_target_since_ms = now_ms
        if now_ms - worker.over_target_since_ms >= settings.throttle_delay_ms:
            _set_speed(fleet, worker, fillers, 0)
        return
    worker.over_target_since_ms = None
    if target_ratio > settings.throttle_release_ratio:
        worker.under_target_since_ms = None
        return
    if worker.under_target_since_ms is None:
        worker.under_target_since_ms = now_ms
    if (
        not target_ratio
        or now_ms - worker.under_target_since_ms >= settings.throttle_release_ms
    ):
        _set_speed(fleet, worker, fillers, 100)


def _highest_target_ratio(worker: Worker) -> float:
    """Return the highest ratio of tail response time to target on the worker."""
    ratios = [
        run.load / run.task.step.spec.target_ms
        for run in worker.runs.values()
        if run.task.step.spec.target_ms and run.state is RunState.RUNNING
    ]
    return max(ratios, default=0.0)


def _set_speed(fleet: Fleet, worker: Worker, fillers: list[Run], percent: int) -> None:
    for run in fillers:
        if run.speed_percent == percent or run.state is not RunState.RUNNING:
            continue
        run.speed_percent = percent
        fleet.emit(
            ThrottleRun(
                worker.worker_id,
                worker.entry.address,
                run.task.key,
                run.number,
                percent,
                worker.restarts,
            )
        )
        fleet.log(
            "filler_paced",
            job=run.task.key.job_id,
            worker=worker.worker_id,
            percent=percent,
            load_share=round(_highest_target_ratio(worker), 2),
        )
