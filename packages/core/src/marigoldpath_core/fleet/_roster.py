"""The stored list of workers that may run something a successor does not know."""

from ._fleet import Fleet
from ._messages import RosterEntry
from ._worker import Worker


def update_roster(fleet: Fleet) -> None:
    """Bring the roster up to date with what is believed of the workers.

    An open entry allows starts once it is stored. A worker that gets none for now, as
    it is silent or leaving, has the jobs that may run there instead.
    """
    for worker in fleet.workers.values():
        if worker.heard_ms is None:
            # What an earlier leader stored of it holds until it answers.
            continue
        current = fleet.roster.get(worker.worker_id)
        wanted = _wanted(worker, current)
        if wanted == current:
            continue
        if wanted is None:
            del fleet.roster[worker.worker_id]
        else:
            fleet.roster[worker.worker_id] = wanted
        fleet.roster_dirty = fleet.needs_commit = True


def drop_from_roster(fleet: Fleet, worker_id: str) -> None:
    """Forget a worker that can run nothing any more."""
    if fleet.roster.pop(worker_id, None) is not None:
        fleet.roster_dirty = fleet.needs_commit = True


def _wanted(worker: Worker, current: RosterEntry | None) -> RosterEntry | None:
    address, zone = worker.entry.address, worker.entry.zone
    if worker.is_listed and not worker.is_silent and not worker.entry.draining:
        return RosterEntry(address, None, zone)
    jobs = {run.task.key.job_id for run in worker.runs.values()}
    if not jobs:
        return None
    if current is not None and current.jobs is not None and jobs <= set(current.jobs):
        return current
    return RosterEntry(address, tuple(sorted(jobs)), zone)
