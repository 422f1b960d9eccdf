"""Steps that apply sheets to real entry hosts and watch their versions."""

import re
import sys
from typing import Any, NamedTuple

import curio
import curio.subprocess
from behave import given, then, when

from marigoldpath_bench.process_harness import (
    SHARED_HARNESS,
    ProcessHarness,
    Reply,
    format_json,
)
from marigoldpath_bench.server import now_ms

POLL_S = 0.1
SLOW_MS = 800
QUEUE_LIMIT = re.compile(r"^(kind;alignment_check;(?:[^;]*;){4})\d+", re.MULTILINE)


class Sighting(NamedTuple):
    """The version that a host reported."""

    at_ms: int
    host: str
    version: int


class VersionWatch:
    """Asks all entry hosts for their versions, again and again."""

    def __init__(self, run: ProcessHarness) -> None:
        self._run = run
        self.sightings: list[Sighting] = []
        for daemon in run.plan.daemons:
            run.start_background_task(self._watch, daemon.name)

    def versions(self) -> dict[str, int]:
        """Return the latest version of each host."""
        return {each.host: each.version for each in self.sightings}

    def first_ms(self, host: str, version: int, since_ms: int) -> int | None:
        """Return when a host first reported a version after a time."""
        for each in self.sightings:
            if each.host != host or each.at_ms < since_ms:
                continue
            if each.version >= version:
                return each.at_ms
        return None

    def reversions(self) -> list[str]:
        """Return where a host reported a lower version than before."""
        highest: dict[str, int] = {}
        found = []
        for each in self.sightings:
            before = highest.get(each.host, 0)
            if each.version < before:
                found.append(f"{each.host} went from {before} to {each.version}")
            highest[each.host] = max(before, each.version)
        return found

    async def _watch(self, host: str) -> None:
        while True:
            reply = await self._run.call(host, "GET", "/v1/config")
            if reply.status == 200:
                version = reply.body["version"]
                self.sightings.append(Sighting(now_ms(), host, version))
            await curio.sleep(POLL_S)


@given("a running fleet whose versions are watched")
def given_watched(context: Any) -> None:
    context.run = run = SHARED_HARNESS.get()
    context.watch = VersionWatch(run)
    context.outage_ms = []
    context.before = run.wait(wait_level, run, context.watch)


