"""Steps that drive the schedulers of a simulated zone in a given message order."""

from typing import Any

from behave import given, then, when

from marigoldpath_bench.zone_simulation import ServedZone
from marigoldpath_core.requests import Size

# Longer than any scenario waits, so that no deadline passes in these scenarios.
DEADLINE_MS = 300_000


@given("a zone with {hosts:d} entry hosts and {workers:d} workers")
def given_zone(context: Any, hosts: int, workers: int) -> None:
    names = tuple("abcdef"[:hosts])
    context.served = ServedZone(hosts=names, workers=workers)


@given('"{name}" is a running request of {run_ms:d} ms')
def given_running(context: Any, name: str, run_ms: int) -> None:
    when_submit(context, name, run_ms)
    context.served.callers.run(1_000)
    assert context.served.runs(name), f"{name} was not started within 1 s"


@when('a caller submits "{name}" that runs for {run_ms:d} ms')
def when_submit(context: Any, name: str, run_ms: int) -> None:
    context.served.callers.submit(
        name, work={"run_ms": run_ms}, deadline_ms=DEADLINE_MS
    )


@when('a caller submits "{name}" that is not repeatable and runs for {run_ms:d} ms')
def when_submit_once(context: Any, name: str, run_ms: int) -> None:
    context.served.callers.submit(name, repeatable=False, work={"run_ms": run_ms})


@when('a caller submits "{name}" without waiting for its answer')
def when_submit_without_waiting(context: Any, name: str) -> None:
    context.served.callers.submit(
        name, kind="cord_path_plan", wait=False, work={"run_ms": 100}
    )


@when('a caller submits "{name}" with {tasks:d} tasks of {cores:d} cores each')
def when_submit_gang(context: Any, name: str, tasks: int, cores: int) -> None:
    size = Size(cores * 1_000, 1_000, 0, 1, 1)
    context.served.callers.submit(name, tasks=tasks, size=size, work={"run_ms": 500})


@when("callers submit {count:d} requests of {cores:d} cores at once")
def when_submit_many(context: Any, count: int, cores: int) -> None:
    size = Size(cores * 1_000, 1_000, 0, 1, 1)
    for number in range(count):
        context.served.callers.submit(f"many-{number}", size=size, work={"run_ms": 300})


@when('the caller of "{name}" resubmits it')
def when_resubmitted(context: Any, name: str) -> None:
    context.served.callers.resubmit(name)


@when('the caller of "{name}" resubmits it through all other entry hosts')
def when_resubmitted_elsewhere(context: Any, name: str) -> None:
    for host in context.served.other_hosts:
        context.served.callers.resubmit(name, through=host)


@when('the caller cancels "{name}"')
def when_cancel(context: Any, name: str) -> None:
    context.served.callers.cancel(name)


@when("the leader is killed")
def when_killed(context: Any) -> None:
    context.served.simulation.kill(context.served.leader)


@when("the leader is paused")
def when_paused(context: Any) -> None:
    context.served.simulation.pause(context.served.leader)


@when("the leader is paused after deciding a start and before sending it")
def when_paused_before_send(context: Any) -> None:
    context.served.advance_to_start_decision()
    context.served.simulation.pause(context.served.leader)


@when("the leader resumes")
def when_resumed(context: Any) -> None:
    context.served.simulation.resume(context.served.leader)


@when("the leader begins a graceful stop")
def when_stopped_gracefully(context: Any) -> None:
    context.served.simulation.scheduler(context.served.leader).drain()


@when("another entry host serves as leader")
def when_failed_over(context: Any) -> None:
    context.served.wait_for_next_leader()


@when("another entry host is elected leader")
def when_elected(context: Any) -> None:
    served = context.served
    found = served.simulation.run_until(
        lambda: any(
            served.simulation.scheduler(name).epoch for name in served.other_hosts
        ),
        10_000,
    )
    assert found, "no other entry host was elected within 10 s"


@when("the platform becomes unavailable")
def when_platform_down(context: Any) -> None:
    context.served.simulation.faults.table_down = True


@when("the platform recovers")
def when_platform_back(context: Any) -> None:
    context.served.simulation.faults.table_down = False
    context.served.simulation.faults.table_loses_replies = False


@when("the replies to platform writes are lost")
def when_write_replies_lost(context: Any) -> None:
    context.served.simulation.faults.table_loses_replies = True


