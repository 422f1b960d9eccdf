"""The operations of a search, in a registry, and the search itself."""

import random
from collections.abc import Callable
from typing import Any

from marigoldpath_bench.worker import RunFaults
from marigoldpath_bench.zone_simulation import (
    Callers,
    MessageFaults,
    ZoneSimulation,
    ZoneSimulationSettings,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

from ._checks import Findings, check_invariants

HEAL_MS = 60_000
PAUSES_MS = (50, 100, 500, 2_000)
TABLE = "table"

operations: Registry[str, Callable[["ZoneSearch"], None]] = Registry("operation")


class ZoneSearch:
    """A world with callers, on which seeded operations are carried out."""

    def __init__(
        self, seed: int, settings: ZoneSimulationSettings | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.simulation = ZoneSimulation(
            settings or ZoneSimulationSettings(), MessageFaults(seed)
        )
        self.callers = Callers(self.simulation)
        self.number = 0
        self.steps: list[str] = []

    @property
    def faults(self) -> MessageFaults:
        """The faults of the world."""
        return self.simulation.faults

    def run(self, steps: int) -> Findings:
        """Carry out `steps` operations by chance, heal everything, and judge."""
        names = list(operations)
        weights = [6 if name.startswith("submit") else 1 for name in names]
        for _ in range(steps):
            self.step(self.random.choices(names, weights)[0])
        return self.finish()

    def step(self, name: str) -> None:
        """Carry out one operation and let some time pass."""
        self.steps.append(f"{self.simulation.now_ms} {name}")
        operations.get(name)(self)
        self.callers.run(self.random.choice(PAUSES_MS))

    def finish(self) -> Findings:
        """Heal everything, let all requests come to an end, and judge."""
        self.heal()
        self.callers.run(HEAL_MS)
        return check_invariants(self.simulation, self.callers)

    def heal(self) -> None:
        """End every fault that is still on."""
        faults = self.faults
        faults.request_loss_rate = faults.reply_loss_rate = (
            faults.event_duplication_rate
        ) = 0.0
        faults.max_delay_ms = 8
        faults.table_down = faults.table_loses_replies = False
        faults.partitions.clear()
        faults.workers_losing_replies.clear()
        self.simulation.gone.clear()
        self.simulation.leaving.clear()
        for machine in self.simulation.workers.values():
            machine.set_run_faults(RunFaults())
        for name in self.simulation.host_names:
            self.simulation.resume(name)

    def host(self) -> str:
        """Return some host."""
        return self.random.choice(self.simulation.host_names)

    def worker(self) -> str:
        """Return some worker."""
        return self.random.choice(list(self.simulation.workers))

    def submit(self, **fields: Any) -> None:
        """Submit a request of some size and run time."""
        self.number += 1
        size = Size(
            self.random.choice((1_000, 8_000, 30_000)),
            self.random.choice((1_000, 60_000)),
            0,
            1,
            1,
        )
        work = {"run_ms": self.random.choice((0, 20, 300, 4_000))}
        fields.setdefault("size", size)
        self.callers.submit(f"r{self.number}", work=work, **fields)


@operations.register("submit_check")
def submit_check(search: ZoneSearch) -> None:
    """A repeatable request whose caller waits."""
    for _ in range(search.random.randint(1, 8)):
        search.submit()


@operations.register("submit_once")
def submit_once(search: ZoneSearch) -> None:
    """A request that is not repeatable."""
    for _ in range(search.random.randint(1, 4)):
        search.submit(kind="cord_path_plan", repeatable=False)


@operations.register("submit_plan")
def submit_plan(search: ZoneSearch) -> None:
    """A request that is accepted to wait."""
    search.submit(kind="cord_path_plan", wait=False)


@operations.register("submit_short")
def submit_short(search: ZoneSearch) -> None:
    """A request with a short deadline."""
    search.submit(deadline_ms=search.random.choice((50, 500, 2_000)))


@operations.register("submit_gang")
def submit_gang(search: ZoneSearch) -> None:
    """An all-at-once job."""
    search.submit(tasks=search.random.randint(2, 5), size=Size(16_000, 20_000, 0, 1, 1))


@operations.register("ask_again")
def ask_again(search: ZoneSearch) -> None:
    """A caller that comes back although it may know the end."""
    if search.number:
        search.callers.resubmit(f"r{search.random.randint(1, search.number)}")


@operations.register("cancel")
def cancel(search: ZoneSearch) -> None:
    """A caller that cancels."""
    if search.number:
        search.callers.cancel(f"r{search.random.randint(1, search.number)}")


@operations.register("kill_host")
def kill_host(search: ZoneSearch) -> None:
    """A host that dies and is replaced."""
    name = search.host()
    search.simulation.kill(name)
    search.simulation.add_host(f"h{len(search.steps)}")


@operations.register("pause_host")
def pause_host(search: ZoneSearch) -> None:
    """A host that stops for a while."""
    search.simulation.pause(search.host())


@operations.register("wake_hosts")
def wake_hosts(search: ZoneSearch) -> None:
    """All stopped hosts go on."""
    for name in search.simulation.host_names:
        search.simulation.resume(name)


@operations.register("table_down")
def table_down(search: ZoneSearch) -> None:
    """The platform does not answer, or answers again."""
    search.faults.table_down = not search.faults.table_down


@operations.register("table_loses_answers")
def table_loses_replies(search: ZoneSearch) -> None:
    """Writes take effect and their answers are lost, or no longer."""
    search.faults.table_loses_replies = not search.faults.table_loses_replies


@operations.register("cut_host_from_table")
def cut_host_from_table(search: ZoneSearch) -> None:
    """One host loses the platform."""
    search.faults.partitions.add((search.host(), TABLE))


@operations.register("cut_host_from_worker")
def cut_host_from_worker(search: ZoneSearch) -> None:
    """One host loses one worker."""
    search.faults.partitions.add((search.host(), search.worker()))


@operations.register("mute_worker")
def mute_worker(search: ZoneSearch) -> None:
    """A worker hears requests and its replies are lost, or no longer."""
    search.faults.workers_losing_replies ^= {search.worker()}


@operations.register("join")
def join(search: ZoneSearch) -> None:
    """All cuts end."""
    search.faults.partitions.clear()


@operations.register("lose_messages")
def lose_messages(search: ZoneSearch) -> None:
    """Some requests and replies are lost, and some events seen twice."""
    search.faults.request_loss_rate = search.random.choice((0.0, 0.05))
    search.faults.reply_loss_rate = search.random.choice((0.0, 0.05, 0.2))
    search.faults.event_duplication_rate = search.random.choice((0.0, 0.1))


@operations.register("delay_messages")
def delay_messages(search: ZoneSearch) -> None:
    """Messages take longer, and so cross each other."""
    search.faults.max_delay_ms = search.random.choice((8, 100, 900))


@operations.register("restart_worker")
def restart_worker(search: ZoneSearch) -> None:
    """A worker restarts and forgets everything."""
    search.simulation.restart_worker(search.worker())


@operations.register("worker_fails_all")
def worker_fails_all(search: ZoneSearch) -> None:
    """A worker fails everything that it starts, or no longer."""
    machine = search.simulation.workers[search.worker()]
    machine.set_run_faults(RunFaults(fail=search.random.random() < 0.5))


@operations.register("late_answers")
def late_answers(search: ZoneSearch) -> None:
    """A worker gives its answers late and twice."""
    machine = search.simulation.workers[search.worker()]
    machine.set_run_faults(RunFaults(answer_delay_ms=700, answers=2))


@operations.register("leave")
def leave(search: ZoneSearch) -> None:
    """A worker is leaving, or one that was is back."""
    worker = search.worker()
    search.simulation.leaving ^= {worker}


@operations.register("drain_host")
def drain_host(search: ZoneSearch) -> None:
    """A host stops gracefully and is replaced."""
    search.simulation.scheduler(search.host()).drain()
    search.simulation.add_host(f"h{len(search.steps)}")
