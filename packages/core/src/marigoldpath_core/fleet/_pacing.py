"""Slows fillers down while the tasks that serve beside them miss their target."""

from ._fleet import Fleet
from ._messages import ThrottleRun
from ._work import Run, RunState
from ._worker import Worker


def pace_fillers(fleet: Fleet) -> None:
    """Pause fillers beside tasks over their target, and resume them afterwards."""
    for worker in fleet.workers.values():
        fillers = [run for run in worker.runs.values() if run.task.step.spec.fills]
        if fillers and not worker.is_silent:
            _pace(fleet, worker, fillers)


def _pace(fleet: Fleet, worker: Worker, fillers: list[Run]) -> None:
    settings = fleet.settings
    now_ms = fleet.now_ms
    tightest = _tightest(worker)
    if tightest >= 1.0:
        worker.under_target_ms = None
        if worker.over_target_ms is None:
            worker.over_target_ms = now_ms
        if now_ms - worker.over_target_ms >= settings.pace_settle_ms:
            _set_pace(fleet, worker, fillers, 0)
        return
    worker.over_target_ms = None
    if tightest > settings.pace_restore_share:
        worker.under_target_ms = None
        return
    if worker.under_target_ms is None:
        worker.under_target_ms = now_ms
    if not tightest or now_ms - worker.under_target_ms >= settings.pace_restore_ms:
        _set_pace(fleet, worker, fillers, 100)


def _tightest(worker: Worker) -> float:
    """Return the highest tail of a serving task as a share of its target."""
    shares = [
        run.load / run.task.step.spec.target_ms
        for run in worker.runs.values()
        if run.task.step.spec.target_ms and run.state is RunState.RUNNING
    ]
    return max(shares, default=0.0)


def _set_pace(fleet: Fleet, worker: Worker, fillers: list[Run], percent: int) -> None:
    for run in fillers:
        if run.pace == percent or run.state is not RunState.RUNNING:
            continue
        run.pace = percent
        fleet.emit(
            ThrottleRun(
                worker.worker_id,
                worker.entry.address,
                run.task.key,
                run.number,
                percent,
            )
        )
        fleet.note(
            "filler_paced",
            job=run.task.key.job_id,
            worker=worker.worker_id,
            percent=percent,
            load_share=round(_tightest(worker), 2),
        )
