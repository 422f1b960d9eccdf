"""Steps that inject one or two faults into a simulated zone under mixed load."""

from collections.abc import Callable
from typing import Any

from behave import then, when

from marigoldpath_bench.soak import Findings, check_invariants
from marigoldpath_bench.zone_simulation import Callers, ZoneSimulation
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import OutcomeKind, Size

LOAD_STEP_MS = 100
INJECTION_STEP = 10
LOAD_STEPS = 60
SETTLE_MS = 60_000

injections: Registry[str, Callable[[ZoneSimulation, str], None]] = Registry("fault")
removals: Registry[str, Callable[[ZoneSimulation, str], None]] = Registry(
    "removal of a fault"
)


@injections.register("a leader kill")
def kill(simulation: ZoneSimulation, leader: str) -> None:
    simulation.kill(leader)
    simulation.add_host("replacement")


@injections.register("a leader pause past the lease")
def pause(simulation: ZoneSimulation, leader: str) -> None:
    simulation.pause(leader)


@removals.register("a leader pause past the lease")
def resume(simulation: ZoneSimulation, leader: str) -> None:
    simulation.resume(leader)


@injections.register("a partition of the zone from the platform")
def partition_zone(simulation: ZoneSimulation, leader: str) -> None:
    for host in simulation.host_names:
        simulation.faults.partitions.add((host, "table"))


@injections.register("a partition of the leader from the platform")
def partition_leader(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.partitions.add((leader, "table"))


@injections.register("a platform outage")
def start_outage(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_down = True


@removals.register("a platform outage")
def end_outage(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_down = False


@injections.register("lost write replies")
def lose_write_replies(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_loses_replies = True


@removals.register("lost write replies")
def restore_write_replies(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_loses_replies = False


@injections.register("worker restarts")
def restart_workers(simulation: ZoneSimulation, leader: str) -> None:
    for worker in list(simulation.workers)[::2]:
        simulation.restart_worker(worker)


@injections.register("lost and reordered messages")
def disturb_messages(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.reply_loss_rate = 0.1
    simulation.faults.max_delay_ms = 500
    simulation.faults.event_duplication_rate = 0.2


@removals.register("lost and reordered messages")
def restore_messages(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.reply_loss_rate = simulation.faults.event_duplication_rate = 0.0
    simulation.faults.max_delay_ms = 8


@injections.register("a graceful stop")
def drain(simulation: ZoneSimulation, leader: str) -> None:
    simulation.scheduler(leader).drain()


@removals.register("a partition of the zone from the platform")
@removals.register("a partition of the leader from the platform")
def heal_partitions(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.partitions.clear()


def submit_mixed(callers: Callers, number: int) -> None:
    """Submit one request of each kind."""
    size = Size((1_000, 8_000, 30_000)[number % 3], 1_000, 0, 1, 1)
    work = {"run_ms": (20, 300, 2_500)[number % 3]}
    callers.submit(f"check-{number}", size=size, work=work, deadline_ms=SETTLE_MS)
    callers.submit(
        f"order-{number}",
        kind="cord_path_plan",
        repeatable=False,
        work=work,
        deadline_ms=SETTLE_MS,
    )
    if number % 10 == 0:
        callers.submit(f"plan-{number}", kind="cord_path_plan", wait=False, work=work)
        callers.submit(
            f"job-{number}", tasks=3, size=Size(20_000, 1_000, 0, 1, 1), work=work
        )


@when("mixed requests arrive and {faults} is injected")
@when("mixed requests arrive and {faults} are injected")
def when_injected(context: Any, faults: str) -> None:
    served = context.served
    names = faults.split(" with ")
    for number in range(LOAD_STEPS):
        submit_mixed(served.callers, number)
        if number == INJECTION_STEP:
            for name in names:
                injections.get(name)(served.simulation, served.leader)
        served.callers.run(LOAD_STEP_MS)
    served.callers.run(5_000)
    for name in names:
        if name in removals:
            removals.get(name)(served.simulation, served.leader)
    served.callers.run(SETTLE_MS)


def violations_of(context: Any, prefix: str) -> list[str]:
    """Return the violations whose text begins with `prefix`.

    The findings are stored in the context for later steps.
    """
    findings: Findings | None = getattr(context, "findings", None)
    if findings is None:
        findings = check_invariants(context.served.simulation, context.served.callers)
        context.findings = findings
    return [fault for fault in findings.violations if fault.startswith(prefix)]


@then("no worker was overcommitted")
def then_no_overload(context: Any) -> None:
    assert not violations_of(context, "overcommitted"), context.findings.violations


@then("no request had overlapping runs")
def then_no_double_run(context: Any) -> None:
    assert not violations_of(context, "twice at once"), context.findings.violations


@then("every caller received the answer to its own request")
def then_own_answer(context: Any) -> None:
    assert not violations_of(context, "wrong answer"), context.findings.violations
    assert not violations_of(context, "done without"), context.findings.violations
    assert not violations_of(context, "unanswered"), context.findings.violations


@then("no request that was reported as not run has run")
def then_true_not_run(context: Any) -> None:
    assert not violations_of(context, "false not run"), context.findings.violations


@then("no request that is not repeatable was started twice")
def then_at_most_once(context: Any) -> None:
    assert not violations_of(context, "started"), context.findings.violations


@then("at least {percent:d}% of the requests completed")
def then_most_completed(context: Any, percent: int) -> None:
    calls = context.served.callers.calls
    completed_outcomes = (OutcomeKind.DONE, OutcomeKind.ACCEPTED)
    completed = [call for call in calls if call.outcome in completed_outcomes]
    assert len(completed) * 100 >= len(calls) * percent, (
        f"{len(completed)} of {len(calls)}"
    )
