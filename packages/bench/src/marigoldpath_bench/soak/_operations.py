"""The registered operations of a search, and the search that executes them."""

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

RECOVERY_MS = 60_000
STEP_INTERVALS_MS = (50, 100, 500, 2_000)
TABLE = "table"

operations: Registry[str, Callable[["ZoneSearch"], None]] = Registry("operation")


class ZoneSearch:
    """Execute seeded operations on a simulated zone with callers."""

    def __init__(
        self, seed: int, settings: ZoneSimulationSettings | None = None
    ) -> None:
        self.random = random.Random(seed)
        self.simulation = ZoneSimulation(
            settings or ZoneSimulationSettings(), MessageFaults(seed)
        )
        self.callers = Callers(self.simulation)
        self.request_count = 0
        self.steps: list[str] = []

    @property
    def faults(self) -> MessageFaults:
        """The message faults of the simulation."""
        return self.simulation.faults

    def run(self, steps: int) -> Findings:
        """Execute `steps` random operations, clear all faults and check."""
        names = list(operations)
        weights = [6 if name.startswith("submit") else 1 for name in names]
        for _ in range(steps):
            self.step(self.random.choices(names, weights)[0])
        return self.finish()

    def step(self, name: str) -> None:
        """Execute one operation and run the simulation for a random time."""
        self.steps.append(f"{self.simulation.now_ms} {name}")
        operations.get(name)(self)
        self.callers.run(self.random.choice(STEP_INTERVALS_MS))

    def finish(self) -> Findings:
        """Clear all faults, wait for the open requests and check the invariants."""
        self.clear_faults()
        self.callers.run(RECOVERY_MS)
        return check_invariants(self.simulation, self.callers)

    def clear_faults(self) -> None:
        """Clear every active fault."""
        faults = self.faults
        faults.request_loss_rate = faults.reply_loss_rate = (
            faults.event_duplication_rate
        ) = 0.0
        faults.max_delay_ms = 8
        faults.table_down = faults.table_loses_replies = False
        faults.partitions.clear()
        faults.workers_losing_replies.clear()
        self.simulation.unlisted_workers.clear()
        self.simulation.draining_workers.clear()
        for worker in self.simulation.workers.values():
            worker.set_run_faults(RunFaults())
        for name in self.simulation.host_names:
            self.simulation.resume(name)

    def host(self) -> str:
        """Return a random host."""
        return self.random.choice(self.simulation.host_names)

    def worker(self) -> str:
        """Return a random worker."""
        return self.random.choice(list(self.simulation.workers))

    def submit(self, **fields: Any) -> None:
        """Submit a request of random size and run time."""
        self.request_count += 1
        size = Size(
            self.random.choice((1_000, 8_000, 30_000)),
            self.random.choice((1_000, 60_000)),
            0,
            1,
            1,
        )
        work = {"run_ms": self.random.choice((0, 20, 300, 4_000))}
        fields.setdefault("size", size)
        self.callers.submit(f"r{self.request_count}", work=work, **fields)


@operations.register("submit_check")
def submit_check(search: ZoneSearch) -> None:
    """Submit repeatable requests whose callers wait for the answer."""
    for _ in range(search.random.randint(1, 8)):
        search.submit()


@operations.register("submit_once")
def submit_once(search: ZoneSearch) -> None:
    """Submit requests that are not repeatable."""
    for _ in range(search.random.randint(1, 4)):
        search.submit(kind="cord_path_plan", repeatable=False)


@operations.register("submit_plan")
def submit_plan(search: ZoneSearch) -> None:
    """Submit a request whose caller does not wait for the answer."""
    search.submit(kind="cord_path_plan", wait=False)


@operations.register("submit_short")
def submit_short(search: ZoneSearch) -> None:
    """Submit a request with a short deadline."""
    search.submit(deadline_ms=search.random.choice((50, 500, 2_000)))


@operations.register("submit_gang")
def submit_gang(search: ZoneSearch) -> None:
    """Submit a request whose tasks run as a gang."""
    search.submit(tasks=search.random.randint(2, 5), size=Size(16_000, 20_000, 0, 1, 1))


