"""Steps that inject faults into real processes under a mixed load."""

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

FOUND_S = 15.0
STOP_S = 15.0
CLAIM = "claim:"
POLL_S = 0.1
HELD_RUN_MS = 1_500


@given("a running fleet")
def given_fleet(context: Any) -> None:
    context.run = SHARED_HARNESS.get()
    context.former = {}
    context.outage_ms = []
    context.held = []
    context.stopping = []


@given("callers send {rate:d} requests a second for {seconds:d} s")
def given_load(context: Any, rate: int, seconds: int) -> None:
    context.run.start_load(seconds, rate)


@given(
    "callers send {rate:d} requests a second for {seconds:d} s and wait {wait:d} s each"
)
def given_load_with_deadline(context: Any, rate: int, seconds: int, wait: int) -> None:
    context.run.start_load(seconds, rate, wait * 1_000)


@when("the load goes on for {seconds:g} s")
def when_goes_on(context: Any, seconds: float) -> None:
    context.run.sleep(seconds)


@when("the process that leads {zone} is killed")
def when_killed(context: Any, zone: str) -> None:
    context.run.fleet.kill(affected_leader(context, zone))


@when("the process that leads {zone} stands still")
def when_paused(context: Any, zone: str) -> None:
    context.paused = affected_leader(context, zone)
    context.run.fleet.pause(context.paused)


@when("the process that stood still goes on")
def when_resumed(context: Any) -> None:
    context.run.fleet.resume(context.paused)


@when("the platform is down")
def when_platform_down(context: Any) -> None:
    context.run.control_platform(mode="down")
    context.outage_ms = [now_ms()]


@when("the platform loses the answers to writes")
def when_answers_lost(context: Any) -> None:
    context.run.control_platform(mode="lose_answers")
    context.outage_ms.append(now_ms())


@when("the platform is well")
def when_platform_well(context: Any) -> None:
    context.run.control_platform(mode="ok")


@when("the process that leads {one} and all entry hosts of {other} lose the platform")
def when_leader_and_zone_cut(context: Any, one: str, other: str) -> None:
    cut = [affected_leader(context, one), *context.run.hosts(other)]
    context.run.control_platform(mode="cut", cut=cut)


@when("all entry hosts of {zone} are cut off from the platform")
def when_zone_cut(context: Any, zone: str) -> None:
    context.run.control_platform(mode="cut", cut=context.run.hosts(zone))


@when("{count:d} callers hold connections to the process that leads {zone}")
def when_held_by_leader(context: Any, count: int, zone: str) -> None:
    hold(context, count, affected_leader(context, zone))


@when("{count:d} callers hold connections to the process that follows in {zone}")
def when_held_by_follower(context: Any, count: int, zone: str) -> None:
    leader = context.run.leader(zone)
    hold(context, count, next(h for h in context.run.hosts(zone) if h != leader))


@when("both processes get SIGTERM")
def when_terminated(context: Any) -> None:
    run: ProcessHarness = context.run
    run.sleep(0.3)
    for host in context.stopping:
        run.fleet.terminate(host)


@when("the busiest worker of {zone} is listed as leaving")
def when_leaving(context: Any, zone: str) -> None:
    run: ProcessHarness = context.run
    context.leaving = busy_workers(run, zone)[0]
    run.control_platform(hosts={context.leaving: "leaving"})
    # From here on the list says so; its lag is part of the stand-in.
    context.listed_ms = now_ms() + run.deployment.hosts_lag_ms


@when("the busiest worker of {zone} fails everything")
def when_worker_fails(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[0], fail=True)


@when("the busiest worker of {zone} drops replies")
def when_worker_drops(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[0], mode="drop_replies")


@when("the busiest worker of {zone} answers late and twice")
def when_worker_late(context: Any, zone: str) -> None:
    name = busy_workers(context.run, zone)[0]
    context.run.control_worker(name, answer_delay_ms=1_500, answers=2)


@when("the second busiest worker of {zone} restarts")
def when_worker_restarts(context: Any, zone: str) -> None:
    context.run.control_worker(busy_workers(context.run, zone)[1], restart=True)


@when("all workers are well")
def when_workers_well(context: Any) -> None:
    context.run.clear_worker_faults()


@when("callers send these to {host}")
def when_faulty(context: Any, host: str) -> None:
    rows = [row.as_dict() for row in context.table]
    context.faulty = rows
    context.replies = context.run.wait(submit_invalid_requests, context.run, host, rows)


@when(
    "callers send {count:d} requests for {zone}, each through every entry host at once"
)
def when_everywhere(context: Any, count: int, zone: str) -> None:
    context.everywhere = context.run.wait(
        submit_to_every_host, context.run, zone, count
    )


@then("every request is answered and the records show no fault")
def then_answered(context: Any) -> None:
    run: ProcessHarness = context.run
    summary = run.wait_for_load().summary()
    assert not summary.evidence, format_json([summary.line(), *summary.evidence[:20]])
    assert summary.answered == summary.requests, summary.line()


