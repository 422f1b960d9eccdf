"""The leader's scheduler for all workers of a cell.

It applies events and returns effects. It does no input or output itself.
"""

from marigoldpath_core.jobs import JobState

from . import (
    _admission,
    _advice,
    _directory,
    _draining,
    _health,
    _jobs,
    _occurrences,
    _reports,
    _starts,
    _terminations,
    _throttling,
)
from ._admission import Backlog
from ._dispatch import dispatch
from ._earlier_leaders import find_unleased
from ._fleet import Fleet, handlers
from ._majority import WorkerCounts, count_workers, has_majority
from ._messages import Commit, Effect, EndedLeaders, Event, RosterEntry, Tick
from ._polls import WorkerPoll, poll_with_lease, poll_without_lease
from ._progress import progress_of
from ._roster import mark_unleased, update_roster
from ._settings import FleetSettings
from ._workspace_log import log_workspaces_if_due

# The interval of the checks that examine every run. The time limits that they check are
# several times longer.
RUN_CHECK_INTERVAL_MS = 300

# The share of a commit that the removal of expired jobs may use while many jobs change.
REMOVAL_SHARE = 0.125

_MODULES_WITH_HANDLERS = (
    _advice,
    _directory,
    _jobs,
    _reports,
    _starts,
    _terminations,
)


