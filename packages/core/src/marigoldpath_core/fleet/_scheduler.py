"""Decides for all workers of a cell; events go in, effects come out."""

from typing import NamedTuple

from marigoldpath_core.jobs import JobState

from . import _advice, _ends, _evacuation, _health, _jobs, _pacing, _reports, _starts
from ._dispatch import dispatch
from ._fleet import Fleet, handlers
from ._messages import Commit, Effect, Event, RosterEntry, Tick
from ._roster import update_roster
from ._settings import FleetSettings

_MODULES_WITH_HANDLERS = (_advice, _ends, _jobs, _reports, _starts)


class WorkerPoll(NamedTuple):
    """How to look at a worker; `until_clock_ms` is None when no lease is granted."""

    address: str
    until_clock_ms: int | None
    last_acknowledged: int
    wait_ms: int


class FleetScheduler:
    """The decisions of one leader; `now_ms` is a monotonic clock in milliseconds."""

    def __init__(
        self,
        settings: FleetSettings,
        epoch: int,
        roster: dict[str, RosterEntry],
        now_ms: float,
    ) -> None:
        self._settings = settings
        self._fleet = Fleet(settings, epoch, roster, now_ms)
        self._confirmed_ms = now_ms

    @property
    def is_deposed(self) -> bool:
        """Whether a leader of a later epoch has been noticed."""
        return self._fleet.deposed

    @property
    def needs_dispatch(self) -> bool:
        """Whether a pass may start something."""
        return self._fleet.needs_dispatch

    @property
    def needs_commit(self) -> bool:
        """Whether there is something to store."""
        return self._fleet.needs_commit

    @property
    def workers(self) -> tuple[str, ...]:
        """The workers that are looked at."""
        return tuple(self._fleet.workers)

    def handle(self, event: Event, now_ms: float) -> None:
        """Take an event."""
        self._fleet.now_ms = now_ms
        handlers.get(type(event))(self._fleet, event)

    def dispatch(self, now_ms: float) -> None:
        """Start what has room, unless the right to order is in doubt."""
        self._fleet.now_ms = now_ms
        if self.may_send_commands(now_ms) and not self._fleet.deposed:
            dispatch(self._fleet)

    def take_effects(self) -> list[Effect]:
        """Return what was asked for since the last call."""
        effects = self._fleet.effects
        self._fleet.effects = []
        return effects

    def may_send_commands(self, now_ms: float) -> bool:
        """Return whether no successor can have reached its first start.

        Either the leader's row was stored recently, or most workers answered under
        this epoch recently.
        """
        if now_ms - self._confirmed_ms < self._settings.order_limit_ms:
            return True
        return self.is_majority_reachable(now_ms)

    def is_majority_reachable(self, now_ms: float) -> bool:
        """Return whether most workers answered under this epoch recently."""
        workers = [each for each in self._fleet.workers.values() if each.is_listed]
        oldest_ms = now_ms - self._settings.majority_ms
        heard = sum(
            1 for each in workers if each.heard_ms and each.heard_ms >= oldest_ms
        )
        return heard * 2 > len(workers)

    def next_poll(self, worker_id: str, now_ms: float) -> WorkerPoll | None:
        """Return how to look at a worker now, or None when it is gone.

        A worker that does not answer is looked at without a lease, so that the time
        after which its tasks may run elsewhere does not move on.
        """
        worker = self._fleet.workers.get(worker_id)
        if worker is None:
            return None
        address = worker.entry.address
        if worker.is_silent or worker.heard_ms is None:
            # It may have restarted; its new life would forget ends up to a number of
            # the old one.
            return WorkerPoll(address, None, 0, 0)
        if not self.may_send_commands(now_ms):
            return WorkerPoll(address, None, worker.stored_end, 0)
        worker.extend_lease(self._settings, self._settings.lease_ms, now_ms)
        until = worker.estimated_clock_ms(now_ms) + self._settings.lease_ms
        return WorkerPoll(
            address, until, worker.stored_end, self._settings.look_wait_ms
        )

    def has_unstored_ends(self, worker_id: str) -> bool:
        """Return whether the worker told ends that are not stored yet."""
        worker = self._fleet.workers.get(worker_id)
        return worker is not None and worker.seen_end > worker.stored_end

    def begin_commit(self, most: int) -> Commit:
        """Return what is to be stored now, of at most `most` jobs."""
        fleet = self._fleet
        taken = sorted(fleet.dirty)[:most]
        fleet.dirty.difference_update(taken)
        fleet.needs_commit = bool(fleet.dirty)
        jobs = {job_id: fleet.jobs[job_id] for job_id in taken}
        roster = dict(fleet.roster) if fleet.roster_dirty else None
        fleet.roster_dirty = False
        if roster is not None:
            # Until the outcome is known, only what both versions say is stored.
            fleet.stored_roster = dict(fleet.stored_roster.items() & roster.items())
        ends = {
            worker.worker_id: (worker.incarnation, worker.seen_end)
            for worker in fleet.workers.values()
            # An end may be forgotten only when all that follows from it is stored.
            if worker.seen_end > worker.stored_end and not fleet.dirty
        }
        final = tuple(job_id for job_id, job in jobs.items() if job.state.is_final)
        progress = {job_id: job.progress() for job_id, job in jobs.items()}
        removed_jobs = tuple(sorted(fleet.removed_jobs)[: max(0, most - len(progress))])
        fleet.removed_jobs.difference_update(removed_jobs)
        return Commit(progress, ends, roster, final, removed_jobs)

    def expired_jobs(self, now_ms: float, most: int) -> tuple[str, ...]:
        """Return ended jobs whose state has been kept for long enough."""
        oldest_ms = now_ms - self._settings.final_job_retention_ms
        found: list[str] = []
        for job_id, final_ms in self._fleet.final_ms.items():
            if final_ms > oldest_ms or len(found) == most:
                break
            found.append(job_id)
        return tuple(found)

    def forget(self, job_ids: tuple[str, ...]) -> None:
        """Forget jobs whose rows are removed; their progress goes with a commit.

        The job's row must be gone first: without its progress it would run again.
        """
        fleet = self._fleet
        for job_id in job_ids:
            fleet.final.pop(job_id, None)
            fleet.final_ms.pop(job_id, None)
            fleet.cancelled.discard(job_id)
        fleet.removed_jobs.update(job_ids)
        fleet.needs_commit = True

    def commit_succeeded(self, commit: Commit, sent_ms: float, now_ms: float) -> None:
        """Note that a commit is stored; it was sent at `sent_ms`."""
        fleet = self._fleet
        fleet.now_ms = now_ms
        self._confirmed_ms = max(self._confirmed_ms, sent_ms)
        for worker_id, (incarnation, number) in commit.ends.items():
            worker = fleet.workers.get(worker_id)
            if worker is not None and worker.incarnation == incarnation:
                worker.stored_end = max(worker.stored_end, number)
        if commit.roster is not None:
            fleet.stored_roster = dict(commit.roster)
            fleet.needs_dispatch = True
        for job_id, progress in commit.progress.items():
            if progress.may_leave_zone and job_id in fleet.jobs:
                fleet.jobs[job_id].may_leave_zone = True
        for job_id in commit.final:
            job = fleet.jobs.pop(job_id, None)
            if job is not None:
                fleet.close(job_id, job.state)

    def commit_failed(self, commit: Commit) -> None:
        """Take back a commit that was not stored."""
        fleet = self._fleet
        fleet.dirty |= {job_id for job_id in commit.progress if job_id in fleet.jobs}
        fleet.removed_jobs.update(commit.removed_jobs)
        fleet.roster_dirty |= commit.roster is not None
        fleet.needs_commit = True

    def job_state(self, job_id: str) -> JobState | None:
        """Return what callers are told of a job, None when it is not known."""
        fleet = self._fleet
        if job_id in fleet.final:
            return fleet.final[job_id]
        if job_id in fleet.cancelled:
            return JobState.CANCELLED
        job = fleet.jobs.get(job_id)
        if job is None:
            return None
        if job.state.is_final:
            # An outcome is told only once it is stored.
            return JobState.RUNNING
        return job.state

    def pending(self) -> dict[str, int]:
        """Return for each queue the number of accepted jobs that have not started."""
        counts: dict[str, int] = {}
        for job in self._fleet.jobs.values():
            if not job.has_started and not job.state.is_final:
                name = job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts


@handlers.register(Tick)
def _tick(fleet: Fleet, event: Tick) -> None:
    fleet.wall_ms = event.wall_ms
    fleet.advice_hosts = event.advice_hosts
    _jobs.begin_due_occurrences(fleet)
    _reports.expire_leases(fleet)
    _reports.retry_stops(fleet)
    update_roster(fleet)
    _health.stop_stalled_runs(fleet)
    _evacuation.evacuate(fleet)
    _pacing.pace_fillers(fleet)
    # Tickets and quarantines run out without an event.
    fleet.needs_dispatch = True
