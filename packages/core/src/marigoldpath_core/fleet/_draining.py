"""Evicts runs from draining workers."""

from ._fleet import Fleet
from ._run import Run, RunState
from ._worker import Worker


def evict_from_draining_workers(fleet: Fleet) -> None:
    """Stop the runs that would not complete before their draining worker is removed."""
    for worker in fleet.workers.values():
        if worker.entry.draining and worker.drain_observed_ms is not None:
            remaining_ms = worker.entry.remaining_ms - (
                fleet.now_ms - worker.drain_observed_ms
            )
            for run in list(worker.runs.values()):
                if run.state is RunState.RUNNING and _must_evict(
                    fleet, worker, run, remaining_ms
                ):
                    fleet.stop(
                        run, f"the worker is removed in {round(remaining_ms)} ms"
                    )


def _must_evict(fleet: Fleet, worker: Worker, run: Run, remaining_ms: float) -> bool:
    spec = run.task.step.spec
    if spec.long_running:
        return True
    work_ms = spec.estimate_ms * (1 - run.percent / 100)
    if work_ms <= remaining_ms:
        return False
    # A run that can save a checkpoint is stopped as late as possible, because it loses
    # the work that it does after the checkpoint.
    return not spec.checkpointable or remaining_ms <= fleet.settings.drain_margin_ms
