"""A seeded search for orders of faults that break a rule of the cell."""

from random import Random

from marigoldpath_core.jobs import AcceptedJob, Queue
from marigoldpath_core.registry import Registry

from ._jobs import random_job
from ._oracle import Violation
from ._simulation import FleetSimulation, FleetSimulationSettings

faults: Registry = Registry("fault of the simulated cell")
# Faults end some time before the checks, so that everything can be repaired.
REPAIR_MS = 60_000
# Share of jobs that are accepted by a host which has not heard of the newest leader.
UNAWARE = 0.2
GANG_SHARE = 0.1
ZONES = 2
URGENT = Queue("urgent", "service", 0, 3, 1.5, 300)
BACKGROUND = Queue("background", "service", 2, 3, 2.2, 1_200)


class FleetSearch:
    """One run of random jobs under random faults."""

    def __init__(self, seed: int, unaware: float = UNAWARE, zones: int = ZONES) -> None:
        self._random = Random(f"fleet {seed}")
        lost = self._random.choice([0.0, 0.02, 0.1])
        late = self._random.choice([0.0, 0.05, 0.2])
        delay_ms = self._random.choice([5.0, 40.0, 400.0])
        settings = FleetSimulationSettings(
            lost=lost, late=late, delay_ms=delay_ms, unaware=unaware, zones=zones
        )
        self._world = FleetSimulation(seed, settings)
        self._jobs = 0

    @property
    def simulation(self) -> FleetSimulation:
        """The cell that is searched."""
        return self._world

    def run(self, steps: int) -> list[Violation]:
        """Return the rules that were broken."""
        simulation = self._world
        simulation.elect()
        for _ in range(steps):
            simulation.run(self._random.uniform(20, 400))
            if self._random.random() < 0.5:
                self._submit()
            if self._random.random() < 0.12:
                name = self._random.choice(sorted(faults))
                faults.get(name)(self)
            if simulation.leader is None:
                simulation.run(self._random.uniform(100, 6_000))
                simulation.elect()
        self._repair()
        return simulation.oracle.faults(simulation.states())

    def _submit(self) -> None:
        self._jobs += 1
        queue = self._random.choice([URGENT, BACKGROUND])
        gangs = GANG_SHARE if queue is BACKGROUND else 0.0
        spec = random_job(self._random, f"{self._jobs:016x}", gangs)
        self._world.submit(AcceptedJob(spec, queue, 0, int(self._world.now_ms)))

    def _repair(self) -> None:
        simulation = self._world
        for worker in simulation.workers.values():
            worker.fails_all_runs = False
        simulation.is_store_up = True
        simulation.settings = simulation.settings._replace(lost=0.0, late=0.0)
        for leader in simulation.leaders:
            leader.cut.clear()
        simulation.run(3_000)
        if simulation.leader is None:
            simulation.elect()
        for _ in range(3):
            simulation.run(REPAIR_MS)

    @faults.register("kill the leader")
    def _kill_leader(self) -> None:
        if self._world.leader is not None:
            self._world.leader.is_alive = False

    @faults.register("elect a second leader")
    def _elect(self) -> None:
        self._world.elect()

    @faults.register("restart a worker")
    def _restart_worker(self) -> None:
        worker = self._random.choice(list(self._world.workers.values()))
        worker.restart(self._world.now_ms)

    @faults.register("cut workers off from the leader")
    def _cut(self) -> None:
        if self._world.leader is not None:
            names = list(self._world.workers)
            self._world.leader.cut = set(self._random.sample(names, 2))

    @faults.register("heal the cut")
    def _heal(self) -> None:
        for leader in self._world.leaders:
            leader.cut = set()

    @faults.register("the store goes down or up")
    def _switch_store(self) -> None:
        self._world.is_store_up = not self._world.is_store_up

    @faults.register("a worker fails all")
    def _fail_all(self) -> None:
        worker = self._random.choice(list(self._world.workers.values()))
        worker.fails_all_runs = not worker.fails_all_runs

    @faults.register("cancel a job")
    def _cancel(self) -> None:
        if self._world.store.jobs:
            self._world.cancel(self._random.choice(list(self._world.store.jobs)))
