"""Applies the directory's entries, and ignores those that name no worker of the cell.

Other programs write to the directory as well. Their number has no limit, and they say
nothing about this cell: a leader does not poll them, and they count neither for its
majority nor as capacity.
"""

from collections import Counter

from ._directory_state import IgnoredEntries
from ._fleet import Fleet, handlers
from ._incarnations import begin_incarnation
from ._messages import WorkerEntry, WorkersListed
from ._roster import remove_from_roster
from ._worker import Worker

# Other programs change their entries as they like, so a change is logged at most once
# in this time.
IGNORED_LOG_INTERVAL_MS = 10_000
# A log line names this many services, and this many characters of a name.
MAX_LOGGED_SERVICES = 5
MAX_SERVICE_CHARACTERS = 64


@handlers.register(WorkersListed)
def apply_worker_list(fleet: Fleet, event: WorkersListed) -> None:
    """Add, update and remove workers after the directory was read."""
    listed = set()
    ignored: Counter[str] = Counter()
    services = _used_services(fleet, event.entries)
    for entry in event.entries:
        worker = fleet.workers.get(entry.worker_id)
        if entry.service not in services and not _may_run_tasks(fleet, worker, entry):
            ignored[entry.service[:MAX_SERVICE_CHARACTERS]] += 1
            continue
        listed.add(entry.worker_id)
        _apply_entry(fleet, worker, entry)
    _record_ignored(fleet, ignored)
    if not fleet.unreported_workers.keys() <= listed:
        fleet.lost_worker_before_term = True
    for worker in list(fleet.workers.values()):
        if worker.worker_id not in listed:
            worker.is_listed = False
            remove_if_gone(fleet, worker)


def _used_services(fleet: Fleet, entries: tuple[WorkerEntry, ...]) -> set[str]:
    """Return the services whose workers the cell uses.

    Until the configuration is known, these are the services of the workers in the
    roster and of the stored jobs. If there are neither, nothing was ever started, and
    all entries may be of workers.
    """
    directory = fleet.directory
    if directory.configured_services is not None:
        return directory.configured_services | directory.job_services
    rostered = {each.service for each in entries if _is_rostered(fleet, each)}
    services = rostered | directory.job_services
    return services or {each.service for each in entries}


def _is_rostered(fleet: Fleet, entry: WorkerEntry) -> bool:
    stored = fleet.roster.get(entry.worker_id)
    return stored is not None and stored.address == entry.address


def _may_run_tasks(fleet: Fleet, worker: Worker | None, entry: WorkerEntry) -> bool:
    """Return whether tasks of the cell may run on a worker of a service it has dropped.

    Another service under the id of a worker that is known shows that another program
    has replaced its entry.
    """
    if worker is None:
        return _is_rostered(fleet, entry)
    is_used = worker.worker_id in fleet.roster or bool(worker.runs)
    return is_used and entry.service == worker.entry.service


def _apply_entry(fleet: Fleet, worker: Worker | None, entry: WorkerEntry) -> None:
    if worker is None:
        worker = fleet.workers[entry.worker_id] = Worker(entry, fleet.usage)
        # The fencing token must rise, also for a worker that was only cut off.
        restarts = fleet.directory.removed_restarts.pop(entry.worker_id, -1)
        worker.restarts = restarts + 1
        fleet.log("worker_listed", worker=entry.worker_id, zone=entry.zone)
    elif entry.draining and not worker.entry.draining:
        fleet.log("worker_draining", worker=entry.worker_id)
    worker.update_entry(entry, fleet.now_ms)
    fleet.pools_outdated = True
    if entry.draining:
        worker.drain_observed_ms = fleet.now_ms
    if worker.incarnation and entry.incarnation > worker.incarnation:
        begin_incarnation(fleet, worker, entry.incarnation, None)


def _record_ignored(fleet: Fleet, services: Counter[str]) -> None:
    """Record the entries that were ignored, and log changes of them now and then."""
    directory = fleet.directory
    by_service = tuple(services.most_common(MAX_LOGGED_SERVICES))
    directory.ignored = IgnoredEntries(services.total(), by_service)
    if (
        directory.ignored == directory.logged
        or fleet.now_ms - directory.logged_ms < IGNORED_LOG_INTERVAL_MS
    ):
        return
    directory.logged, directory.logged_ms = directory.ignored, fleet.now_ms
    fleet.log(
        "directory_entries_ignored",
        count=directory.ignored.total,
        by_service=dict(by_service),
        configured_services=len(directory.configured_services or ()),
    )


def remove_if_gone(fleet: Fleet, worker: Worker) -> None:
    """Remove an unlisted worker on which no lease of any leader can be valid.

    This leader knows only the leases that it granted itself. A worker that has not
    reported to it may hold one of an earlier leader.
    """
    if (
        worker.runs
        or not worker.is_unresponsive
        or fleet.now_ms < worker.lease_expiry_ms
        or worker.worker_id in fleet.unreported_workers
    ):
        return
    fleet.usage.replace_strays(worker.worker_id, ())
    fleet.record_unknown_jobs(worker, set())
    fleet.speeds.forget_worker(worker)
    remove_from_roster(fleet, worker.worker_id, "the worker is gone")
    del fleet.workers[worker.worker_id]
    fleet.directory.removed_restarts[worker.worker_id] = worker.restarts
    fleet.log("worker_gone", worker=worker.worker_id)