@when("the leader is partitioned from the platform")
def when_leader_partitioned(context: Any) -> None:
    context.served.simulation.faults.partitions.add((context.served.leader, "table"))


@when("the leader is partitioned from {count:d} workers")
def when_partitioned_from_workers(context: Any, count: int) -> None:
    for worker in list(context.served.simulation.workers)[:count]:
        context.served.simulation.faults.partitions.add((context.served.leader, worker))


@when("the partitions heal")
def when_partitions_heal(context: Any) -> None:
    context.served.simulation.faults.partitions.clear()


@when('the worker of "{name}" receives requests and its replies are lost')
def when_worker_replies_lost(context: Any, name: str) -> None:
    worker = context.served.runs(name)[0].worker
    context.served.simulation.faults.workers_losing_replies.add(worker)


@when("worker replies are lost")
def when_replies_lost(context: Any) -> None:
    context.served.simulation.faults.reply_loss_rate = 1.0


@when("worker replies arrive again")
def when_replies_back(context: Any) -> None:
    context.served.simulation.faults.reply_loss_rate = 0.0


@when("messages take up to {delay_ms:d} ms and events are duplicated")
def when_delayed(context: Any, delay_ms: int) -> None:
    context.served.simulation.faults.max_delay_ms = delay_ms
    context.served.simulation.faults.event_duplication_rate = 0.3


@when("every worker restarts")
def when_workers_restart(context: Any) -> None:
    for worker in context.served.simulation.workers:
        context.served.simulation.restart_worker(worker)


@when('the worker of "{name}" is listed as draining')
def when_listed_as_draining(context: Any, name: str) -> None:
    worker = context.served.runs(name)[0].worker
    context.served.simulation.draining_workers.add(worker)
    context.draining_worker = worker
    context.listed_ms = context.served.simulation.now_ms


@when("{seconds:g} s pass")
def when_time_passes(context: Any, seconds: float) -> None:
    context.served.callers.run(int(seconds * 1_000))


@then('"{name}" ran exactly once')
def then_ran_once(context: Any, name: str) -> None:
    runs = context.served.runs(name)
    assert len(runs) == 1, runs


@then('"{name}" never ran')
def then_never_ran(context: Any, name: str) -> None:
    runs = context.served.runs(name)
    assert not runs, runs


@then('"{name}" ran at most once')
def then_ran_at_most_once(context: Any, name: str) -> None:
    runs = context.served.runs(name)
    assert len(runs) <= 1, runs


@then('"{name}" had no overlapping runs')
def then_no_overlapping_runs(context: Any, name: str) -> None:
    verdict = context.served.simulation.verdict()
    assert verdict.intervals.get(f"counter/zadar/{name}"), "the request did not run"
    assert not verdict.overlapping_runs, verdict.evidence


@then('"{name}" is still running on one worker')
def then_still_running(context: Any, name: str) -> None:
    running = [run for run in context.served.runs(name) if run.end_ms is None]
    assert len(running) == 1, context.served.runs(name)


@then('the caller of "{name}" receives the outcome {outcome}')
def then_outcome(context: Any, name: str, outcome: str) -> None:
    call = context.served.callers.call(name)
    assert call.outcome == outcome, call.outcomes


@then("every caller receives the outcome done")
def then_all_done(context: Any) -> None:
    unfinished = [
        (call.request.key.id, call.outcomes)
        for call in context.served.callers.calls
        if call.outcome != "done"
    ]
    assert not unfinished, unfinished


@then("the leader still serves")
def then_still_serves(context: Any) -> None:
    assert context.served.simulation.serving == [context.served.leader]


@then("exactly one entry host serves")
def then_one_serves(context: Any) -> None:
    assert len(context.served.simulation.serving) == 1, (
        context.served.simulation.serving
    )


@then("no entry host serves")
def then_none_serves(context: Any) -> None:
    assert not context.served.simulation.serving, context.served.simulation.serving


@then(
    "no task started on the draining worker later than {seconds:g} s after the listing"
)
def then_no_late_start(context: Any, seconds: float) -> None:
    limit_ms = context.listed_ms + int(seconds * 1_000)
    late = [
        run
        for runs in context.served.simulation.verdict().intervals.values()
        for run in runs
        if run.worker == context.draining_worker and run.start_ms > limit_ms
    ]
    assert not late, late
