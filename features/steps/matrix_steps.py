"""Steps that inject one fault or two into a zone under mixed load."""

from collections.abc import Callable
from typing import Any

from behave import then, when

from marigoldpath_bench.soak import Findings, check_invariants
from marigoldpath_bench.zone_simulation import Callers, ZoneSimulation
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import OutcomeKind, Size

LOAD_STEP_MS = 100
INJECT_AFTER = 10
STEPS = 60
SETTLE_MS = 60_000

injections: Registry[str, Callable[[ZoneSimulation, str], None]] = Registry("fault")
removals: Registry[str, Callable[[ZoneSimulation, str], None]] = Registry(
    "end of a fault"
)


@injections.register("a kill")
def kill(simulation: ZoneSimulation, leader: str) -> None:
    simulation.kill(leader)
    simulation.add_host("replacement")


@injections.register("a pause past the lease")
def pause(simulation: ZoneSimulation, leader: str) -> None:
    simulation.pause(leader)


@removals.register("a pause past the lease")
def resume(simulation: ZoneSimulation, leader: str) -> None:
    simulation.resume(leader)


@injections.register("a cut zone")
def cut_zone(simulation: ZoneSimulation, leader: str) -> None:
    for host in simulation.host_names:
        simulation.faults.partitions.add((host, "table"))


@injections.register("a cut entry host")
def cut_host(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.partitions.add((leader, "table"))


@injections.register("a platform outage")
def outage(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_down = True


@removals.register("a platform outage")
def outage_over(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_down = False


@injections.register("lost answers after the write")
def lost_answers(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_loses_replies = True


@removals.register("lost answers after the write")
def answers_again(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.table_loses_replies = False


@injections.register("restarting workers")
def restart(simulation: ZoneSimulation, leader: str) -> None:
    for worker in list(simulation.workers)[::2]:
        simulation.restart_worker(worker)


@injections.register("lost and crossed messages")
def crossed(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.reply_loss_rate = 0.1
    simulation.faults.max_delay_ms = 500
    simulation.faults.event_duplication_rate = 0.2


@removals.register("lost and crossed messages")
def straight(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.reply_loss_rate = simulation.faults.event_duplication_rate = 0.0
    simulation.faults.max_delay_ms = 8


@injections.register("a graceful stop")
def drain(simulation: ZoneSimulation, leader: str) -> None:
    simulation.scheduler(leader).drain()


@removals.register("a cut zone")
@removals.register("a cut entry host")
def join(simulation: ZoneSimulation, leader: str) -> None:
    simulation.faults.partitions.clear()


def submit_mixed(callers: Callers, number: int) -> None:
    """Submit one request of each sort."""
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
    for number in range(STEPS):
        submit_mixed(served.callers, number)
        if number == INJECT_AFTER:
            for name in names:
                injections.get(name)(served.simulation, served.leader)
        served.callers.run(LOAD_STEP_MS)
    served.callers.run(5_000)
    for name in names:
        if name in removals:
            removals.get(name)(served.simulation, served.leader)
    served.callers.run(SETTLE_MS)


def faults_of(context: Any, sort: str) -> list[str]:
    """Return the faults of one sort; the findings are kept for later steps."""
    findings: Findings | None = getattr(context, "findings", None)
    if findings is None:
        findings = check_invariants(context.served.simulation, context.served.callers)
        context.findings = findings
    return [fault for fault in findings.violations if fault.startswith(sort)]


@then("no worker was overcommitted")
def then_no_overload(context: Any) -> None:
    assert not faults_of(context, "overcommitted"), context.findings.violations


@then("no request ran twice at once")
def then_no_double_run(context: Any) -> None:
    assert not faults_of(context, "twice at once"), context.findings.violations


@then("every answer belonged to its request")
def then_own_answer(context: Any) -> None:
    assert not faults_of(context, "wrong answer"), context.findings.violations
    assert not faults_of(context, "done without"), context.findings.violations
    assert not faults_of(context, "unanswered"), context.findings.violations


@then('nothing that was told "not run" has run')
def then_true_not_run(context: Any) -> None:
    assert not faults_of(context, "false not run"), context.findings.violations


@then("nothing that is not repeatable was started twice")
def then_at_most_once(context: Any) -> None:
    assert not faults_of(context, "started"), context.findings.violations


@then("at least {percent:d}% of the requests were done")
def then_most_done(context: Any, percent: int) -> None:
    calls = context.served.callers.calls
    ended = (OutcomeKind.DONE, OutcomeKind.ACCEPTED)
    done = [call for call in calls if call.outcome in ended]
    assert len(done) * 100 >= len(calls) * percent, f"{len(done)} of {len(calls)}"