class FleetScheduler:
    """The scheduler of one leader; `now_ms` is a monotonic clock in milliseconds.

    `row_confirmed_ms` is the time at which the write of the leader's row was sent, by
    default the time of creation. `ended_leaders` is what that row said of earlier ones.
    """

    def __init__(
        self,
        settings: FleetSettings,
        epoch: int,
        roster: dict[str, RosterEntry],
        now_ms: float,
        row_confirmed_ms: float | None = None,
        *,
        ended_leaders: tuple[EndedLeaders, ...] = (),
    ) -> None:
        self._settings = settings
        self._fleet = Fleet(settings, epoch, roster, now_ms, ended_leaders)
        self._row_confirmed_ms = (
            now_ms if row_confirmed_ms is None else row_confirmed_ms
        )
        self._is_retired = False

    @property
    def is_superseded(self) -> bool:
        """Whether a leader of a later epoch exists."""
        return self._fleet.superseded

    @property
    def needs_dispatch(self) -> bool:
        """Whether a change since the last scheduling pass could let a task start."""
        return self._fleet.needs_dispatch

    @property
    def needs_commit(self) -> bool:
        """Whether there are changes to store."""
        return self._fleet.needs_commit

    @property
    def needs_relays(self) -> bool:
        """Whether other hosts should send the commands of this leader."""
        fleet = self._fleet
        if len(fleet.workers) > self._settings.max_direct_workers:
            return True
        return fleet.start_limit.needs_relays

    @property
    def max_starts_in_flight(self) -> int:
        """The number of starts without a reply that the leader's lag permits."""
        return self._fleet.start_limit.limit

    @property
    def workers(self) -> tuple[str, ...]:
        """The ids of the workers to poll."""
        return tuple(self._fleet.workers)

    @property
    def ignored_entries(self) -> int:
        """The number of the directory's entries that name no worker of the cell."""
        return self._fleet.directory.ignored.total

    def handle(self, event: Event, now_ms: float) -> None:
        """Apply an event."""
        self._fleet.now_ms = now_ms
        handlers.get(type(event))(self._fleet, event)

    def dispatch(self, now_ms: float) -> None:
        """Run a scheduling pass if this leader may send commands."""
        self._fleet.now_ms = now_ms
        if self.may_send_commands(now_ms) and not self._fleet.superseded:
            self._fleet.row_confirmed_ms = self._row_confirmed_ms
            dispatch(self._fleet)

    def take_effects(self) -> list[Effect]:
        """Return the effects queued since the last call."""
        effects = self._fleet.effects
        self._fleet.effects = []
        return effects

    def retire(self) -> None:
        """Send no more commands, because the leadership is being released.

        The successor may act as soon as the released row is stored.
        """
        self._is_retired = True

    def may_send_commands(self, now_ms: float) -> bool:
        """Return whether this leader may send commands to workers.

        It may if it stored its row recently, or if a majority of the workers replied to
        its epoch recently. In both cases no later leader can have started a task yet.
        """
        if self._is_retired:
            return False
        if now_ms - self._row_confirmed_ms < self._settings.row_authority_ms:
            return True
        return has_majority(self._fleet, now_ms - self._settings.majority_window_ms)

    def is_majority_reachable(self, now_ms: float) -> bool:
        """Return whether a majority of the workers replied to this epoch recently."""
        return has_majority(self._fleet, self._oldest_reply_ms(now_ms))

    def count_reachable(self, now_ms: float) -> WorkerCounts:
        """Return the counts that decide `is_majority_reachable`."""
        return count_workers(self._fleet, self._oldest_reply_ms(now_ms))

    def _oldest_reply_ms(self, now_ms: float) -> float:
        settings = self._settings
        return now_ms - settings.majority_window_ms - settings.poll_wait_ms

    def next_poll(self, worker_id: str, now_ms: float) -> WorkerPoll | None:
        """Return the parameters of a poll of the worker.

        None means that the worker was removed or that the leader has retired.
        """
        worker = self._fleet.workers.get(worker_id)
        if worker is None or self._is_retired:
            return None
        if not self.may_renew_lease(worker_id, now_ms):
            return poll_without_lease(worker)
        row_age_ms = now_ms - self._row_confirmed_ms
        return poll_with_lease(self._fleet, worker, row_age_ms, now_ms)

    def may_renew_lease(self, worker_id: str, now_ms: float) -> bool:
        """Return whether this leader may extend the lease of a worker.

        It may not while the stored roster could say that it does not.
        """
        is_unleased = worker_id in self._fleet.unleased_workers
        return self.may_send_commands(now_ms) and not is_unleased

    def ended_leaders(self, now_ms: float) -> tuple[EndedLeaders, ...]:
        """Return what the row of this leader has to say of the earlier ones."""
        return self._fleet.earlier_leaders.ended(now_ms)

    def is_fenced(self, worker_id: str, restarts: int) -> bool:
        """Return whether the refusal of a command shows a leader of a later epoch.

        Otherwise it was meant for a previous incarnation of the worker, and the present
        one has seen the next fencing token of this leader.
        """
        worker = self._fleet.workers.get(worker_id)
        return worker is None or restarts >= worker.restarts

    def has_unstored_terminations(self, worker_id: str) -> bool:
        """Return whether terminations reported by the worker are not stored yet."""
        worker = self._fleet.workers.get(worker_id)
        return (
            worker is not None
            and worker.last_applied_termination > worker.last_stored_termination
        )

    def begin_commit(self, limit: int) -> Commit:
        """Return the changes to store, for at most `limit` jobs."""
        fleet = self._fleet
        reserved = min(len(fleet.unstored_jobs.removed), int(limit * REMOVAL_SHARE))
        job_ids = fleet.unstored_jobs.take(limit - reserved)
        fleet.needs_commit = bool(fleet.unstored_jobs)
        jobs = {job_id: fleet.jobs[job_id] for job_id in job_ids}
        roster = dict(fleet.roster) if fleet.roster_dirty else None
        fleet.roster_dirty = False
        if roster is not None:
            # Until the result of the commit is known, the store could hold the old or
            # the new roster. So only entries that are equal in both are relied on.
            fleet.stored_roster = dict(fleet.stored_roster.items() & roster.items())
            fleet.unleased_workers |= find_unleased(roster)
        ends = {
            worker.worker_id: (worker.incarnation, worker.last_applied_termination)
            for worker in fleet.workers.values()
            if worker.last_applied_termination > worker.last_stored_termination
        }
        # A worker may remove a termination only after all its effects on jobs are
        # stored.
        ends = fleet.unstored_jobs.take_ends(job_ids, ends)
        final = tuple(job_id for job_id, job in jobs.items() if job.state.is_final)
        progress = {job_id: progress_of(job) for job_id, job in jobs.items()}
        removed_jobs = tuple(
            sorted(fleet.unstored_jobs.removed)[: max(0, limit - len(progress))]
        )
        fleet.unstored_jobs.removed.difference_update(removed_jobs)
        return Commit(progress, ends, roster, final, removed_jobs)

    def expired_jobs(self, now_ms: float, limit: int) -> tuple[str, ...]:
        """Return at most `limit` final jobs whose retention period is over."""
        oldest_ms = now_ms - self._settings.final_job_retention_ms
        found: list[str] = []
        for job_id, final_ms in self._fleet.final_ms.items():
            if final_ms > oldest_ms or len(found) == limit:
                break
            found.append(job_id)
        return tuple(found)

    def forget(self, job_ids: tuple[str, ...]) -> None:
        """Remove jobs whose rows are deleted; a later commit deletes their progress.

        The row of a job must be deleted before its progress, because a stored job
        without progress would run again.
        """
        fleet = self._fleet
        for job_id in job_ids:
            fleet.final_states.pop(job_id, None)
            fleet.final_ms.pop(job_id, None)
            fleet.cancelled.discard(job_id)
            fleet.quotas.ended_jobs.pop(job_id, None)
        fleet.unstored_jobs.removed.update(job_ids)
        fleet.needs_commit = True

    def commit_succeeded(self, commit: Commit, sent_ms: float, now_ms: float) -> None:
        """Apply a commit that was stored; it was sent at `sent_ms`."""
        fleet = self._fleet
        fleet.now_ms = now_ms
        self._row_confirmed_ms = max(self._row_confirmed_ms, sent_ms)
        for worker_id, (incarnation, number) in commit.ends.items():
            worker = fleet.workers.get(worker_id)
            if worker is not None and worker.incarnation == incarnation:
                worker.last_stored_termination = max(
                    worker.last_stored_termination, number
                )
        if commit.roster is not None:
            fleet.stored_roster = dict(commit.roster)
            fleet.unleased_workers = find_unleased(commit.roster)
            fleet.needs_dispatch = fleet.pools_outdated = True
        for job_id, progress in commit.progress.items():
            _starts.record_stored_starts(fleet, job_id, progress)
            if progress.may_leave_zone and job_id in fleet.jobs:
                fleet.jobs[job_id].may_leave_zone = True
        for job_id in commit.final:
            job = fleet.jobs.pop(job_id, None)
            if job is not None:
                fleet.record_final_state(job_id, job.state)

    def commit_failed(self, commit: Commit) -> None:
        """Include the changes of a failed commit in the next commit."""
        fleet = self._fleet
        fleet.unstored_jobs.put_back(
            job_id for job_id in commit.progress if job_id in fleet.jobs
        )
        fleet.unstored_jobs.removed.update(commit.removed_jobs)
        fleet.roster_dirty |= commit.roster is not None
        fleet.needs_commit = True

    def job_state(self, job_id: str) -> JobState | None:
        """Return the state of a job that callers see, None if it is not known."""
        fleet = self._fleet
        if job_id in fleet.final_states:
            return fleet.final_states[job_id]
        if job_id in fleet.cancelled:
            return JobState.CANCELLED
        job = fleet.jobs.get(job_id)
        if job is None:
            return None
        if job.state.is_final:
            # The final state is shown only after it is stored.
            return JobState.RUNNING
        return job.state

    def pending(self) -> dict[str, int]:
        """Return the number of accepted jobs that have not started, by queue."""
        counts: dict[str, int] = {}
        for job in self._fleet.jobs.values():
            if not job.has_started and not job.state.is_final:
                name = job.queue.name
                counts[name] = counts.get(name, 0) + 1
        return counts

    def backlog(self, now_ms: float) -> Backlog:
        """Return what a new job of each priority class has to wait for."""
        self._fleet.now_ms = now_ms
        return _admission.measure_backlog(self._fleet)

    def limited_workspaces(self, now_ms: float) -> dict[str, int]:
        """Return the share of new jobs to admit of workspaces above their rate.

        The shares are in thousandths, for at most 64 workspaces. There are none unless
        there is a backlog.
        """
        self._fleet.now_ms = now_ms
        return _admission.limit_workspaces(self._fleet)


