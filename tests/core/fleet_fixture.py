"""A fleet scheduler whose worker reports and replies are supplied by each test."""

from marigoldpath_core.fleet import (
    AdviceReplied,
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    QueuesChanged,
    RequestAdvice,
    RosterEntry,
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopRun,
    TerminatedRun,
    TerminationReason,
    Tick,
    WorkerEntry,
    WorkerReport,
    WorkersListed,
)
from marigoldpath_core.jobs import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    Progress,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)

URGENT = Queue("urgent", "service", 0, 3, 1.5, 300)
LONG_RUNNING = Queue("lasting", "service", 1, 3, 2.2, 2_500)
BACKGROUND = Queue("background", "service", 2, 2, 2.2, 1_200)
ADVISED = URGENT._replace(advice=AdvicePolicy(20.0, 0.5, 2_000.0))
JOB = "00000000000000aa"


def entry(worker_id, cpu=10_000, memory=100_000, **fields):
    """Return a worker's directory entry."""
    values = {
        "service": "service",
        "address": f"{worker_id}:1",
        "zone": "zone",
        "labels": ("a", "rack-1"),
        "rack": "rack-1",
        "draining": False,
        "remaining_ms": 0,
        "incarnation": 1_000,
    }
    values.update(fields)
    return WorkerEntry(
        worker_id=worker_id, capacity=Resources(cpu, memory, 0), **values
    )


def step(width=1, cpu=1_000, memory=100, **fields):
    """Return a step; its tasks are small unless the arguments say otherwise."""
    return StepSpec(width=width, need=Resources(cpu, memory), **fields)


def job(*steps, queue=URGENT, job_id=JOB, epoch=1, workspace="", accepted_ms=0):
    """Return an accepted job."""
    spec = JobSpec(job_id, "payload", steps)
    return AcceptedJob(spec, queue, epoch, accepted_ms, workspace=workspace)


class FleetHarness:
    """A scheduler with a simulated clock, which all workers share."""

    def __init__(self, *entries, epoch=1, roster=None, settings=None, ended=()):
        self.now_ms = 10_000.0
        self.entries = entries
        roster = (
            {
                each.worker_id: RosterEntry(each.address, None, each.zone)
                for each in entries
            }
            if roster is None
            else roster
        )
        self.scheduler = FleetScheduler(
            settings or FleetSettings(),
            epoch,
            roster,
            self.now_ms,
            ended_leaders=ended,
        )
        self.scheduler.handle(WorkersListed(entries), self.now_ms)
        self.effects = []

    def handle(self, event):
        self.scheduler.handle(event, self.now_ms)
        return self._take_effects()

    def report_all(self):
        for each in self.entries:
            self.report(each.worker_id)

    def report(
        self,
        worker_id,
        running=(),
        ended=(),
        *,
        incarnation=1_000,
        clock_ms=None,
        polled_ms=None,
        restarts=0,
    ):
        """Report with the reply to a poll that was sent after `restarts` restarts."""
        clock_ms = int(self.now_ms) if clock_ms is None else clock_ms
        polled_ms = self.now_ms if polled_ms is None else polled_ms
        return self.handle(
            WorkerReport(
                worker_id,
                clock_ms,
                incarnation,
                tuple(running),
                tuple(ended),
                polled_ms,
                restarts,
            )
        )

    def accept(self, accepted, progress: Progress | None = None):
        return self.handle(JobAccepted(accepted, progress))

    def configure(self, *workspaces, inherited=None):
        """Apply a configuration with these workspaces.

        Earlier leaders held each of them within the quota `inherited`, if it is given.
        """
        queues = {each.name: each for each in (URGENT, LONG_RUNNING, BACKGROUND)}
        by_name = {each.name: each for each in workspaces}
        quotas = None if inherited is None else dict.fromkeys(by_name, inherited)
        return self.handle(QueuesChanged(queues, by_name, quotas))

    def dispatch(self):
        self.scheduler.dispatch(self.now_ms)
        return self._take_effects()

    def advance(self, for_ms):
        self.now_ms += for_ms
        return self.handle(Tick(0))

    def open_steps(self):
        """Return the steps that have no incomplete predecessor and are not done."""
        return list(self.scheduler._fleet.open_steps.values())

    def dispatch_starts(self):
        """Run a scheduling pass and return its start commands."""
        return [each for each in self.dispatch() if isinstance(each, StartRun)]

    def confirm_start(self, command):
        """Send the scheduler the reply that the worker executed a start command."""
        return self.reply_to_start(command, StartResult.STARTED)

    def reply_to_start(self, command, result, clock_ms=None):
        clock_ms = int(self.now_ms) if clock_ms is None else clock_ms
        return self.handle(
            StartReplied(command.worker_id, command.task, command.run, result, clock_ms)
        )

    def reply_with_advice(self, request: RequestAdvice, tickets):
        return self.handle(AdviceReplied(*request[:4], tickets, self.now_ms))

    def commit(self):
        """Begin a commit, apply its success and return it."""
        commit = self.scheduler.begin_commit(100)
        self.scheduler.commit_succeeded(commit, self.now_ms, self.now_ms)
        return commit

    def _take_effects(self):
        return self.scheduler.take_effects()


def running(command, percent=10, checkpoint="", load=0):
    """Return the entry of a started run in a worker's report."""
    return RunningTask(command.task, command.run, checkpoint, percent, load)


def ended(number, command, kind=TerminationReason.DONE, checkpoint=""):
    """Return the termination of a started run in a worker's report."""
    return TerminatedRun(number, command.task, command.run, kind, checkpoint)


def stops(effects):
    """Return the stop commands in a list of effects."""
    return [each for each in effects if isinstance(each, StopRun)]


def task(task_index=0, step_number=0, job_id=JOB):
    """Return the key of a task."""
    return TaskKey(job_id, 0, step_number, task_index)
