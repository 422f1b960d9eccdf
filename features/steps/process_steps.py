"""Steps that inject faults into real processes under mixed load."""

from collections import Counter
from typing import Any

import curio
from behave import given, then, when

from marigoldpath_bench.load import CallOutcome
from marigoldpath_bench.load._call import is_answer_to
from marigoldpath_bench.process_harness import (
    SHARED_HARNESS,
    ProcessHarness,
    format_json,
    simple_request,
    submit,
    submit_invalid_requests,
    submit_to_every_host,
)
from marigoldpath_bench.server import now_ms

LEADER_TIMEOUT_S = 15.0
EXIT_TIMEOUT_S = 15.0
CLAIM_PREFIX = "claim:"
POLL_S = 0.1
WAITING_RUN_MS = 1_500


@given("a running fleet")
def given_fleet(context: Any) -> None:
    context.run = SHARED_HARNESS.get()
    context.former_leaders = {}
    context.outage_ms = []
    context.waiting_calls = []
    context.stopping_hosts = []


@given("callers send {rate:d} requests a second for {seconds:d} s")
def given_load(context: Any, rate: int, seconds: int) -> None:
    context.run.start_load(seconds, rate)


@given(
    "callers send {rate:d} requests a second for {seconds:d} s, each due in {due_s:d} s"
)
def given_load_with_deadline(context: Any, rate: int, seconds: int, due_s: int) -> None:
    context.run.start_load(seconds, rate, due_s * 1_000)


@when("the load continues for {seconds:g} s")
def when_load_continues(context: Any, seconds: float) -> None:
    context.run.sleep(seconds)


@when("the leader process of {zone} is killed")
def when_killed(context: Any, zone: str) -> None:
    context.run.fleet.kill(affected_leader(context, zone))


@when("the leader process of {zone} is paused")
def when_paused(context: Any, zone: str) -> None:
    context.paused_host = affected_leader(context, zone)
    context.run.fleet.pause(context.paused_host)


@when("the paused process is resumed")
def when_resumed(context: Any) -> None:
    context.run.fleet.resume(context.paused_host)


@when("the platform server becomes unavailable")
def when_platform_down(context: Any) -> None:
    context.run.control_platform(mode="down")
    context.outage_ms = [now_ms()]


@when("the platform server drops the replies to writes")
def when_replies_dropped(context: Any) -> None:
    context.run.control_platform(mode="lose_answers")
    context.outage_ms.append(now_ms())


@when("the platform server works again")
def when_platform_restored(context: Any) -> None:
    context.run.control_platform(mode="ok")


@when("the leader of {one} and all entry hosts of {other} lose access to the platform")
def when_leader_and_zone_partitioned(context: Any, one: str, other: str) -> None:
    partitioned = [affected_leader(context, one), *context.run.hosts(other)]
    context.run.control_platform(mode="cut", cut=partitioned)


@when("all entry hosts of {zone} are partitioned from the platform")
def when_zone_partitioned(context: Any, zone: str) -> None:
    context.run.control_platform(mode="cut", cut=context.run.hosts(zone))


@when("{count:d} callers wait for replies of the leader process of {zone}")
def when_callers_wait_for_leader(context: Any, count: int, zone: str) -> None:
    submit_waiting_calls(context, count, affected_leader(context, zone))


@when("{count:d} callers wait for replies of a follower process of {zone}")
def when_callers_wait_for_follower(context: Any, count: int, zone: str) -> None:
    leader = context.run.leader(zone)
    submit_waiting_calls(
        context, count, next(host for host in context.run.hosts(zone) if host != leader)
    )


@when("both processes receive SIGTERM")
def when_terminated(context: Any) -> None:
    run: ProcessHarness = context.run
    run.sleep(0.3)
    for host in context.stopping_hosts:
        run.fleet.terminate(host)


@when("the busiest worker of {zone} is listed as draining")
def when_listed_as_draining(context: Any, zone: str) -> None:
    run: ProcessHarness = context.run
    context.draining_worker = busy_workers(run, zone)[0]
    run.control_platform(hosts={context.draining_worker: "leaving"})
    # The fake platform lists the change only after this lag.
    context.listed_ms = now_ms() + run.deployment.hosts_lag_ms


