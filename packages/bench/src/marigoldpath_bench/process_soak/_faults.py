"""The faults of a soak; each disturbs, waits and mends what it disturbed."""

import signal
import time
from collections.abc import Awaitable, Callable

import curio

from marigoldpath_bench.faults import FaultPlan
from marigoldpath_bench.platform_fakes import SimulatedWorkerServer
from marigoldpath_core.registry import Registry

from ._cell import Cell
from ._hosts import SoakHost
from ._proxy import LoopbackProxy

SoakFault = Callable[[Cell], Awaitable[None]]
faults: Registry[str, SoakFault] = Registry("fault of the soak")

# How long a fault lasts, in seconds.
SHORT_S = (0.3, 1.5)
LONG_S = (1.0, 5.0)
# The platform kills a process so long after SIGTERM (`grace-s`).
GRACE_S = 6.0
INTERPRETER_S = 0.2


async def _last(cell: Cell, span: tuple[float, float]) -> None:
    for_s = cell.random.uniform(*span)
    cell.disturb(for_s)
    await curio.sleep(for_s)


def _running(cell: Cell) -> list[SoakHost]:
    return [host for host in cell.hosts if host.is_running and not host.is_paused]


async def _kill(cell: Cell, hosts: list[SoakHost]) -> None:
    for host in hosts:
        host.send(signal.SIGKILL)
    await _last(cell, SHORT_S)
    await cell.until(lambda: not any(host.is_running for host in hosts), GRACE_S)
    for host in hosts:
        host.start()


@faults.register("kill a host")
async def _kill_one(cell: Cell) -> None:
    if hosts := _running(cell):
        await _kill(cell, [cell.random.choice(hosts)])


@faults.register("kill all hosts")
async def _kill_all(cell: Cell) -> None:
    await _kill(cell, _running(cell))


@faults.register("stop a host")
async def _stop(cell: Cell) -> None:
    """Planned work: the process leaves by itself, and starts again."""
    hosts = _running(cell)
    if not hosts:
        return
    host = cell.random.choice(hosts)
    life = host.incarnation_count
    sent_s = time.monotonic()
    host.leaving_until_s = sent_s + GRACE_S
    host.send(signal.SIGTERM)

    def has_ended() -> bool:
        # Another fault may have killed and started it meanwhile.
        return not host.is_running or host.incarnation_count != life

    if not await cell.until(has_ended, GRACE_S):
        if host.paused_s < sent_s:
            cell.oracle.record_violation(
                "STOP", cell.now_ms(), f"{host.name} does not stop"
            )
        host.send(signal.SIGKILL)
        await cell.until(lambda: not host.is_running, GRACE_S)
    host.start()


@faults.register("pause a host")
async def _pause(cell: Cell) -> None:
    hosts = _running(cell)
    if not hosts:
        return
    host = cell.random.choice(hosts)
    host.send(signal.SIGSTOP)
    await _last(cell, LONG_S)
    host.send(signal.SIGCONT)


@faults.register("reload a host")
async def _reload(cell: Cell) -> None:
    for host in _running(cell):
        # An interpreter that has not yet read the program ends on any signal.
        if host.age_s > INTERPRETER_S:
            host.send(signal.SIGHUP)
        await curio.sleep(cell.random.uniform(0, 0.1))


@faults.register("change the configuration")
async def _configure(cell: Cell) -> None:
    for _ in range(cell.random.randint(1, 4)):
        cell.configure()
        await curio.sleep(cell.random.uniform(0.05, 0.4))


@faults.register("forget history")
async def _forget(cell: Cell) -> None:
    cell.store.discard_history()


async def _damage(cell: Cell, proxies: list[LoopbackProxy]) -> None:
    mode = cell.random.choice(["delay", "reset", "one_way", "silent"])
    for proxy in proxies:
        proxy.mode = mode
        if mode == "reset":
            await proxy.reset_all()
    await _last(cell, LONG_S)
    for proxy in proxies:
        proxy.mode = "pass"


@faults.register("damage a host's way to the store")
async def _damage_store(cell: Cell) -> None:
    await _damage(cell, [cell.random.choice(cell.hosts).store])


@faults.register("damage the ways to workers")
async def _damage_workers(cell: Cell) -> None:
    await _damage(cell, cell.random.sample(list(cell.worker_proxies.values()), 2))


@faults.register("damage the store")
async def _store_fault(cell: Cell) -> None:
    mode = cell.random.choice(["down", "slow", "lose_answers", "freeze"])
    await cell.store.set_fault_plan(FaultPlan(mode, delay_ms=200))
    await _last(cell, LONG_S)
    await cell.store.set_fault_plan(FaultPlan())


@faults.register("write late")
async def _late_writes(cell: Cell) -> None:
    cell.store.delays_writes = True
    await _last(cell, SHORT_S)
    cell.store.delays_writes = False
    await curio.sleep(cell.random.uniform(*LONG_S))
    cell.store.apply_delayed_writes()


def _worker(cell: Cell) -> SimulatedWorkerServer:
    return cell.random.choice(cell.workers)


@faults.register("restart a worker under its id")
async def _restart_worker(cell: Cell) -> None:
    worker = _worker(cell)
    await cell.worker_proxies[worker.worker_id].reset_all()
    worker.worker.restart(cell.now_ms())
    await _last(cell, SHORT_S)
    cell.list_worker(worker)


@faults.register("a worker fails all")
async def _fail_all(cell: Cell) -> None:
    worker = _worker(cell)
    worker.worker.fails_all_runs = True
    await _last(cell, LONG_S)
    worker.worker.fails_all_runs = False


@faults.register("orders are carried out late")
async def _late_orders(cell: Cell) -> None:
    worker = _worker(cell)
    worker.delayed_command_share = 0.3
    await _last(cell, LONG_S)
    worker.delayed_command_share = 0.0


@faults.register("a worker's entry leaves the list")
async def _unlist(cell: Cell) -> None:
    worker = _worker(cell)
    cell.list_worker(worker, state="draining")
    await _last(cell, LONG_S)
    cell.list_worker(worker)
