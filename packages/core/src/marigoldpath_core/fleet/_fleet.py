"""The state that the parts of the scheduler share."""

import math

from marigoldpath_core.jobs import JobState, Queue, TaskKey
from marigoldpath_core.registry import Registry

from ._messages import Effect, LogEvent, RosterEntry, StopRun
from ._settings import FleetSettings
from ._work import Job, Run, RunState, Step, Task
from ._worker import Worker

# Runs of one epoch are numbered above those of all earlier epochs.
RUNS_PER_EPOCH = 10_000

handlers: Registry = Registry("fleet event")


class Fleet:
    """Jobs, workers and queues as one leader knows them; `now_ms` is monotonic."""

    def __init__(
        self,
        settings: FleetSettings,
        epoch: int,
        roster: dict[str, RosterEntry],
        now_ms: float,
    ) -> None:
        self.settings = settings
        self.epoch = epoch
        self.now_ms = now_ms
        self.wall_ms = 0
        self.jobs: dict[str, Job] = {}
        self.final: dict[str, JobState] = {}
        # When each job became final, oldest first.
        self.final_ms: dict[str, float] = {}
        self.removed_jobs: set[str] = set()
        self.cancelled: set[str] = set()
        # When the last whole reading of the stored jobs began.
        self.jobs_read_ms = -math.inf
        # Workers that named a job before it was known; their next list settles what
        # runs or ran there.
        self.named_by: dict[str, set[str]] = {}
        self.workers: dict[str, Worker] = {}
        self.queues: dict[str, Queue] = {}
        self.open_steps: dict[tuple[str, int, int], Step] = {}
        self.future_jobs: dict[str, Job] = {}
        self.effects: list[Effect] = []
        self.dirty: set[str] = set()
        self.roster = dict(roster)
        self.roster_dirty = False
        self.stored_roster = dict(roster)
        # Workers of earlier epochs that may run tasks unknown to this leader.
        self.unheard = dict(roster)
        # An earlier leader orders nothing after this time, unless most workers answer
        # it; None until most workers have answered this leader.
        self.begun_ms = now_ms
        self.majority_heard_ms: float | None = None
        self.deposed = False
        self.advice_hosts = 0
        # The workers named in the slow questions that are under way, by step.
        self.slow_questions: dict[tuple[str, int, int], tuple[str, ...]] = {}
        self.needs_dispatch = True
        self.needs_commit = False
        # The usable workers of each service in the last pass.
        self.usable_names: dict[str, frozenset[str]] = {}
        # How many workers the advice service was asked about and approved, by queue.
        self.approvals: dict[str, tuple[int, int]] = {}

    def emit(self, effect: Effect) -> None:
        """Ask for something to be done."""
        self.effects.append(effect)

    def note(self, event: str, **fields: object) -> None:
        """Log a decision."""
        self.effects.append(LogEvent(event, fields))

    def task(self, key: TaskKey) -> Task | None:
        """Return the task of an open job."""
        job = self.jobs.get(key.job_id)
        if job is None:
            return None
        step = job.steps.get((key.occurrence, key.step))
        if step is None or key.task_index >= len(step.tasks):
            return None
        return step.tasks[key.task_index]

    def next_number(self, *tasks: Task) -> int:
        """Return a run number above all earlier ones of these tasks."""
        first = (self.epoch - 1) * RUNS_PER_EPOCH + 1
        return max(first, 1 + max(task.number for task in tasks))

    def stop(self, run: Run, reason: str) -> None:
        """Order a run to stop; its resources stay held until its end is listed."""
        worker = self.workers.get(run.worker_id)
        if worker is None:
            return
        if run.state is not RunState.STOPPING:
            self.note(
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
            StopRun(run.worker_id, worker.entry.address, run.task.key, run.number)
        )

    def release(self, run: Run) -> None:
        """Free what a run held; its task waits again unless it is done."""
        worker = self.workers.get(run.worker_id)
        if worker is not None:
            worker.remove(run)
        if run.task.run is run:
            run.task.run = None
        self.needs_dispatch = True

    def abandon(self, run: Run) -> None:
        """Free a run that did not start; the rest of its gang would only wait."""
        step = run.task.step
        self.release(run)
        if not step.spec.gang:
            return
        for member in step.tasks:
            if member.run is not None and member.run.number == run.number:
                self.stop(member.run, "a member of the gang did not start")

    def close(self, job_id: str, state: JobState) -> None:
        """Keep only the state of a job whose end is stored."""
        self.final[job_id] = state
        self.final_ms[job_id] = self.now_ms

    def mark_dirty(self, job: Job) -> None:
        """Store the job's progress with the next commit."""
        self.dirty.add(job.spec.job_id)
        self.needs_commit = True

    @property
    def unheard_until_ms(self) -> float:
        """When no lease that an earlier leader granted can be left on any worker."""
        if self.majority_heard_ms is None:
            return math.inf
        settings = self.settings
        ordered_until_ms = max(
            self.begun_ms + settings.order_limit_ms,
            self.majority_heard_ms + settings.majority_ms,
        )
        lease_ms = settings.lease_ms * (1 + settings.clock_slack)
        return ordered_until_ms + lease_ms + settings.lease_margin_ms

    def is_blocked(self, step: Step) -> bool:
        """Return whether tasks of the step may run or have ended unnoticed.

        Either a worker named the job before it was known, or one that may run it was
        not heard.
        """
        job_id = step.job.spec.job_id
        if job_id in self.named_by:
            return True
        if not self.unheard or step.is_fresh:
            return False
        if step.job.accepted.epoch >= self.epoch:
            return False
        zone = step.job.zone
        return any(
            (entry.jobs is None or job_id in entry.jobs)
            and (not zone or entry.zone in ("", zone))
            for entry in self.unheard.values()
        )

    def spread(self, job: Job) -> bool:
        """Let a job run outside its zone once that is stored; return whether it will.

        A successor that cannot hear the workers of another zone would take it for
        certain that the job does not run there. For the same reason a job of an earlier
        epoch stays at home while workers are unheard: elsewhere it would be held up.
        """
        if not job.zone or (self.unheard and job.accepted.epoch < self.epoch):
            return False
        if not job.wants_spread:
            job.wants_spread = True
            self.note("job_spreading", job=job.spec.job_id, zone=job.zone)
            self.mark_dirty(job)
        return True

    def note_unknown_jobs(self, worker: Worker, named: set[str]) -> None:
        """Keep which jobs of a worker's newest list are not known."""
        unknown = {
            job_id: worker.unknown_jobs.get(job_id, self.now_ms)
            for job_id in named
            if not self.is_known(job_id)
        }
        for job_id in worker.unknown_jobs.keys() - unknown.keys():
            workers = self.named_by.get(job_id, set())
            workers.discard(worker.worker_id)
            if not workers:
                self.named_by.pop(job_id, None)
                self.needs_dispatch = True
        for job_id in unknown:
            self.named_by.setdefault(job_id, set()).add(worker.worker_id)
        worker.unknown_jobs = unknown

    def is_known(self, job_id: str) -> bool:
        """Return whether the job was told, whether it has ended or not."""
        return job_id in self.jobs or job_id in self.final

    def is_open(self, worker_id: str) -> bool:
        """Return whether a successor would know that the worker may run anything."""
        return all(
            worker_id in roster and roster[worker_id].jobs is None
            for roster in (self.roster, self.stored_roster)
        )