@when("the busiest worker of {zone} fails all runs")
def when_worker_fails(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[0], fail=True)


@when("the busiest worker of {zone} drops replies")
def when_worker_drops(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[0], mode="drop_replies")


@when("the busiest worker of {zone} delays and duplicates its replies")
def when_worker_late(context: Any, zone: str) -> None:
    name = busy_workers(context.run, zone)[0]
    context.run.control_worker(name, answer_delay_ms=1_500, answers=2)


@when("the second busiest worker of {zone} restarts")
def when_worker_restarts(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[1], restart=True)


@when("all worker faults are cleared")
def when_worker_faults_cleared(context: Any) -> None:
    context.run.clear_worker_faults()


@when("callers send these invalid requests to {host}")
def when_invalid(context: Any, host: str) -> None:
    rows = [row.as_dict() for row in context.table]
    context.invalid_requests = rows
    context.replies = context.run.wait(submit_invalid_requests, context.run, host, rows)


@when(
    "callers send {count:d} requests for {zone}, each through all entry hosts at once"
)
def when_everywhere(context: Any, count: int, zone: str) -> None:
    context.replies_by_request = context.run.wait(
        submit_to_every_host, context.run, zone, count
    )


@then("every request is answered and the records show no violation")
def then_answered(context: Any) -> None:
    run: ProcessHarness = context.run
    summary = run.wait_for_load().summary()
    assert not summary.evidence, format_json([summary.line(), *summary.evidence[:20]])
    assert summary.answered == summary.requests, summary.line()


@then("every request is answered except those whose run was lost in a restart")
def then_answered_or_unknown(context: Any) -> None:
    load = context.run.wait_for_load()
    summary = load.summary()
    lost_in_restart = load.unknown_after_lost_run()
    prefixes = tuple(f"lost: {name} ended unknown" for name in lost_in_restart)
    evidence = [line for line in summary.evidence if not line.startswith(prefixes)]
    assert not evidence, format_json([summary.line(), *evidence[:20]])
    assert summary.answered + len(lost_in_restart) == summary.requests, summary.line()


@then("at least {count:d} requests completed during the outage")
def then_completed_in_outage(context: Any, count: int) -> None:
    begin_ms, end_ms = context.outage_ms
    runs = context.run.verdict().intervals
    completed = [
        result
        for result in context.run.load.results
        if result.ending is CallOutcome.DONE
        and any(begin_ms < run.start_ms < end_ms for run in runs[result.name])
    ]
    assert len(completed) >= count, (
        f"{len(completed)} requests completed during the outage"
    )


@then("{zone} completed repeatable requests in the last {seconds:g} s")
def then_zone_completed(context: Any, zone: str, seconds: float) -> None:
    since_ms = now_ms() - seconds * 1_000
    runs = context.run.verdict().intervals
    completed = [
        result
        for result in context.run.load.results
        if result.ending is CallOutcome.DONE
        and result.request["availability_zone"] == zone
        and result.request["repeatable"]
        and any(run.start_ms > since_ms for run in runs[result.name])
    ]
    assert len(completed) >= 10, (
        f"{zone} completed {len(completed)} requests in {seconds} s"
    )


@then("another process is the leader of {zone}")
def then_other_leader(context: Any, zone: str) -> None:
    run: ProcessHarness = context.run

    async def find() -> bool:
        async with curio.ignore_after(LEADER_TIMEOUT_S):
            while True:
                for host in run.hosts(zone):
                    health = await run.fleet.health(host)
                    if host != context.former_leaders[zone] and health.get("serving"):
                        return True
                await curio.sleep(POLL_S)
        return False

    assert run.wait(find), f"{zone} has no other leader after {LEADER_TIMEOUT_S} s"


