"""Decides what a poll of a worker grants and acknowledges, and how long it may wait."""

from typing import NamedTuple

from ._copies import must_be_watched
from ._fleet import Fleet
from ._worker import Worker


class WorkerPoll(NamedTuple):
    """Parameters of a poll of a worker.

    The worker extends its lease to `until_clock_ms` on its clock; None grants no lease.
    Terminations up to the number `last_acknowledged` are stored, so the worker may
    remove them. The worker may delay its reply by up to `wait_ms`. `restarts` is part
    of the fencing token.
    """

    address: str
    until_clock_ms: int | None
    last_acknowledged: int
    wait_ms: int
    restarts: int = 0


def poll_without_lease(worker: Worker) -> WorkerPoll:
    """Return a poll that grants no lease, as this leader may not."""
    acknowledged = 0 if _may_have_restarted(worker) else worker.last_stored_termination
    return WorkerPoll(worker.entry.address, None, acknowledged, 0, worker.restarts)


def poll_with_lease(
    fleet: Fleet, worker: Worker, row_age_ms: float, now_ms: float
) -> WorkerPoll:
    """Return a poll that renews the lease of a worker that has replied.

    A poll of an unresponsive worker grants no lease, because a new lease would delay
    the time from which its tasks may run on other workers.
    """
    if _may_have_restarted(worker):
        return poll_without_lease(worker)
    lease_ms = fleet.settings.lease_ms
    worker.extend_lease(fleet.settings, lease_ms, now_ms)
    return WorkerPoll(
        worker.entry.address,
        worker.estimated_clock_ms(now_ms) + lease_ms,
        worker.last_stored_termination,
        _poll_wait_ms(fleet, worker, row_age_ms, now_ms),
        worker.restarts,
    )


def _may_have_restarted(worker: Worker) -> bool:
    """Return whether another incarnation than the known one could reply.

    It numbers terminations anew, so an acknowledgement meant for the previous one would
    remove terminations that this leader has not read.
    """
    return worker.is_unresponsive or worker.last_polled_ms is None


def _poll_wait_ms(
    fleet: Fleet, worker: Worker, row_age_ms: float, now_ms: float
) -> int:
    """Return how long a worker may delay its reply until a run terminates.

    A termination ends the wait. Only loads and progress have to be polled for.
    """
    settings = fleet.settings
    if worker.has_fillers or row_age_ms > settings.row_age_for_short_polls_ms:
        return settings.watched_poll_wait_ms
    if must_be_watched(fleet, worker):
        return settings.watched_poll_wait_ms
    oldest_ms = worker.estimated_clock_ms(now_ms) - settings.stall_ms / 2
    if any(run.progress_clock_ms < oldest_ms for run in worker.runs.values()):
        return settings.watched_poll_wait_ms
    return settings.poll_wait_ms
