"""The state that the parts of the scheduler share."""

import math
from typing import TYPE_CHECKING

from marigoldpath_core.jobs import JobState, Queue, TaskKey
from marigoldpath_core.registry import Registry

from ._advice_state import SlowAdviceState
from ._copy_state import CopyState
from ._directory_state import DirectoryState
from ._earlier_leaders import EarlierLeaders, find_unleased
from ._failing_images import FailingImages
from ._job import Job
from ._messages import Effect, EndedLeaders, LogEvent, RosterEntry, StopRun
from ._quota_state import QuotaState
from ._rotation import StepRotation
from ._run import Run, RunState
from ._settings import FleetSettings
from ._share_state import ShareState
from ._speeds import Speeds
from ._start_limit import StartLimit
from ._unstored import UnstoredJobs
from ._usage import WorkspaceUsage
from ._work import Step, Task
from ._worker import Worker

if TYPE_CHECKING:
    from ._pools import Pools
    from ._sizes import LargeNeed

# The numbers of the runs of one epoch are higher than those of all earlier epochs.
RUNS_PER_EPOCH = 10_000

handlers: Registry = Registry("fleet event")


class Fleet:
    """Jobs, workers and queues in the memory of one leader; `now_ms` is monotonic."""

    def __init__(
        self,
        settings: FleetSettings,
        epoch: int,
        roster: dict[str, RosterEntry],
        now_ms: float,
        ended_leaders: tuple[EndedLeaders, ...] = (),
    ) -> None:
        self.settings = settings
        self.epoch = epoch
        self.earlier_leaders = EarlierLeaders(settings, epoch, ended_leaders, now_ms)
        self.now_ms = now_ms
        self.wall_ms = 0
        self.jobs: dict[str, Job] = {}
        self.final_states: dict[str, JobState] = {}
        # When each job became final, oldest first.
        self.final_ms: dict[str, float] = {}
        self.cancelled: set[str] = set()
        # When the last complete read of the stored jobs began.
        self.jobs_read_ms = -math.inf
        # The workers that reported a job before this leader read it from the store, by
        # job id. Their next report shows which of its tasks run or terminated there.
        self.unknown_job_workers: dict[str, set[str]] = {}
        self.workers: dict[str, Worker] = {}
        self.directory = DirectoryState()
        self.queues: dict[str, Queue] = {}
        self.quotas = QuotaState()
        self.usage = WorkspaceUsage()
        self.shares = ShareState()
        # One queue of each priority class.
        self.priority_classes: dict[str, Queue] = {}
        self.open_steps: dict[tuple[str, int, int], Step] = {}
        self.scheduled_jobs: dict[str, Job] = {}
        self.effects: list[Effect] = []
        self.unstored_jobs = UnstoredJobs()
        self.roster = dict(roster)
        self.roster_dirty = False
        self.stored_roster = dict(roster)
        # Workers on the roster that have not reported to this leader. Tasks that a
        # previous leader started could still be running there.
        self.unreported_workers = dict(roster)
        # The workers whose entry, as it could be stored, has `unleased_since`.
        self.unleased_workers = find_unleased(roster)
        # Whether a worker on which tasks could be running has probably ended before it
        # reported to this leader.
        self.lost_worker_before_term = False
        # The runs that were blamed for the end of a worker's incarnation.
        self.blamed_runs: dict[tuple[str, int], list[tuple[TaskKey, int]]] = {}
        # The runs whose start is sent once it is stored.
        self.planned_runs: dict[TaskKey, Run] = {}
        self.copies = CopyState()
        # When the newest write of this leader's row that succeeded was sent.
        self.row_confirmed_ms = now_ms
        self.superseded = False
        # The processors that the tasks examined in this pass need in the rack of their
        # data, in millicores.
        self.rack_demand: dict[str, int] = {}
        self.slow_advice = SlowAdviceState()
        self.start_limit = StartLimit(settings, now_ms)
        self.rotation = StepRotation(settings.max_steps_per_pass)
        self.speeds = Speeds(settings)
        self.failing_images = FailingImages()
        # The largest needs of the tasks of each service.
        self.large_needs: dict[str, LargeNeed] = {}
        # When a worker of each service may be held for a large task again.
        self.next_hold_ms: dict[str, float] = {}
        self.needs_dispatch = True
        self.needs_commit = False
        # The usable workers of each service when the pools were last built.
        self.usable_worker_ids: dict[str, frozenset[str]] = {}
        # The worker pools of the last scheduling pass.
        self.pools: Pools | None = None
        # Whether a worker became usable since the pools were built.
        self.pools_outdated = True
        # When the runs were last checked for stalls and stops without effect.
        self.runs_checked_ms = -math.inf
        # Whether a Tick has come since the open steps were examined for advance advice.
        self.prefetch_due = True
        # The number of workers in all advice requests with a reply and the number of
        # approved ones, by queue.
        self.approval_counts: dict[str, tuple[int, int]] = {}
        # When it was last logged why tasks of any step wait.
        self.waiting_logged_ms = -math.inf

    def emit(self, effect: Effect) -> None:
        """Queue an effect for the caller of the scheduler."""
        self.effects.append(effect)

    def log(self, event: str, **fields: object) -> None:
        """Log a decision."""
        self.effects.append(LogEvent(event, fields))

    def task(self, key: TaskKey) -> Task | None:
        """Return a task of an open job, None if the job or the task is not known."""
        job = self.jobs.get(key.job_id)
        if job is None:
            return None
        step = job.steps.get((key.occurrence, key.step))
        if step is None or key.task_index >= step.spec.width:
            return None
        return step.task(key.task_index)

    def why_ignored(self, key: TaskKey) -> str:
        """Return why a run of the task has no effect, empty if the task is open."""
        job_id = key.job_id
        job = self.jobs.get(job_id)
        if job_id in self.final_states or (job is not None and job.state.is_final):
            return "the job is final"
        if job is None:
            return "the job is not known"
        if self.task(key) is not None:
            return ""
        if key.occurrence < job.occurrences:
            if not job.is_begun(key.occurrence):
                return "the occurrence has not begun"
            if not job.is_open(key.occurrence):
                return "the occurrence is done"
        return "the job has no such task"

    def next_run_number(self, *tasks: Task) -> int:
        """Return a number higher than those of all earlier runs of these tasks."""
        first = _first_run_number(self.epoch)
        return max(first, 1 + max(task.number for task in tasks))

    def is_only_run(self, run: Run) -> bool:
        """Return whether no other run of the task can have been done.

        This holds for a run that this leader started, and for the first run since the
        job was accepted, unless a previous leader could have started a copy of it.
        """
        if run.number >= _first_run_number(self.epoch):
            return True
        step = run.task.step
        first = _first_run_number(step.job.accepted.epoch)
        return run.number == first and not step.allows_copies

    def proves_not_done(self, run: Run) -> bool:
        """Return whether no previous leader can have started a step after this run.

        `run` is running now. A previous leader may hear of its end although it is
        running in a report to this one: its poll may have been accepted before and wait
        for the end. So a run that it started proves this only once it sends no commands
        any more.
        """
        if not self.is_only_run(run):
            return False
        if not self.is_earlier_run(run.number):
            return True
        return self.now_ms >= self.earlier_leaders.commands_end_ms

    def is_earlier_run(self, number: int) -> bool:
        """Return whether an earlier leader started a run with this number."""
        return number < _first_run_number(self.epoch)

    def stop(self, run: Run, reason: str) -> None:
        """Send a stop command, unless one was sent within `retry_stop_ms`.

        The resources stay allocated until a report shows that the run terminated.
        """
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        if run.state is RunState.PLANNED:
            self.release(run)
            return
        if run.state is RunState.STOPPING and not self.is_stop_overdue(run):
            return
        if run.state is not RunState.STOPPING:
            self.log(
                "run_stopping",
                job=run.task.key.job_id,
                task=tuple(run.task.key[1:]),
                run=run.number,
                worker=run.worker_id,
                reason=reason,
            )
        run.state = RunState.STOPPING
        run.stop_sent_ms = self.now_ms
        self.emit(
            StopRun(
                run.worker_id,
                worker.entry.address,
                run.task.key,
                run.number,
                worker.restarts,
            )
        )

    def is_stop_overdue(self, run: Run) -> bool:
        """Return whether a stop has had no effect for so long that it is repeated."""
        return self.now_ms - run.stop_sent_ms > self.settings.retry_stop_ms

    def release(self, run: Run) -> None:
        """Free the resources of a run.

        Its copy becomes the primary run. Without one, the task waits again unless it is
        done.
        """
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        task = run.task
        if task.run is run:
            task.run, task.copy = task.copy, None
            if task.run is not None:
                self._promote_copy(run, task.run)
            elif run.state not in (RunState.PLANNED, RunState.SENT):
                task.released_ms = self.now_ms
        elif task.copy is run:
            task.copy = None
        self.copies.runs.discard(run)
        if run.started_as_copy:
            self._log_copy_end(run)
        start = task.recorded_start
        if start is not None and start.run == run.number:
            task.recorded_start = None
            if not task.step.job.state.is_final:
                self.mark_dirty(task.step.job)
        if self.planned_runs.get(task.key) is run:
            del self.planned_runs[task.key]
        self.needs_dispatch = True

    def _promote_copy(self, released: Run, copy: Run) -> None:
        """Count a copy as the primary run after `released` ended without being done."""
        if released.is_done or copy.state is RunState.STOPPING:
            # The copy is not needed any more. It counts as one until it has stopped.
            return
        self.copies.runs.discard(copy)
        self.log(
            "copy_promoted",
            job=copy.task.key.job_id,
            task=tuple(copy.task.key[1:]),
            run=copy.number,
            worker=copy.worker_id,
        )

    def _log_copy_end(self, run: Run) -> None:
        task = run.task
        won = run.is_done and not task.done and not task.step.job.state.is_final
        fields: dict[str, object] = {
            "job": task.key.job_id,
            "task": tuple(task.key[1:]),
            "run": run.number,
            "worker": run.worker_id,
        }
        if won:
            self.log("copy_won", **fields)
        else:
            self.log("copy_wasted", **fields, percent=run.percent)

    def abandon(self, run: Run) -> None:
        """Release a run that did not start, and stop the rest of its gang.

        The other members would occupy their workers while they wait for this one. They
        are stopped once, however many members did not start.
        """
        step = run.task.step
        self.release(run)
        if not step.spec.gang or step.stopped_gang_run >= run.number:
            return
        step.stopped_gang_run = run.number
        for member in step.known_tasks:
            if member.run is not None and member.run.number == run.number:
                self.stop(member.run, "a member of the gang did not start")

    def record_final_state(self, job_id: str, state: JobState) -> None:
        """Record the final state of a job after that state was stored."""
        self.final_states[job_id] = state
        self.final_ms[job_id] = self.now_ms

    def mark_dirty(self, job: Job) -> None:
        """Include the job's progress in the next commit."""
        self.unstored_jobs.add(job.spec.job_id)
        self.needs_commit = True

    @property
    def previous_leases_expire_ms(self) -> float:
        """Return when all leases granted by previous leaders have expired.

        The time is infinite as long as a previous leader could still renew leases.
        """
        return self.earlier_leaders.leases_end_ms()

    def previous_lease_expires_ms(self, worker_id: str) -> float:
        """Return when the lease of a worker by previous leaders has expired.

        That of a worker that restarted lately may be longer: a command that was meant
        for its previous incarnation can be executed late, and its time limit is on
        another clock.
        """
        entry = self.unreported_workers.get(worker_id)
        unleased_since = 0 if entry is None else entry.unleased_since
        expires_ms = self.earlier_leaders.leases_end_ms(unleased_since)
        worker = self.workers.get(worker_id)
        if worker is None or not worker.entry.incarnation or not self.wall_ms:
            return expires_ms
        settings = self.settings
        age_ms = max(
            self.wall_ms - worker.entry.incarnation,
            # A wrong time in the entry must not delay this without end.
            self.now_ms - worker.incarnation_listed_ms,
        )
        late_ms = settings.max_command_delay_ms - age_ms
        lease_ms = settings.longest_wait_ms(settings.longest_lease_ms)
        return max(expires_ms, self.now_ms + late_ms + lease_ms)

    def is_blocked(self, step: Step) -> bool:
        """Return whether a previous leader could have started tasks of the step.

        They must not be started again. Either a worker reported the job before
        this leader read it from the store, or a worker has not reported to this leader
        and its roster entry includes the job.
        """
        job_id = step.job.spec.job_id
        if job_id in self.unknown_job_workers:
            return True
        if not self.unreported_workers or step.is_new_in_epoch:
            return False
        if step.job.accepted.epoch >= self.epoch:
            return False
        zone = step.job.zone
        return any(
            (entry.jobs is None or job_id in entry.jobs)
            and (not zone or entry.zone in ("", zone))
            for entry in self.unreported_workers.values()
        )

    def request_zone_exit(self, job: Job) -> bool:
        """Request that a job may run outside its zone, which takes effect when stored.

        Return False if the job is not confined to a zone or has to stay confined.

        The next leader assumes that a job confined to its zone runs on no worker of
        another zone, which it could be unable to reach. A job of an earlier epoch stays
        confined while some workers have not reported, because outside of its zone it
        would have to wait for them.
        """
        if not job.zone or (
            self.unreported_workers and job.accepted.epoch < self.epoch
        ):
            return False
        if not job.zone_exit_requested:
            job.zone_exit_requested = True
            self.log("job_spreading", job=job.spec.job_id, zone=job.zone)
            self.mark_dirty(job)
        return True

    def record_unknown_jobs(self, worker: Worker, reported: set[str]) -> None:
        """Record which jobs in a worker's newest report this leader has not read."""
        unknown = {
            job_id: worker.unknown_jobs.get(job_id, self.now_ms)
            for job_id in reported
            if not self.is_known(job_id)
        }
        for job_id in worker.unknown_jobs.keys() - unknown.keys():
            workers = self.unknown_job_workers.get(job_id, set())
            workers.discard(worker.worker_id)
            if not workers:
                self.unknown_job_workers.pop(job_id, None)
                self.needs_dispatch = True
        for job_id in unknown:
            self.unknown_job_workers.setdefault(job_id, set()).add(worker.worker_id)
        worker.unknown_jobs = unknown

    def is_known(self, job_id: str) -> bool:
        """Return whether the job was read or accepted, open or final."""
        return job_id in self.jobs or job_id in self.final_states

    def may_start_on(self, worker_id: str) -> bool:
        """Return whether the roster, also as stored, allows any job on the worker.

        The next leader waits for the report or the lease expiry of such a worker before
        it starts jobs of earlier epochs.
        """
        current = self.roster.get(worker_id)
        stored = self.stored_roster.get(worker_id)
        if current is None or stored is None:
            return False
        if worker_id in self.unleased_workers:
            return False
        return current.jobs is None and stored.jobs is None

    def is_startable(self, worker: Worker) -> bool:
        """Return whether a run may be started on the worker now."""
        return (
            worker.is_usable(self.now_ms)
            and worker.worker_id not in self.unreported_workers
            and self.may_start_on(worker.worker_id)
        )


def _first_run_number(epoch: int) -> int:
    """Return the number of the first run that a leader of this epoch may start."""
    return (epoch - 1) * RUNS_PER_EPOCH + 1