@when("an operator applies a sheet through {host}")
def when_applied(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    version = context.before + 1
    reply = run.wait(apply, run, host, "planner", context.before, version)
    note_applied(context, version)
    assert reply.status == 200, reply
    assert reply.body["version"] == version, reply


@when("the answer to the row of a sheet applied through {host} is lost")
def when_row_answer_lost(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    version = context.before + 1

    async def lose() -> Reply:
        # Each step of the apply takes SLOW_MS: the read of the row, the write of the
        # object, the write of the row. The mode changes during the second one.
        await run.control_platform_async(mode="slow", delay_ms=SLOW_MS)
        task = await curio.spawn(apply, run, host, "planner", context.before, version)
        await curio.sleep(SLOW_MS * 1.5 / 1_000)
        await run.control_platform_async(mode="lose_answers")
        reply: Reply = await task.join()
        return reply

    reply = run.wait(lose)
    note_applied(context, version)
    assert reply.status == 200, reply


@when("two operators apply different sheets on the same version at once")
def when_raced(context: Any) -> None:
    run: ProcessHarness = context.run

    async def race() -> list[Reply]:
        hosts = ("zadar-e1", "rijeka-e2")
        async with curio.TaskGroup() as tasks:
            sent = [
                await tasks.spawn(
                    apply, run, host, f"planner-{host}", context.before, number
                )
                for number, host in enumerate(hosts, 100)
            ]
        return [task.result for task in sent]

    context.race = run.wait(race)
    note_applied(context, context.before + 1)


@when("the host {host} is killed")
def when_host_killed(context: Any, host: str) -> None:
    context.run.fleet.kill(host)
    context.killed = host


@when("the host {host} is started again")
def when_host_started(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    run.wait(run.fleet.processes[host].wait, 1.0)
    run.fleet.start_daemon(host)
    context.since_ms = now_ms()


@when("all entry hosts of {zone} stand still")
def when_zone_paused(context: Any, zone: str) -> None:
    for host in context.run.hosts(zone):
        context.run.fleet.pause(host)


@when("all entry hosts of {zone} go on")
def when_zone_resumed(context: Any, zone: str) -> None:
    for host in context.run.hosts(zone):
        context.run.fleet.resume(host)
    context.since_ms = now_ms()


@when("an operator applies a sheet with the program through {host}")
def when_applied_by_program(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    path = run.plan.folder / "sheet.csv"
    path.write_text(changed_sheet(run, context.before + 1))
    command = [
        *(sys.executable, "-m", "marigoldpath_cli"),
        *("--entry", run.address(host), "--key", run.deployment.key_of("")),
        *("sheet", "apply", str(path), "--author", "planner"),
    ]
    context.program = run.wait(run_program, command)
    note_applied(context, context.before + 1)


@then("the program names {zone} as cut off and ends with status {status:d}")
def then_named(context: Any, zone: str, status: int) -> None:
    found, text = context.program
    assert found == status, f"status {found}: {text}"
    assert f"waiting for {zone} cut off" in text, text


@then("one is accepted, the other is refused and shown the change of the first")
def then_one_accepted(context: Any) -> None:
    accepted = [reply for reply in context.race if reply.status == 200]
    refused = [reply for reply in context.race if reply.status == 409]
    assert len(accepted) == 1 and len(refused) == 1, format_json(context.race)
    body = refused[0].body
    assert body["code"] == "version_conflict", body
    assert body["version"] == context.before + 1, body
    assert body["author"] == accepted[0].body["author"], body
    limit = context.race.index(accepted[0]) + 2_100
    assert any(str(limit) in str(change) for change in body["changes"]), body


@then("the sheet is in force on every entry host within {seconds:g} s")
def then_in_force(context: Any, seconds: float) -> None:
    check_in_force(context, [d.name for d in context.run.plan.daemons], seconds)


@then("the sheet is in force on every other entry host within {seconds:g} s")
def then_in_force_elsewhere(context: Any, seconds: float) -> None:
    names = [d.name for d in context.run.plan.daemons if d.name != context.killed]
    check_in_force(context, names, seconds)


@then("no host ever reported a lower version than before")
def then_monotone(context: Any) -> None:
    assert not context.watch.reversions(), context.watch.reversions()


def note_applied(context: Any, version: int) -> None:
    """Note the version that is in force from now on and when that began."""
    context.version = version
    context.since_ms = now_ms()


def check_in_force(context: Any, hosts: list[str], seconds: float) -> None:
    """Wait for a version on the hosts and check when each first reported it."""
    watch: VersionWatch = context.watch

    def missing() -> list[str]:
        return [
            host
            for host in hosts
            if watch.first_ms(host, context.version, context.since_ms) is None
        ]

    until_ms = context.since_ms + seconds * 1_000
    while missing() and now_ms() < until_ms:
        context.run.sleep(POLL_S)
    assert not missing(), f"without version {context.version}: {missing()}"


def changed_sheet(run: ProcessHarness, number: int) -> str:
    """Return the deployment's sheet with another queue limit."""
    return QUEUE_LIMIT.sub(rf"\g<1>{2_000 + number}", run.sheet)


async def apply(
    run: ProcessHarness, host: str, author: str, base: int, number: int
) -> Reply:
    """Return the reply to a sheet; `number` makes it differ from others."""
    body = {"base_version": base, "author": author, "text": changed_sheet(run, number)}
    return await run.call(host, "PUT", "/v1/config", body)


async def wait_level(run: ProcessHarness, watch: VersionWatch) -> int:
    """Return the version in force once all hosts have the same."""
    while True:
        versions = watch.versions()
        if len(versions) == len(run.plan.daemons) and len(set(versions.values())) == 1:
            return next(iter(versions.values()))
        await curio.sleep(POLL_S)


async def run_program(command: list[str]) -> tuple[int, str]:
    """Return the exit status and the output of a program."""
    process = curio.subprocess.Popen(
        command, stdout=curio.subprocess.PIPE, stderr=curio.subprocess.STDOUT
    )
    output, _ = await process.communicate()
    return await process.wait(), output.decode()