@then("no request is lost but those that a restart left unknown")
def then_answered_or_unknown(context: Any) -> None:
    load = context.run.wait_for_load()
    summary = load.summary()
    excused = load.unknown_after_lost_run()
    prefixes = tuple(f"lost: {name} ended unknown" for name in excused)
    evidence = [line for line in summary.evidence if not line.startswith(prefixes)]
    assert not evidence, format_json([summary.line(), *evidence[:20]])
    assert summary.answered + len(excused) == summary.requests, summary.line()


@then("at least {count:d} requests were answered during the outage")
def then_answered_in_outage(context: Any, count: int) -> None:
    begin_ms, end_ms = context.outage_ms
    runs = context.run.verdict().intervals
    done = [
        result
        for result in context.run.load.results
        if result.ending is CallOutcome.DONE
        and any(begin_ms < run.start_ms < end_ms for run in runs[result.name])
    ]
    assert len(done) >= count, f"{len(done)} requests were answered in the outage"


@then("{zone} answered repeatable requests in the last {seconds:g} s")
def then_zone_serves(context: Any, zone: str, seconds: float) -> None:
    since_ms = now_ms() - seconds * 1_000
    runs = context.run.verdict().intervals
    done = [
        result
        for result in context.run.load.results
        if result.ending is CallOutcome.DONE
        and result.request["availability_zone"] == zone
        and result.request["repeatable"]
        and any(run.start_ms > since_ms for run in runs[result.name])
    ]
    assert len(done) >= 10, f"{zone} answered {len(done)} requests in {seconds} s"


@then("another process leads {zone}")
def then_other_leads(context: Any, zone: str) -> None:
    run: ProcessHarness = context.run

    async def find() -> bool:
        async with curio.ignore_after(FOUND_S):
            while True:
                for host in run.hosts(zone):
                    health = await run.fleet.health(host)
                    if host != context.former[zone] and health.get("serving"):
                        return True
                await curio.sleep(POLL_S)
        return False

    assert run.wait(find), f"{zone} has no other leader after {FOUND_S} s"


@then("each held connection gets the whole answer to its own request")
def then_held_answered(context: Any) -> None:
    run: ProcessHarness = context.run
    for task, name in context.held:
        reply = run.wait(task.join)
        whole = reply.status == 200 and is_answer_to(name, reply.body.get("answer"))
        assert whole, f"{name}: {reply}"


@then("both processes end with status {status:d}")
def then_ended(context: Any, status: int) -> None:
    for host in context.stopping:
        process = context.run.fleet.processes[host]
        found = context.run.wait(process.wait, STOP_S)
        assert found == status, f"{host} ended with {found}"


@then("the leaving worker started nothing later than {seconds:g} s after the listing")
def then_left(context: Any, seconds: float) -> None:
    starts_ms = [
        record["at_ms"]
        for record in context.run.records()
        if record["worker"] == context.leaving and is_start(record)
    ]
    before = [at for at in starts_ms if at < context.listed_ms]
    late = [at for at in starts_ms if at > context.listed_ms + seconds * 1_000]
    assert before, f"{context.leaving} never got work"
    assert not late, f"{len(late)} late starts on {context.leaving}: {late[:5]}"
    context.run.control_platform(hosts={context.leaving: "live"})


@then("each of them is refused as it says and did not run")
def then_refused(context: Any) -> None:
    for row, reply in zip(context.faulty, context.replies):
        message = f"{row['fault']}: {reply}"
        assert reply.status == int(row["status"]), message
        assert reply.body["code"] == row["code"], message
        assert reply.body["field"] == row["field"], message
        assert row["sentence"] in reply.body["message"], message
        assert reply.body["outcome"] == "not_run", message
    started = [
        record["task"]
        for record in context.run.records()
        if is_start(record) and "/faulty-" in record["task"]
    ]
    assert not started, started


@then("no process has ended")
def then_all_run(context: Any) -> None:
    assert not context.run.fleet.exited_processes(), (
        context.run.fleet.exited_processes()
    )


@then("each of them ran once and every caller got its answer")
def then_ran_once(context: Any) -> None:
    intervals = context.run.verdict().intervals
    for name, replies in context.everywhere.items():
        runs = intervals.get(name, [])
        assert len(runs) == 1, f"{name} ran {len(runs)} times"
        for reply in replies:
            whole = is_answer_to(name, reply.body.get("answer"))
            assert reply.status == 200 and whole, f"{name}: {reply}"


def affected_leader(context: Any, zone: str) -> str:
    """Return the leader that a fault is about to affect."""
    leader: str = context.run.leader(zone)
    context.former[zone] = leader
    return leader


def busy_workers(run: ProcessHarness, zone: str) -> list[str]:
    """Return the workers of a zone, the one with the most starts of late first."""
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
    """Return whether a record is the start of a request's task."""
    claims = record["task"].startswith(CLAIM)
    return record["event"] == "started" and not claims


def hold(context: Any, count: int, host: str) -> None:
    """Have callers wait at a host for answers from all zones."""
    run: ProcessHarness = context.run
    zones = run.deployment.availability_zones
    context.stopping.append(host)
    for number in range(count):
        request = simple_request(
            zones[number % len(zones)],
            f"held-{host}-{number}-{now_ms()}",
            repeatable=False,
            work={"run_ms": HELD_RUN_MS},
        )
        name = f"counter/{request['availability_zone']}/{request['id']}"
        task = run.wait(curio.spawn, submit, run, host, request)
        context.held.append((task, name))
