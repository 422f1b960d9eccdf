"""The operations of a search, in a registry, and the search itself."""

import random
from collections.abc import Callable
from typing import Any

from marigoldpath_bench.worker import Behaviour
from marigoldpath_bench.zone_simulation import Callers, Faults, World, WorldSettings
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

from ._checks import Findings, check_world

HEAL_MS = 60_000
PAUSES_MS = (50, 100, 500, 2_000)
TABLE = "table"

operations: Registry[str, Callable[["Search"], None]] = Registry("operation")


class Search:
    """A world with callers, on which seeded operations are carried out."""

    def __init__(self, seed: int, settings: WorldSettings | None = None) -> None:
        self.random = random.Random(seed)
        self.world = World(settings or WorldSettings(), Faults(seed))
        self.callers = Callers(self.world)
        self.number = 0
        self.steps: list[str] = []

    @property
    def faults(self) -> Faults:
        """The faults of the world."""
        return self.world.faults

    def run(self, steps: int) -> Findings:
        """Carry out `steps` operations by chance, heal everything, and judge."""
        names = list(operations)
        weights = [6 if name.startswith("submit") else 1 for name in names]
        for _ in range(steps):
            self.step(self.random.choices(names, weights)[0])
        return self.finish()

    def step(self, name: str) -> None:
        """Carry out one operation and let some time pass."""
        self.steps.append(f"{self.world.now_ms} {name}")
        operations.get(name)(self)
        self.callers.run(self.random.choice(PAUSES_MS))

    def finish(self) -> Findings:
        """Heal everything, let all requests come to an end, and judge."""
        self.heal()
        self.callers.run(HEAL_MS)
        return check_world(self.world, self.callers)

    def heal(self) -> None:
        """End every fault that is still on."""
        faults = self.faults
        faults.lost_requests = faults.lost_replies = faults.doubled_events = 0.0
        faults.most_delay_ms = 8
        faults.table_down = faults.table_loses_answers = False
        faults.cut.clear()
        faults.muted.clear()
        self.world.gone.clear()
        self.world.leaving.clear()
        for machine in self.world.machines.values():
            machine.set_behaviour(Behaviour())
        for name in self.world.host_names:
            self.world.wake(name)

    def host(self) -> str:
        """Return some host."""
        return self.random.choice(self.world.host_names)

    def worker(self) -> str:
        """Return some worker."""
        return self.random.choice(list(self.world.machines))

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
def submit_check(search: Search) -> None:
    """A repeatable request whose caller waits."""
    for _ in range(search.random.randint(1, 8)):
        search.submit()


@operations.register("submit_once")
def submit_once(search: Search) -> None:
    """A request that is not repeatable."""
    for _ in range(search.random.randint(1, 4)):
        search.submit(kind="cord_path_plan", repeatable=False)


@operations.register("submit_plan")
def submit_plan(search: Search) -> None:
    """A request that is accepted to wait."""
    search.submit(kind="cord_path_plan", wait=False)


@operations.register("submit_short")
def submit_short(search: Search) -> None:
    """A request with a short deadline."""
    search.submit(deadline_ms=search.random.choice((50, 500, 2_000)))


@operations.register("submit_gang")
def submit_gang(search: Search) -> None:
    """An all-at-once job."""
    search.submit(tasks=search.random.randint(2, 5), size=Size(16_000, 20_000, 0, 1, 1))


@operations.register("ask_again")
def ask_again(search: Search) -> None:
    """A caller that comes back although it may know the end."""
    if search.number:
        search.callers.ask(f"r{search.random.randint(1, search.number)}")


@operations.register("cancel")
def cancel(search: Search) -> None:
    """A caller that cancels."""
    if search.number:
        search.callers.cancel(f"r{search.random.randint(1, search.number)}")


@operations.register("kill_host")
def kill_host(search: Search) -> None:
    """A host that dies and is replaced."""
    name = search.host()
    search.world.kill(name)
    search.world.add_host(f"h{len(search.steps)}")


@operations.register("pause_host")
def pause_host(search: Search) -> None:
    """A host that stops for a while."""
    search.world.pause(search.host())


@operations.register("wake_hosts")
def wake_hosts(search: Search) -> None:
    """All stopped hosts go on."""
    for name in search.world.host_names:
        search.world.wake(name)


@operations.register("table_down")
def table_down(search: Search) -> None:
    """The platform does not answer, or answers again."""
    search.faults.table_down = not search.faults.table_down


@operations.register("table_loses_answers")
def table_loses_answers(search: Search) -> None:
    """Writes take effect and their answers are lost, or no longer."""
    search.faults.table_loses_answers = not search.faults.table_loses_answers


@operations.register("cut_host_from_table")
def cut_host_from_table(search: Search) -> None:
    """One host loses the platform."""
    search.faults.cut.add((search.host(), TABLE))


@operations.register("cut_host_from_worker")
def cut_host_from_worker(search: Search) -> None:
    """One host loses one worker."""
    search.faults.cut.add((search.host(), search.worker()))


@operations.register("mute_worker")
def mute_worker(search: Search) -> None:
    """A worker hears requests and its replies are lost, or no longer."""
    search.faults.muted ^= {search.worker()}


@operations.register("join")
def join(search: Search) -> None:
    """All cuts end."""
    search.faults.cut.clear()


@operations.register("lose_messages")
def lose_messages(search: Search) -> None:
    """Some requests and replies are lost, and some events seen twice."""
    search.faults.lost_requests = search.random.choice((0.0, 0.05))
    search.faults.lost_replies = search.random.choice((0.0, 0.05, 0.2))
    search.faults.doubled_events = search.random.choice((0.0, 0.1))


@operations.register("delay_messages")
def delay_messages(search: Search) -> None:
    """Messages take longer, and so cross each other."""
    search.faults.most_delay_ms = search.random.choice((8, 100, 900))


@operations.register("restart_worker")
def restart_worker(search: Search) -> None:
    """A worker restarts and forgets everything."""
    search.world.restart_worker(search.worker())


@operations.register("worker_fails_all")
def worker_fails_all(search: Search) -> None:
    """A worker fails everything that it starts, or no longer."""
    machine = search.world.machines[search.worker()]
    machine.set_behaviour(Behaviour(fail=search.random.random() < 0.5))


@operations.register("late_answers")
def late_answers(search: Search) -> None:
    """A worker gives its answers late and twice."""
    machine = search.world.machines[search.worker()]
    machine.set_behaviour(Behaviour(answer_delay_ms=700, answers=2))


@operations.register("leave")
def leave(search: Search) -> None:
    """A worker is leaving, or one that was is back."""
    worker = search.worker()
    search.world.leaving ^= {worker}


@operations.register("drain_host")
def drain_host(search: Search) -> None:
    """A host stops gracefully and is replaced."""
    search.world.scheduler(search.host()).drain()
    search.world.add_host(f"h{len(search.steps)}")
