"""Moves work away from workers that are leaving."""

from ._fleet import Fleet
from ._work import Run, RunState
from ._worker import Worker


def evacuate(fleet: Fleet) -> None:
    """Stop the runs of leaving workers that would not end in time."""
    for worker in fleet.workers.values():
        if worker.entry.draining and worker.drain_read_ms is not None:
            left_ms = worker.entry.remaining_ms - (fleet.now_ms - worker.drain_read_ms)
            for run in list(worker.runs.values()):
                if run.state is RunState.RUNNING and _must_move(
                    fleet, worker, run, left_ms
                ):
                    fleet.stop(run, f"the worker leaves in {round(left_ms)} ms")


def _must_move(fleet: Fleet, worker: Worker, run: Run, left_ms: float) -> bool:
    spec = run.task.step.spec
    if spec.long_running:
        return True
    work_ms = spec.estimate_ms * (1 - run.percent / 100)
    if work_ms <= left_ms:
        return False
    # A checkpoint taken as late as possible keeps the most work.
    return not spec.checkpointable or left_ms <= fleet.settings.leaving_margin_ms
