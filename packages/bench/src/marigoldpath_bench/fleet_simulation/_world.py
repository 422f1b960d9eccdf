"""Leaders, workers and messages on one simulated clock."""

import heapq
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from marigoldpath_core.fleet import (
    Commit,
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    JobCancelled,
    JobsRead,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    Tick,
    WorkerPoll,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import AcceptedJob, JobState, Resources
from marigoldpath_core.registry import Registry

from ._oracle import Oracle
from ._store import SimulatedStore
from ._worker import SimulatedWorker

performers: Registry = Registry("effect in the simulated cell")


class FleetSimulationSettings(NamedTuple):
    """The size of a cell, the longest delay of a message and the share of lost ones.

    `unaware` is the share of jobs whose accepting host has not heard of the newest
    leader. Some jobs are confined to one of `zones` availability zones.
    """

    workers: int = 6
    cpu_millis: int = 16_000
    memory_mb: int = 64_000
    delay_ms: float = 10.0
    lost: float = 0.0
    late: float = 0.0
    unaware: float = 0.0
    zones: int = 1
    fleet: FleetSettings = FleetSettings()


class SimulatedLeader:
    """A scheduler with the loops that a leading process runs."""

    def __init__(self, scheduler: FleetScheduler, epoch: int) -> None:
        self.scheduler = scheduler
        self.epoch = epoch
        self.beat = 0
        self.is_alive = True
        self.commit: Commit | None = None
        self.cut: set[str] = set()


class FleetSimulation:
    """Runs a cell; the same seed gives the same run."""

    def __init__(
        self, seed: int, settings: FleetSimulationSettings | None = None
    ) -> None:
        self.settings = settings or FleetSimulationSettings()
        self.random = Random(seed)
        self._hosts = Random(f"hosts {seed}")
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
        self._order = 0

    @property
    def leader(self) -> SimulatedLeader | None:
        """The newest leader that is alive."""
        alive = [each for each in self.leaders if each.is_alive]
        return alive[-1] if alive else None

    def elect(self) -> None:
        """Let a new leader take over and load what is stored."""
        store = self.store
        epoch = store.take_over()
        scheduler = FleetScheduler(
            self.settings.fleet, epoch, store.roster, self.now_ms
        )
        leader = SimulatedLeader(scheduler, epoch)
        self.leaders.append(leader)
        scheduler.handle(Tick(int(self.now_ms)), self.now_ms)
        for job_id, job in store.jobs.items():
            if job_id in store.cancelled:
                scheduler.handle(JobCancelled(job_id), self.now_ms)
            progress = store.progress.get(job_id)
            scheduler.handle(JobAccepted(job, progress), self.now_ms)
        self._list_workers(leader)
        self._tick(leader)
        self._commit(leader)
        for worker_id in self.workers:
            self._look(leader, worker_id)

    def submit(self, job: AcceptedJob) -> None:
        """Store a job and tell the leader, unless the message is lost."""
        known = self.store.leader[0]
        known -= known > 1 and self._hosts.random() < self.settings.unaware
        job = job._replace(epoch=known, zone=self._choose_zone())
        self.store.jobs[job.spec.job_id] = job
        self.oracle.record_job(job)
        for leader in self.leaders:
            if leader.epoch > known:
                continue
            if leader.is_alive and not self._is_lost():
                self._tell(leader, JobAccepted(job))

    def _choose_zone(self) -> str:
        """Return an availability zone, or none in a third of the cases."""
        zones = self.settings.zones
        if zones == 1 or self._hosts.random() < 1 / 3:
            return ""
        return f"zone-{self._hosts.randrange(zones)}"

    def cancel(self, job_id: str) -> None:
        """Store a cancellation and tell the leaders."""
        self.store.cancelled.add(job_id)
        self.oracle.cancelled[job_id] = self.now_ms
        for leader in self.leaders:
            if leader.is_alive:
                self._tell(leader, JobCancelled(job_id))

    def run(self, for_ms: float) -> None:
        """Let time pass."""
        end_ms = self.now_ms + for_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._queue)
            action()
        self.now_ms = end_ms

    def states(self) -> dict[str, JobState | None]:
        """Return what the leader tells of each job."""
        leader = self.leader
        if leader is None:
            return {}
        return {
            job_id: leader.scheduler.job_state(job_id) for job_id in self.store.jobs
        }

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._order, action))

    def _delay_ms(self) -> float:
        return self.random.uniform(0.2, self.settings.delay_ms)

    def _is_lost(self) -> bool:
        return self.random.random() < self.settings.lost

    def _tell(self, leader: SimulatedLeader, event: object) -> None:
        self._later(self._delay_ms(), lambda: self._handle(leader, event))

    def _handle(self, leader: SimulatedLeader, event: object) -> None:
        if not leader.is_alive:
            return
        leader.scheduler.handle(event, self.now_ms)  # type: ignore[arg-type]
        self._perform(leader)

    def _perform(self, leader: SimulatedLeader) -> None:
        for effect in leader.scheduler.take_effects():
            if type(effect) in performers:
                performers.get(type(effect))(self, leader, effect)
        if leader.scheduler.is_superseded:
            leader.is_alive = False

    def _tick(self, leader: SimulatedLeader) -> None:
        if not leader.is_alive:
            return
        self._handle(leader, Tick(int(self.now_ms)))
        if leader.is_alive:
            leader.scheduler.dispatch(self.now_ms)
            self._perform(leader)
            self._later(50, lambda: self._tick(leader))

    def _list_workers(self, leader: SimulatedLeader) -> None:
        if not leader.is_alive:
            return
        entries = tuple(worker.entry for worker in self.workers.values())
        self._handle(leader, WorkersListed(entries))
        self._sweep(leader)
        self._later(1_000, lambda: self._list_workers(leader))

    def _sweep(self, leader: SimulatedLeader) -> None:
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
        self._later(80, lambda: self._commit(leader))
        if leader.commit is None:
            leader.commit = leader.scheduler.begin_commit(40)
        if not self.is_store_up:
            return
        commit, sent_ms = leader.commit, self.now_ms
        expected = (leader.epoch, leader.beat)
        applied = self.store.leader == (leader.epoch, leader.beat + 1)
        if not applied and not self.store.commit(expected, commit):
            leader.is_alive = False
            return
        if not self._is_lost():
            leader.beat += 1
            leader.commit = None
            leader.scheduler.commit_succeeded(commit, sent_ms, self.now_ms)

    def _look(self, leader: SimulatedLeader, worker_id: str) -> None:
        if not leader.is_alive:
            return
        order = leader.scheduler.next_poll(worker_id, self.now_ms)
        if order is None:
            self._later(500, lambda: self._look(leader, worker_id))
            return
        if worker_id in leader.cut or self._is_lost():
            self._later(700, lambda: self._fail_look(leader, worker_id))
            return
        life = self.workers[worker_id].incarnation_count
        self._later(
            self._delay_ms(),
            lambda: self._carry_out_look(leader, worker_id, order, life),
        )

    def _fail_look(self, leader: SimulatedLeader, worker_id: str) -> None:
        self._handle(leader, WorkerUnresponsive(worker_id))
        self._later(200, lambda: self._look(leader, worker_id))

    def _carry_out_look(
        self, leader: SimulatedLeader, worker_id: str, order: WorkerPoll, life: int
    ) -> None:
        if self.workers[worker_id].incarnation_count != life:
            # The kept connection ended with the worker's life.
            self._later(50, lambda: self._fail_look(leader, worker_id))
            return
        report = self.workers[worker_id].look(leader.epoch, order, self.now_ms)
        if report is None:
            leader.is_alive = False
            return
        if self._is_lost():
            self._later(700, lambda: self._fail_look(leader, worker_id))
            return
        self._tell(leader, report)
        self._later(self.random.uniform(20, 300), lambda: self._look(leader, worker_id))

    @performers.register(StartRun)
    def _start(self, leader: SimulatedLeader, order: StartRun) -> None:
        if order.worker_id in leader.cut:
            self._tell(leader, self._answer(order, StartResult.NOT_SENT))
            return
        delay_ms = self._delay_ms()
        if self.random.random() < self.settings.late:
            self._later(700, lambda: self._lose_answer(leader, order))
            life = self.workers[order.worker_id].incarnation_count
            self._later(
                self.random.uniform(2_000, 12_000),
                lambda: self._carry_out_late(leader, order, life),
            )
            return
        self._later(delay_ms, lambda: self._carry_out_start(leader, leader, order))

    def _carry_out_late(
        self, leader: SimulatedLeader, order: StartRun, life: int
    ) -> None:
        # The connection that holds a late order ends with the worker's life.
        if self.workers[order.worker_id].incarnation_count == life:
            self._carry_out_start(None, leader, order)

    def _carry_out_start(
        self, told: SimulatedLeader | None, sender: SimulatedLeader, order: StartRun
    ) -> None:
        spec = self.store.jobs[order.task.job_id].spec.steps[order.task.step]
        # Leases that are over end runs, also where nobody has looked since.
        for each in self.workers.values():
            each.advance(self.now_ms)
        worker = self.workers[order.worker_id]
        if worker.entry.incarnation != order.incarnation:
            # The connection of the order ended with the life that it was meant for.
            if told is not None:
                self._tell(told, self._answer(order, StartResult.INCARNATION_MISMATCH))
            return
        result, clock_ms = worker.start(order, sender.epoch, spec, self.now_ms)
        if told is None:
            return
        if self._is_lost():
            self._later(700, lambda: self._lose_answer(told, order))
            return
        self._tell(told, self._answer(order, result, clock_ms))

    def _lose_answer(self, leader: SimulatedLeader, order: StartRun) -> None:
        self._handle(leader, self._answer(order, StartResult.UNKNOWN))

    def _answer(
        self, order: StartRun, result: StartResult, clock_ms: int = 0
    ) -> StartReplied:
        return StartReplied(order.worker_id, order.task, order.run, result, clock_ms)

    @performers.register(StopRun)
    def _stop(self, leader: SimulatedLeader, order: StopRun) -> None:
        if order.worker_id in leader.cut or self._is_lost():
            return
        self._later(self._delay_ms(), lambda: self._carry_out_stop(leader, order))

    def _carry_out_stop(self, leader: SimulatedLeader, order: StopRun) -> None:
        worker = self.workers[order.worker_id]
        clock_ms = worker.stop(order, leader.epoch, self.now_ms)
        if clock_ms is not None and not self._is_lost():
            answer = StopReplied(order.worker_id, order.task, order.run, clock_ms)
            self._tell(leader, answer)
