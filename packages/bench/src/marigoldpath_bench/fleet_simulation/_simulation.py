"""The simulation of a cell: a queue of leaders' and workers' messages on one clock."""

import heapq
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from marigoldpath_core.fleet import (
    Commit,
    Effect,
    EndedLeaders,
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    JobCancelled,
    JobsRead,
    QueuesChanged,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    Tick,
    WorkerPoll,
    WorkersListed,
    WorkerUnresponsive,
    fencing_token,
)
from marigoldpath_core.jobs import (
    AcceptedJob,
    JobState,
    Queue,
    Resources,
    TaskKey,
    Workspace,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.workspaces import QuotaHistory

from ._oracle import Oracle
from ._store import SimulatedStore
from ._worker import SimulatedWorker
from ._workspaces import MAX_APPLY_MS

# How long a worker lives after the start of a task that crashes it.
CRASH_DELAY_MS = 10.0

# The configured queue; jobs keep the queues under which they were accepted.
QUEUES = {"simulated": Queue("simulated", "service", 0, 3, 1.5, 300)}

effect_handlers: Registry = Registry("effect in the simulated cell")


class FleetSimulationSettings(NamedTuple):
    """The size of a cell and its message faults.

    `delay_ms` is the longest delay of a message, and the rates are probabilities.
    `stale_epoch_rate` applies to jobs: the accepting host does not know the newest
    leader epoch. Some jobs are confined to one of `zones` availability zones.
    A leader's clock is up to `clock_ahead_ms` ahead or `clock_behind_ms` behind, and
    its first Tick comes `first_tick_ms` after it has loaded the jobs.
    """

    workers: int = 6
    cpu_millis: int = 16_000
    memory_mb: int = 64_000
    delay_ms: float = 10.0
    message_loss_rate: float = 0.0
    late_start_rate: float = 0.0
    stale_epoch_rate: float = 0.0
    zones: int = 1
    clock_ahead_ms: float = 0.0
    clock_behind_ms: float = 0.0
    first_tick_ms: float = 0.0
    fleet: FleetSettings = FleetSettings()


class SimulatedLeader:
    """A leader's scheduler, and the state of its commits and connections."""

    def __init__(
        self, scheduler: FleetScheduler, epoch: int, clock_offset_ms: float
    ) -> None:
        self.scheduler = scheduler
        self.epoch = epoch
        # How much its clock is ahead of the true time.
        self.clock_offset_ms = clock_offset_ms
        self.heartbeat = 0
        self.configuration_version = 0
        self.is_alive = True
        self.commit: Commit | None = None
        # What the commit in flight says of the earlier leaders.
        self.ended: tuple[EndedLeaders, ...] = ()
        self.partitioned_workers: set[str] = set()
        self.suspended_until_ms = 0.0
        # How long the leader will be suspended before it sends its next commands.
        self.next_suspension_ms = 0.0


class FleetSimulation:
    """Run a simulated cell; the seed determines the whole run."""

    def __init__(
        self, seed: int, settings: FleetSimulationSettings | None = None
    ) -> None:
        self.settings = settings or FleetSimulationSettings()
        self.random = Random(seed)
        self._host_random = Random(f"hosts {seed}")
        self._clock_random = Random(f"clocks {seed}")
        self._configuration_random = Random(f"configurations {seed}")
        self._configuration_version = 0
        self._workspaces: dict[str, Workspace] = {}
        self._quota_history = QuotaHistory()
        self.oracle = Oracle()
        self.store = SimulatedStore()
        self.leaders: list[SimulatedLeader] = []
        self.is_store_up = True
        capacity = Resources(self.settings.cpu_millis, self.settings.memory_mb, 0)
        self.workers = {
            f"w{number}": SimulatedWorker(
                f"w{number}",
                capacity,
                self.oracle,
                self.random,
                f"zone-{number % self.settings.zones}",
            )
            for number in range(self.settings.workers)
        }
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    @property
    def leader(self) -> SimulatedLeader | None:
        """The newest leader that is alive."""
        alive = [leader for leader in self.leaders if leader.is_alive]
        return alive[-1] if alive else None

    def elect_leader(self) -> None:
        """Start a new leader with the jobs and the progress in the store."""
        store = self.store
        has_ended = not self.leaders or not self.leaders[-1].is_alive
        epoch = store.acquire_leadership(has_ended)
        scheduler = FleetScheduler(
            self.settings.fleet,
            epoch,
            store.roster,
            self.now_ms,
            ended_leaders=store.ended,
        )
        settings = self.settings
        offset_ms = self._clock_random.uniform(
            -settings.clock_behind_ms, settings.clock_ahead_ms
        )
        leader = SimulatedLeader(scheduler, epoch, offset_ms)
        self.leaders.append(leader)
        scheduler.handle(self._read_clock(leader), self.now_ms)
        self._send_configuration(leader)
        for job_id, job in store.jobs.items():
            if job_id in store.cancelled:
                scheduler.handle(JobCancelled(job_id), self.now_ms)
            progress = store.progress.get(job_id)
            scheduler.handle(JobAccepted(job, progress), self.now_ms)
        self._list_workers(leader)
        if settings.first_tick_ms:
            self._schedule(settings.first_tick_ms, lambda: self._tick(leader))
        else:
            self._tick(leader)
        self._commit(leader)
        for worker_id in self.workers:
            self._poll(leader, worker_id)

    def submit(self, job: AcceptedJob) -> None:
        """Store a job and send it to the leader, unless the message is lost."""
        known_epoch = self.store.leader[0]
        known_epoch -= (
            known_epoch > 1
            and self._host_random.random() < self.settings.stale_epoch_rate
        )
        job = job._replace(epoch=known_epoch, zone=self._choose_zone())
        self.store.jobs[job.spec.job_id] = job
        self.oracle.record_job(job)
        for leader in self.leaders:
            if leader.epoch > known_epoch:
                continue
            if leader.is_alive and not self._is_lost():
                self._send_to_leader(leader, JobAccepted(job))

    def _choose_zone(self) -> str:
        """Return a random availability zone, or none in a third of the cases."""
        zones = self.settings.zones
        if zones == 1 or self._host_random.random() < 1 / 3:
            return ""
        return f"zone-{self._host_random.randrange(zones)}"

    def cancel(self, job_id: str) -> None:
        """Store a cancellation and send it to the leaders."""
        self.store.cancelled.add(job_id)
        self.oracle.cancelled[job_id] = self.now_ms
        for leader in self.leaders:
            if leader.is_alive:
                self._send_to_leader(leader, JobCancelled(job_id))

    def configure(self, workspaces: dict[str, Workspace]) -> None:
        """Store a version with these workspaces, which the leaders read later."""
        self._configuration_version += 1
        self._workspaces = workspaces
        self.oracle.quotas.add(workspaces, self.now_ms)
        self._quota_history.record(workspaces, self.now_ms)
        for leader in self.leaders:
            if leader.is_alive:
                self._send_configuration(leader)

    def _send_configuration(self, leader: SimulatedLeader) -> None:
        if not self._configuration_version:
            return
        version, workspaces = self._configuration_version, self._workspaces
        self._schedule(
            self._configuration_random.uniform(0, MAX_APPLY_MS),
            lambda: self._apply_configuration(leader, version, workspaces),
        )

    def _apply_configuration(
        self,
        leader: SimulatedLeader,
        version: int,
        workspaces: dict[str, Workspace],
    ) -> None:
        # A suspended leader reads the versions when it resumes, in any order.
        if self._is_deferred(
            leader, lambda: self._apply_configuration(leader, version, workspaces)
        ):
            return
        if leader.configuration_version >= version:
            return
        inherited_quotas = None
        if not leader.configuration_version:
            inherited_quotas = self._quota_history.largest(self.now_ms)
        leader.configuration_version = version
        self._handle(leader, QueuesChanged(QUEUES, workspaces, inherited_quotas))

    def suspend(
        self, leader: SimulatedLeader, for_ms: float, *, before_sending: bool
    ) -> None:
        """Suspend a leader, at once or between its next decision and the sending."""
        if before_sending:
            leader.next_suspension_ms = for_ms
        else:
            leader.suspended_until_ms = self.now_ms + for_ms

    def _is_deferred(self, leader: SimulatedLeader, action: Callable[[], None]) -> bool:
        """Schedule an action of a suspended leader for the time when it resumes."""
        suspended_ms = leader.suspended_until_ms - self.now_ms
        if suspended_ms <= 0:
            return False
        self._schedule(suspended_ms, action)
        return True

    def run(self, for_ms: float) -> None:
        """Process the messages of the next `for_ms` milliseconds."""
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def states(self) -> dict[str, JobState | None]:
        """Return the state of each job at the leader."""
        leader = self.leader
        if leader is None:
            return {}
        return {
            job_id: leader.scheduler.job_state(job_id) for job_id in self.store.jobs
        }

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, action))

    def _delay_ms(self) -> float:
        return self.random.uniform(0.2, self.settings.delay_ms)

    def _is_lost(self) -> bool:
        return self.random.random() < self.settings.message_loss_rate

    def _send_to_leader(self, leader: SimulatedLeader, event: object) -> None:
        self._schedule(self._delay_ms(), lambda: self._handle(leader, event))

    def _handle(self, leader: SimulatedLeader, event: object) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._handle(leader, event)):
            return
        leader.scheduler.handle(event, self.now_ms)  # type: ignore[arg-type]
        self._execute_effects(leader)

    def _execute_effects(self, leader: SimulatedLeader) -> None:
        effects = [
            each
            for each in leader.scheduler.take_effects()
            if type(each) in effect_handlers
        ]
        if effects and leader.next_suspension_ms:
            self.suspend(leader, leader.next_suspension_ms, before_sending=False)
            leader.next_suspension_ms = 0.0
        self._send_effects(leader, effects)

    def _send_effects(self, leader: SimulatedLeader, effects: list[Effect]) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._send_effects(leader, effects)):
            return
        for effect in effects:
            effect_handlers.get(type(effect))(self, leader, effect)
        if leader.scheduler.is_superseded:
            leader.is_alive = False

    def _tick(self, leader: SimulatedLeader) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._tick(leader)):
            return
        self._handle(leader, self._read_clock(leader))
        if leader.is_alive:
            leader.scheduler.dispatch(self.now_ms)
            self._execute_effects(leader)
            self._schedule(50, lambda: self._tick(leader))

    def _read_clock(self, leader: SimulatedLeader) -> Tick:
        return Tick(max(0, int(self.now_ms + leader.clock_offset_ms)))

    def _list_workers(self, leader: SimulatedLeader) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._list_workers(leader)):
            return
        entries = tuple(worker.entry for worker in self.workers.values())
        self._handle(leader, WorkersListed(entries))
        self._resynchronize(leader)
        self._schedule(1_000, lambda: self._list_workers(leader))

    def _resynchronize(self, leader: SimulatedLeader) -> None:
        if not self.is_store_up:
            return
        for job in list(self.store.jobs.values()):
            self._handle(leader, JobAccepted(job))
        for job_id in list(self.store.cancelled):
            self._handle(leader, JobCancelled(job_id))
        self._handle(leader, JobsRead(self.now_ms))

    def _commit(self, leader: SimulatedLeader) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._commit(leader)):
            return
        self._schedule(80, lambda: self._commit(leader))
        if leader.commit is None:
            leader.commit = leader.scheduler.begin_commit(40)
            leader.ended = leader.scheduler.ended_leaders(self.now_ms)
        if not self.is_store_up:
            return
        commit, sent_ms = leader.commit, self.now_ms
        expected = (leader.epoch, leader.heartbeat)
        applied = self.store.leader == (leader.epoch, leader.heartbeat + 1)
        if not applied and not self.store.commit(expected, commit, leader.ended):
            leader.is_alive = False
            return
        if not self._is_lost():
            leader.heartbeat += 1
            leader.commit = None
            leader.scheduler.commit_succeeded(commit, sent_ms, self.now_ms)

    def _poll(self, leader: SimulatedLeader, worker_id: str) -> None:
        if not leader.is_alive:
            return
        if self._is_deferred(leader, lambda: self._poll(leader, worker_id)):
            return
        polled_ms = self.now_ms
        command = leader.scheduler.next_poll(worker_id, polled_ms)
        if command is None:
            self._schedule(500, lambda: self._poll(leader, worker_id))
            return
        if worker_id in leader.partitioned_workers or self._is_lost():
            self._schedule(700, lambda: self._fail_poll(leader, worker_id))
            return
        incarnation = self.workers[worker_id].incarnation_count
        self._schedule(
            self._delay_ms(),
            lambda: self._execute_poll(
                leader, worker_id, command, incarnation, polled_ms
            ),
        )

    def _fail_poll(self, leader: SimulatedLeader, worker_id: str) -> None:
        self._handle(leader, WorkerUnresponsive(worker_id))
        self._schedule(200, lambda: self._poll(leader, worker_id))

    def _execute_poll(
        self,
        leader: SimulatedLeader,
        worker_id: str,
        command: WorkerPoll,
        incarnation: int,
        polled_ms: float,
    ) -> None:
        if self.workers[worker_id].incarnation_count != incarnation:
            # The pooled connection closed when the worker restarted.
            self._schedule(50, lambda: self._fail_poll(leader, worker_id))
            return
        token = fencing_token(leader.epoch, command.restarts)
        report = self.workers[worker_id].poll(token, command, self.now_ms)
        if report is None:
            if leader.scheduler.is_fenced(worker_id, command.restarts):
                leader.is_alive = False
            else:
                self._schedule(50, lambda: self._poll(leader, worker_id))
            return
        if self._is_lost():
            self._schedule(700, lambda: self._fail_poll(leader, worker_id))
            return
        reply_ms = self._delay_ms()
        report = report._replace(polled_ms=polled_ms, restarts=command.restarts)
        self._schedule(reply_ms, lambda: self._handle(leader, report))
        # A leader sends the next poll after it has read the reply to the last one.
        self._schedule(
            reply_ms + self.random.uniform(20, 300),
            lambda: self._poll(leader, worker_id),
        )

    @effect_handlers.register(StartRun)
    def _start(self, leader: SimulatedLeader, command: StartRun) -> None:
        if command.worker_id in leader.partitioned_workers:
            self._send_to_leader(
                leader, self._start_reply(command, StartResult.NOT_SENT)
            )
            return
        delay_ms = self._delay_ms()
        if self.random.random() < self.settings.late_start_rate:
            self._schedule(700, lambda: self._lose_reply(leader, command))
            incarnation = self.workers[command.worker_id].incarnation_count
            self._schedule(
                self.random.uniform(2_000, 12_000),
                lambda: self._execute_late_start(leader, command, incarnation),
            )
            return
        self._schedule(delay_ms, lambda: self._execute_start(leader, leader, command))

    def _execute_late_start(
        self, leader: SimulatedLeader, command: StartRun, incarnation: int
    ) -> None:
        # The connection that carries a late command closes when the worker restarts.
        if self.workers[command.worker_id].incarnation_count == incarnation:
            self._execute_start(None, leader, command)

    def _execute_start(
        self,
        recipient: SimulatedLeader | None,
        sender: SimulatedLeader,
        command: StartRun,
    ) -> None:
        spec = self.store.jobs[command.task.job_id].spec.steps[command.task.step]
        # The oracle compares the new run with the task's runs on all workers, so each
        # worker must first terminate the runs whose lease has expired.
        for each in self.workers.values():
            each.advance(self.now_ms)
        worker = self.workers[command.worker_id]
        if worker.entry.incarnation != command.incarnation:
            # The command's connection closed with the incarnation that it was sent to.
            if recipient is not None:
                self._send_to_leader(
                    recipient,
                    self._start_reply(command, StartResult.INCARNATION_MISMATCH),
                )
            return
        token = fencing_token(sender.epoch, command.restarts)
        result, clock_ms = worker.start(command, token, spec, self.now_ms)
        if result is StartResult.STARTED and self.oracle.is_crashing(command.task):
            incarnation = worker.incarnation_count
            self._schedule(
                CRASH_DELAY_MS, lambda: self._crash(worker, incarnation, command.task)
            )
        if recipient is None:
            return
        if self._is_lost():
            self._schedule(700, lambda: self._lose_reply(recipient, command))
            return
        self._send_to_leader(recipient, self._start_reply(command, result, clock_ms))

    def _crash(self, worker: SimulatedWorker, incarnation: int, task: TaskKey) -> None:
        if worker.incarnation_count == incarnation:
            self.oracle.record_crash(task, self.now_ms)
            worker.restart(self.now_ms)

    def _lose_reply(self, leader: SimulatedLeader, command: StartRun) -> None:
        self._handle(leader, self._start_reply(command, StartResult.UNKNOWN))

    def _start_reply(
        self, command: StartRun, result: StartResult, clock_ms: int = 0
    ) -> StartReplied:
        return StartReplied(
            command.worker_id,
            command.task,
            command.run,
            result,
            clock_ms,
            command.restarts,
        )

    @effect_handlers.register(StopRun)
    def _stop(self, leader: SimulatedLeader, command: StopRun) -> None:
        if command.worker_id in leader.partitioned_workers or self._is_lost():
            return
        self._schedule(self._delay_ms(), lambda: self._execute_stop(leader, command))

    def _execute_stop(self, leader: SimulatedLeader, command: StopRun) -> None:
        worker = self.workers[command.worker_id]
        token = fencing_token(leader.epoch, command.restarts)
        clock_ms = worker.stop(command, token, self.now_ms)
        if clock_ms is not None and not self._is_lost():
            reply = StopReplied(
                command.worker_id,
                command.task,
                command.run,
                clock_ms,
                command.restarts,
            )
            self._send_to_leader(leader, reply)