@operations.register("ask_again")
def resubmit_any(search: ZoneSearch) -> None:
    """Resubmit a request, even if its outcome is already final."""
    if search.request_count:
        search.callers.resubmit(f"r{search.random.randint(1, search.request_count)}")


@operations.register("cancel")
def cancel(search: ZoneSearch) -> None:
    """Cancel a request."""
    if search.request_count:
        search.callers.cancel(f"r{search.random.randint(1, search.request_count)}")


@operations.register("kill_host")
def replace_host(search: ZoneSearch) -> None:
    """Kill a host and add another one."""
    name = search.host()
    search.simulation.kill(name)
    search.simulation.add_host(f"h{len(search.steps)}")


@operations.register("pause_host")
def pause_host(search: ZoneSearch) -> None:
    """Pause a host."""
    search.simulation.pause(search.host())


@operations.register("wake_hosts")
def resume_hosts(search: ZoneSearch) -> None:
    """Resume all paused hosts."""
    for name in search.simulation.host_names:
        search.simulation.resume(name)


@operations.register("table_down")
def toggle_table_outage(search: ZoneSearch) -> None:
    """Make the platform's table unreachable, or reachable again."""
    search.faults.table_down = not search.faults.table_down


@operations.register("table_loses_answers")
def toggle_table_reply_loss(search: ZoneSearch) -> None:
    """Execute requests to the table but lose the replies, or stop doing so."""
    search.faults.table_loses_replies = not search.faults.table_loses_replies


@operations.register("cut_host_from_table")
def partition_host_from_table(search: ZoneSearch) -> None:
    """Partition a host from the platform's table."""
    search.faults.partitions.add((search.host(), TABLE))


@operations.register("cut_host_from_worker")
def partition_host_from_worker(search: ZoneSearch) -> None:
    """Partition a host from a worker."""
    search.faults.partitions.add((search.host(), search.worker()))


@operations.register("mute_worker")
def toggle_reply_loss(search: ZoneSearch) -> None:
    """Lose the replies of a worker that receives its requests, or stop doing so."""
    search.faults.workers_losing_replies ^= {search.worker()}


@operations.register("join")
def end_partitions(search: ZoneSearch) -> None:
    """End all partitions."""
    search.faults.partitions.clear()


@operations.register("lose_messages")
def lose_messages(search: ZoneSearch) -> None:
    """Lose some requests and replies, and duplicate some events."""
    search.faults.request_loss_rate = search.random.choice((0.0, 0.05))
    search.faults.reply_loss_rate = search.random.choice((0.0, 0.05, 0.2))
    search.faults.event_duplication_rate = search.random.choice((0.0, 0.1))


@operations.register("delay_messages")
def delay_messages(search: ZoneSearch) -> None:
    """Delay messages so that they arrive out of order."""
    search.faults.max_delay_ms = search.random.choice((8, 100, 900))


@operations.register("restart_worker")
def restart_worker(search: ZoneSearch) -> None:
    """Restart a worker, which loses its tasks and answers."""
    search.simulation.restart_worker(search.worker())


@operations.register("worker_fails_all")
def toggle_failing_runs(search: ZoneSearch) -> None:
    """Make a worker fail all its runs, or none, at random."""
    worker = search.simulation.workers[search.worker()]
    worker.set_run_faults(RunFaults(fail=search.random.random() < 0.5))


@operations.register("late_answers")
def delay_and_duplicate_events(search: ZoneSearch) -> None:
    """Make a worker report its answers late and twice."""
    worker = search.simulation.workers[search.worker()]
    worker.set_run_faults(RunFaults(answer_delay_ms=700, answers=2))


@operations.register("leave")
def toggle_draining(search: ZoneSearch) -> None:
    """List a worker as draining, or a draining one as live again."""
    worker = search.worker()
    search.simulation.draining_workers ^= {worker}


@operations.register("drain_host")
def drain_and_replace_host(search: ZoneSearch) -> None:
    """Drain a host and add another one."""
    search.simulation.scheduler(search.host()).drain()
    search.simulation.add_host(f"h{len(search.steps)}")
