"""Handles the restarts of workers, which keep their ids.

The next incarnation of a worker has seen no fencing token. It may execute commands that
were meant for the one before, whose time limits are on another clock.
"""

import math

from ._crashes import record_process_end
from ._fleet import Fleet
from ._roster import require_report
from ._worker import Worker

# An incarnation of a worker that began so recently may follow one that ended together
# with the previous leader.
NEW_INCARNATION_MS = 30_000


def begin_reports(fleet: Fleet, worker: Worker) -> None:
    """Record what a previous leader may have left on a worker that reports now.

    It could have renewed the lease until this leader's poll made the worker refuse
    commands of earlier epochs. A new incarnation may have executed a renewal that was
    meant for the one before, and grants the longest lease then.
    """
    settings = fleet.settings
    age_ms = fleet.wall_ms - worker.incarnation
    is_new = bool(fleet.wall_ms) and age_ms < NEW_INCARNATION_MS
    if is_new and worker.worker_id in fleet.unreported_workers:
        fleet.lost_worker_before_term = True
    length_ms = settings.longest_lease_ms if is_new else settings.lease_ms
    worker.extend_lease(settings, length_ms, fleet.now_ms)


def begin_incarnation(
    fleet: Fleet, worker: Worker, incarnation: int, polled_ms: float | None
) -> None:
    """Release the runs of a worker's previous incarnation.

    The new one replied to a poll that was sent at `polled_ms`, None if the directory
    names it.

    A run that the previous incarnation never reported stays allocated: its start
    command could still reach the new incarnation. That one does not refuse the command,
    because its clock is behind the time limit of the start. So the run is stopped, and
    its task is started again once the new incarnation refuses the command. Renewals for
    the previous one could also still reach it.
    """
    settings = fleet.settings
    if worker.incarnation:
        _log_restart(fleet, worker, polled_ms)
    if worker.incarnation and not worker.is_gone:
        silent_ms = worker.silent_since_ms if worker.is_unresponsive else fleet.now_ms
        record_process_end(fleet, worker, silent_ms)
    if worker.incarnation and fleet.now_ms < fleet.previous_leases_expire_ms:
        # Until it replies to this leader, the new incarnation also executes commands of
        # the previous one.
        require_report(fleet, worker)
    runs = [] if not worker.incarnation else list(worker.runs.values())
    if worker.incarnation:
        worker.expect_late_commands(settings, fleet.now_ms)
    worker.begin_incarnation(incarnation)
    fleet.speeds.forget_worker(worker)
    # A step that has asked about all workers has to look for new ones.
    fleet.usable_worker_ids.pop(worker.entry.service, None)
    fleet.pools_outdated = True
    fleet.usage.replace_strays(worker.worker_id, ())
    fleet.record_unknown_jobs(worker, set())
    for run in runs:
        if run.was_reported:
            fleet.release(run)
            continue
        run.confirmed_clock_ms = run.until_clock_ms = None
        # A stop that was sent to the previous incarnation does not count.
        run.stop_sent_ms = -math.inf
        fleet.stop(run, "the worker restarted while the start was in flight")


def _log_restart(fleet: Fleet, worker: Worker, polled_ms: float | None) -> None:
    """Log a restart, and whether a poll for the previous incarnation was answered.

    That poll may have renewed a lease, as the worker was not known to be silent.
    """
    fleet.log(
        "worker_restarted",
        worker=worker.worker_id,
        runs=len(worker.runs),
        was_silent=worker.is_unresponsive,
        polled_ms_ago=None if polled_ms is None else round(fleet.now_ms - polled_ms),
        lease_ms=round(worker.lease_expiry_ms - fleet.now_ms),
    )


def settle_restart(fleet: Fleet, worker: Worker, clock_ms: int) -> None:
    """Record that no command for a previous incarnation will be executed any more.

    The worker replied to a poll with the fencing token that follows its restart. The
    starts that were in flight then are in its report, or never begin.
    """
    worker.settle_restart(fleet.settings, fleet.now_ms)
    for run in worker.runs.values():
        if run.until_clock_ms is None:
            run.confirmed_clock_ms = clock_ms - 1
