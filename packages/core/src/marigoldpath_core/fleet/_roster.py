"""The roster: the stored list of the workers on which tasks could be running.

The next leader waits for the reports of these workers, or for their leases to expire,
before it starts tasks of jobs of earlier epochs. Otherwise it could run a task twice.
"""

import math

from ._fleet import Fleet
from ._messages import RosterEntry
from ._worker import Worker


def update_roster(fleet: Fleet) -> None:
    """Update the roster to the current state of the workers.

    An entry with `jobs` None allows starts of any job once it is stored. A worker that
    is unresponsive, draining or no longer listed gets no new starts. Its entry lists
    the jobs that could still be running there, and is removed if there are none.
    """
    for worker in fleet.workers.values():
        is_unreported = worker.worker_id in fleet.unreported_workers
        if worker.last_polled_ms is None or is_unreported:
            # Until the worker reports, only the entry of the previous leader states
            # which jobs could be running there.
            continue
        current = fleet.roster.get(worker.worker_id)
        if current is not None and _is_open_as_required(worker, current):
            continue
        required = _required_entry(worker, current)
        if required == current:
            continue
        if required is None:
            remove_from_roster(fleet, worker.worker_id, "no run is known there")
        else:
            fleet.roster[worker.worker_id] = required
            fleet.roster_dirty = fleet.needs_commit = True


def mark_unleased(fleet: Fleet) -> None:
    """Record in the roster that this leader has not granted a lease to some workers.

    These are the ones that have never reported to it. The next leader then counts only
    what earlier ones granted, and does not begin its wait anew. A worker that reports
    gets leases again once its entry is stored without the mark.
    """
    if fleet.now_ms - fleet.earlier_leaders.began_ms < fleet.settings.unleased_mark_ms:
        return
    for worker_id, entry in fleet.unreported_workers.items():
        worker = fleet.workers.get(worker_id)
        has_reported = worker is not None and worker.last_polled_ms is not None
        if entry.unleased_since or has_reported or worker_id not in fleet.roster:
            continue
        marked = entry._replace(unleased_since=fleet.epoch)
        fleet.roster[worker_id] = fleet.unreported_workers[worker_id] = marked
        fleet.roster_dirty = fleet.needs_commit = True


def require_report(fleet: Fleet, worker: Worker) -> None:
    """Wait for a report of a worker on which tasks of earlier leaders could begin."""
    entry = RosterEntry(worker.entry.address, None, worker.entry.zone)
    fleet.unreported_workers[worker.worker_id] = entry
    if fleet.roster.get(worker.worker_id) != entry:
        fleet.roster[worker.worker_id] = entry
        fleet.roster_dirty = fleet.needs_commit = True


def remove_from_roster(fleet: Fleet, worker_id: str, reason: str) -> None:
    """Remove a worker on which no task can be running any more."""
    if fleet.roster.pop(worker_id, None) is None:
        return
    fleet.roster_dirty = fleet.needs_commit = True
    _log_removal(fleet, worker_id, reason)


def _log_removal(fleet: Fleet, worker_id: str, reason: str) -> None:
    """Log a removal, and the leases that could show that it came too early.

    `lease_ms` is left of the worker's lease by this leader, None if it granted none,
    and `previous_lease_ms` of those by earlier leaders, None if that is not known or if
    the worker has reported to this leader.
    """
    worker = fleet.workers.get(worker_id)
    lease_ms = previous_lease_ms = None
    if worker is not None and worker.lease_expiry_ms:
        lease_ms = round(worker.lease_expiry_ms - fleet.now_ms)
    expires_ms = fleet.previous_lease_expires_ms(worker_id)
    if worker_id in fleet.unreported_workers and math.isfinite(expires_ms):
        previous_lease_ms = round(expires_ms - fleet.now_ms)
    fleet.log(
        "roster_entry_removed",
        worker=worker_id,
        reason=reason,
        has_reported=worker_id not in fleet.unreported_workers,
        lease_ms=lease_ms,
        previous_lease_ms=previous_lease_ms,
    )


def _may_get_starts(worker: Worker) -> bool:
    return worker.is_listed and not worker.is_unresponsive and not worker.entry.draining


def _is_open_as_required(worker: Worker, current: RosterEntry) -> bool:
    """Return whether an entry that allows starts of any job needs no change."""
    entry = worker.entry
    return (
        current.jobs is None
        and not current.unleased_since
        and current.address == entry.address
        and current.zone == entry.zone
        and _may_get_starts(worker)
    )


def _required_entry(worker: Worker, current: RosterEntry | None) -> RosterEntry | None:
    address, zone = worker.entry.address, worker.entry.zone
    if _may_get_starts(worker):
        return RosterEntry(address, None, zone)
    if worker.last_applied_termination > worker.last_stored_termination:
        # A commit has the whole roster but not all progress, so the next leader could
        # read neither the worker nor that its tasks are done.
        return None if current is None else current._replace(unleased_since=0)
    jobs = _jobs_on(worker)
    if not jobs:
        return None
    if current is not None and current.jobs is not None and jobs <= set(current.jobs):
        return current._replace(unleased_since=0)
    return RosterEntry(address, tuple(sorted(jobs)), zone)


def _jobs_on(worker: Worker) -> set[str]:
    """Return the jobs of all runs on a worker, also of those it should not have.

    A job that this leader has not read is known to its successor, and so is one of
    which it stops a run there.
    """
    jobs = {run.task.key.job_id for run in worker.runs.values()}
    jobs.update(worker.unknown_jobs)
    jobs.update(key.job_id for key, _ in worker.orphaned_runs)
    return jobs