def _adjust_start_limit(fleet: Fleet, lag_ms: float) -> None:
    limit = fleet.start_limit
    was_lowest = limit.limit == fleet.settings.min_starts_in_flight
    limit.adjust(lag_ms)
    is_lowest = limit.limit == fleet.settings.min_starts_in_flight
    if is_lowest is not was_lowest:
        fleet.log("starts_limited", is_lowest=is_lowest, lag_ms=round(lag_ms))


@handlers.register(Tick)
def _handle_tick(fleet: Fleet, event: Tick) -> None:
    fleet.wall_ms = event.wall_ms
    fleet.slow_advice.hosts = event.advice_hosts
    _adjust_start_limit(fleet, event.lag_ms)
    _occurrences.begin_due_occurrences(fleet)
    _reports.expire_leases(fleet)
    update_roster(fleet)
    mark_unleased(fleet)
    if fleet.now_ms - fleet.runs_checked_ms >= RUN_CHECK_INTERVAL_MS:
        fleet.runs_checked_ms = fleet.now_ms
        _reports.retry_stops(fleet)
        _health.stop_stalled_runs(fleet)
    _draining.evict_from_draining_workers(fleet)
    _throttling.throttle_fillers(fleet)
    log_workspaces_if_due(fleet)
    fleet.prefetch_due = fleet.copies.is_due = True
    # Tickets and quarantines expire without an event.
    fleet.needs_dispatch = True
