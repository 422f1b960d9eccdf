"""The faults of a soak; each one injects a fault, waits and clears it."""

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

# The ranges of the durations of faults.
SHORT_FAULT_S = (0.3, 1.5)
LONG_FAULT_S = (1.0, 5.0)
# The time after SIGTERM at which the platform kills a process (`grace-s`).
STOP_GRACE_S = 6.0
INTERPRETER_START_S = 0.2


async def _hold_fault(cell: Cell, range_s: tuple[float, float]) -> None:
    duration_s = cell.random.uniform(*range_s)
    cell.record_unplanned_fault(duration_s)
    await curio.sleep(duration_s)


def _running_hosts(cell: Cell) -> list[SoakHost]:
    return [host for host in cell.hosts if host.is_running and not host.is_paused]


async def _kill(cell: Cell, hosts: list[SoakHost]) -> None:
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    await _hold_fault(cell, SHORT_FAULT_S)
    await cell.wait_until(
        lambda: not any(host.is_running for host in hosts), STOP_GRACE_S
    )
    for host in hosts:
        host.start()


@faults.register("kill a host")
async def _kill_one(cell: Cell) -> None:
    if hosts := _running_hosts(cell):
        await _kill(cell, [cell.random.choice(hosts)])


@faults.register("kill all hosts")
async def _kill_all(cell: Cell) -> None:
    await _kill(cell, _running_hosts(cell))


@faults.register("stop a host")
async def _stop_one(cell: Cell) -> None:
    """Stop a host as for planned maintenance: SIGTERM, drain, exit and restart."""
    hosts = _running_hosts(cell)
    if not hosts:
        return
    host = cell.random.choice(hosts)
    incarnation = host.incarnation_count
    sent_s = time.monotonic()
    host.stopping_until_s = sent_s + STOP_GRACE_S
    host.send_signal(signal.SIGTERM)

    def has_exited() -> bool:
        # Another fault may have killed and restarted the host in the meantime.
        return not host.is_running or host.incarnation_count != incarnation

    if not await cell.wait_until(has_exited, STOP_GRACE_S):
        if host.paused_s < sent_s:
            cell.oracle.record_violation(
                "STOP", cell.now_ms(), f"{host.name} does not exit after SIGTERM"
            )
        host.send_signal(signal.SIGKILL)
        await cell.wait_until(lambda: not host.is_running, STOP_GRACE_S)
    host.start()


@faults.register("pause a host")
async def _pause_one(cell: Cell) -> None:
    hosts = _running_hosts(cell)
    if not hosts:
        return
    host = cell.random.choice(hosts)
    host.send_signal(signal.SIGSTOP)
    await _hold_fault(cell, LONG_FAULT_S)
    host.send_signal(signal.SIGCONT)


@faults.register("reload a host")
async def _reload_all(cell: Cell) -> None:
    for host in _running_hosts(cell):
        # SIGHUP terminates an interpreter that has not yet installed the handler.
        if host.age_s > INTERPRETER_START_S:
            host.send_signal(signal.SIGHUP)
        await curio.sleep(cell.random.uniform(0, 0.1))


@faults.register("change the configuration")
async def _change_configuration(cell: Cell) -> None:
    for _ in range(cell.random.randint(1, 4)):
        cell.write_configuration()
        await curio.sleep(cell.random.uniform(0.05, 0.4))


@faults.register("forget history")
async def _discard_history(cell: Cell) -> None:
    cell.store.discard_history()


async def _disrupt_connections(cell: Cell, proxies: list[LoopbackProxy]) -> None:
    mode = cell.random.choice(["delay", "reset", "one_way", "silent"])
    for proxy in proxies:
        proxy.mode = mode
        if mode == "reset":
            await proxy.reset_all()
    await _hold_fault(cell, LONG_FAULT_S)
    for proxy in proxies:
        proxy.mode = "pass"


@faults.register("damage a host's way to the store")
async def _disrupt_store_connection(cell: Cell) -> None:
    await _disrupt_connections(cell, [cell.random.choice(cell.hosts).store_proxy])


@faults.register("damage the ways to workers")
async def _disrupt_worker_connections(cell: Cell) -> None:
    await _disrupt_connections(
        cell, cell.random.sample(list(cell.worker_proxies.values()), 2)
    )


@faults.register("damage the store")
async def _inject_store_fault(cell: Cell) -> None:
    mode = cell.random.choice(["down", "slow", "lose_answers", "freeze"])
    await cell.store.set_fault_plan(FaultPlan(mode, delay_ms=200))
    await _hold_fault(cell, LONG_FAULT_S)
    await cell.store.set_fault_plan(FaultPlan())


@faults.register("write late")
async def _delay_writes(cell: Cell) -> None:
    cell.store.delays_writes = True
    await _hold_fault(cell, SHORT_FAULT_S)
    cell.store.delays_writes = False
    await curio.sleep(cell.random.uniform(*LONG_FAULT_S))
    cell.store.apply_delayed_writes()


def _choose_worker(cell: Cell) -> SimulatedWorkerServer:
    return cell.random.choice(cell.workers)


@faults.register("restart a worker under its id")
async def _restart_worker(cell: Cell) -> None:
    worker = _choose_worker(cell)
    await cell.worker_proxies[worker.worker_id].reset_all()
    worker.worker.restart(cell.now_ms())
    await _hold_fault(cell, SHORT_FAULT_S)
    cell.write_worker_entry(worker)


@faults.register("a worker fails all")
async def _fail_all_runs(cell: Cell) -> None:
    worker = _choose_worker(cell)
    worker.worker.fails_all_runs = True
    await _hold_fault(cell, LONG_FAULT_S)
    worker.worker.fails_all_runs = False


@faults.register("orders are carried out late")
async def _delay_commands(cell: Cell) -> None:
    worker = _choose_worker(cell)
    worker.delayed_command_share = 0.3
    await _hold_fault(cell, LONG_FAULT_S)
    worker.delayed_command_share = 0.0


@faults.register("a worker's entry leaves the list")
async def _drain_worker(cell: Cell) -> None:
    worker = _choose_worker(cell)
    cell.write_worker_entry(worker, state="draining")
    await _hold_fault(cell, LONG_FAULT_S)
    cell.write_worker_entry(worker)