@then("each waiting caller receives the complete answer to its own request")
def then_waiting_callers_answered(context: Any) -> None:
    run: ProcessHarness = context.run
    for task, name in context.waiting_calls:
        reply = run.wait(task.join)
        is_complete = reply.status == 200 and is_answer_to(
            name, reply.body.get("answer")
        )
        assert is_complete, f"{name}: {reply}"


@then("both processes exit with status {status:d}")
def then_exited(context: Any, status: int) -> None:
    for host in context.stopping_hosts:
        process = context.run.fleet.processes[host]
        exit_status = context.run.wait(process.wait, EXIT_TIMEOUT_S)
        assert exit_status == status, f"{host} exited with status {exit_status}"


@then("the draining worker started no task later than {seconds:g} s after the listing")
def then_no_late_start(context: Any, seconds: float) -> None:
    starts_ms = [
        record["at_ms"]
        for record in context.run.records()
        if record["worker"] == context.draining_worker and is_start(record)
    ]
    before = [at for at in starts_ms if at < context.listed_ms]
    late = [at for at in starts_ms if at > context.listed_ms + seconds * 1_000]
    assert before, f"{context.draining_worker} has started no task"
    assert not late, (
        f"{len(late)} starts too late on {context.draining_worker}: {late[:5]}"
    )
    context.run.control_platform(hosts={context.draining_worker: "live"})


@then("each request is refused as listed and did not run")
def then_refused(context: Any) -> None:
    for row, reply in zip(context.invalid_requests, context.replies):
        message = f"{row['fault']}: {reply}"
        assert reply.status == int(row["status"]), message
        assert reply.body["code"] == row["code"], message
        assert reply.body["field"] == row["field"], message
        assert row["message"] in reply.body["message"], message
        assert reply.body["outcome"] == "not_run", message
    started = [
        record["task"]
        for record in context.run.records()
        if is_start(record) and "/faulty-" in record["task"]
    ]
    assert not started, started


@then("no process has exited")
def then_none_exited(context: Any) -> None:
    assert not context.run.fleet.exited_processes(), (
        context.run.fleet.exited_processes()
    )


@then("each request ran once and every caller received its answer")
def then_ran_once(context: Any) -> None:
    intervals = context.run.verdict().intervals
    for name, replies in context.replies_by_request.items():
        runs = intervals.get(name, [])
        assert len(runs) == 1, f"{name} ran {len(runs)} times"
        for reply in replies:
            is_complete = is_answer_to(name, reply.body.get("answer"))
            assert reply.status == 200 and is_complete, f"{name}: {reply}"


def affected_leader(context: Any, zone: str) -> str:
    """Record the leader that a fault is about to affect and return it."""
    leader: str = context.run.leader(zone)
    context.former_leaders[zone] = leader
    return leader


def busy_workers(run: ProcessHarness, zone: str) -> list[str]:
    """Return the workers of a zone by their starts under this load, most first."""
    since_ms = run.load.started_ms
    counts = Counter(
        record["worker"]
        for record in run.records()
        if is_start(record) and record["at_ms"] >= since_ms
    )
    workers = [
        worker.name
        for worker in run.plan.worker_hosts
        if worker.availability_zone == zone
    ]
    return sorted(workers, key=lambda name: -counts[name])


def is_start(record: dict[str, Any]) -> bool:
    """Return whether a record is the start of a task of a request."""
    claims = record["task"].startswith(CLAIM_PREFIX)
    return record["event"] == "started" and not claims


def submit_waiting_calls(context: Any, count: int, host: str) -> None:
    """Submit requests for all zones to a host, whose callers wait for the answers."""
    run: ProcessHarness = context.run
    zones = run.deployment.availability_zones
    context.stopping_hosts.append(host)
    for number in range(count):
        request = simple_request(
            zones[number % len(zones)],
            f"held-{host}-{number}-{now_ms()}",
            repeatable=False,
            work={"run_ms": WAITING_RUN_MS},
        )
        name = f"counter/{request['availability_zone']}/{request['id']}"
        task = run.wait(curio.spawn, submit, run, host, request)
        context.waiting_calls.append((task, name))
