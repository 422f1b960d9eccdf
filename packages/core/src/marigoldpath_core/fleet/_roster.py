"""The roster: the stored list of workers that may run tasks.

The next leader waits for the workers on it before it starts earlier jobs again.
"""

from ._fleet import Fleet
from ._messages import RosterEntry
from ._worker import Worker


def update_roster(fleet: Fleet) -> None:
    """Update the roster to the current state of the workers.

    An entry with `jobs` None allows any start once it is stored. The entry of a worker
    that gets no starts, because it is unresponsive or draining, lists the jobs that may
    run there instead.
    """
    for worker in fleet.workers.values():
        if worker.last_report_ms is None:
            # The entry of the previous leader stays valid until the worker reports.
            continue
        current = fleet.roster.get(worker.worker_id)
        required = _required_entry(worker, current)
        if required == current:
            continue
        if required is None:
            del fleet.roster[worker.worker_id]
        else:
            fleet.roster[worker.worker_id] = required
        fleet.roster_dirty = fleet.needs_commit = True


def remove_from_roster(fleet: Fleet, worker_id: str) -> None:
    """Remove a worker that can no longer run any task."""
    if fleet.roster.pop(worker_id, None) is not None:
        fleet.roster_dirty = fleet.needs_commit = True


def _required_entry(worker: Worker, current: RosterEntry | None) -> RosterEntry | None:
    address, zone = worker.entry.address, worker.entry.zone
    if worker.is_listed and not worker.is_unresponsive and not worker.entry.draining:
        return RosterEntry(address, None, zone)
    jobs = {run.task.key.job_id for run in worker.runs.values()}
    if not jobs:
        return None
    if current is not None and current.jobs is not None and jobs <= set(current.jobs):
        return current
    return RosterEntry(address, tuple(sorted(jobs)), zone)
