"""Steps that apply sheets to real entry hosts and poll their active versions."""

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
CALL_DELAY_MS = 800
QUEUE_LIMIT = re.compile(r"^(kind;alignment_check;(?:[^;]*;){4})\d+", re.MULTILINE)


class VersionReport(NamedTuple):
    """The active version that an entry host reported at one time."""

    at_ms: int
    host: str
    version: int


class VersionPoller:
    """Polls all entry hosts for their active configuration version."""

    def __init__(self, run: ProcessHarness) -> None:
        self._run = run
        self.reports: list[VersionReport] = []
        for daemon in run.plan.daemons:
            run.start_background_task(self._poll, daemon.name)

    def versions(self) -> dict[str, int]:
        """Return the version that each host reported last."""
        return {each.host: each.version for each in self.reports}

    def first_reported_ms(self, host: str, version: int, since_ms: int) -> int | None:
        """Return when a host first reported `version` or higher since `since_ms`."""
        for each in self.reports:
            if each.host != host or each.at_ms < since_ms:
                continue
            if each.version >= version:
                return each.at_ms
        return None

    def version_decreases(self) -> list[str]:
        """Return a description of each decrease of a host's reported version."""
        highest: dict[str, int] = {}
        decreases = []
        for each in self.reports:
            before = highest.get(each.host, 0)
            if each.version < before:
                decreases.append(
                    f"{each.host} returned from {before} to {each.version}"
                )
            highest[each.host] = max(before, each.version)
        return decreases

    async def _poll(self, host: str) -> None:
        while True:
            reply = await self._run.call(host, "GET", "/v1/config")
            if reply.status == 200:
                version = reply.body["version"]
                self.reports.append(VersionReport(now_ms(), host, version))
            await curio.sleep(POLL_S)


@given("a running fleet whose configuration versions are polled")
def given_polled(context: Any) -> None:
    context.run = run = SHARED_HARNESS.get()
    context.poller = VersionPoller(run)
    context.outage_ms = []
    context.base_version = run.wait(wait_for_same_version, run, context.poller)


@when("an operator applies a sheet through {host}")
def when_applied(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    version = context.base_version + 1
    reply = run.wait(apply, run, host, "planner", context.base_version, version)
    record_applied_version(context, version)
    assert reply.status == 200, reply
    assert reply.body["version"] == version, reply


@when("the reply to the row write of a sheet applied through {host} is lost")
def when_row_reply_lost(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    version = context.base_version + 1

    async def apply_and_lose_reply() -> Reply:
        # Applying a sheet makes three platform calls of CALL_DELAY_MS each: it
        # reads the row, writes the object and writes the row. The fake platform starts
        # to drop replies during the second call, before the row is written.
        await run.control_platform_async(mode="slow", delay_ms=CALL_DELAY_MS)
        task = await curio.spawn(
            apply, run, host, "planner", context.base_version, version
        )
        await curio.sleep(CALL_DELAY_MS * 1.5 / 1_000)
        await run.control_platform_async(mode="lose_answers")
        reply: Reply = await task.join()
        return reply

    reply = run.wait(apply_and_lose_reply)
    record_applied_version(context, version)
    assert reply.status == 200, reply


@when("two operators concurrently apply different sheets based on the same version")
def when_applied_concurrently(context: Any) -> None:
    run: ProcessHarness = context.run

    async def apply_concurrently() -> list[Reply]:
        hosts = ("zadar-e1", "rijeka-e2")
        async with curio.TaskGroup() as tasks:
            sent = [
                await tasks.spawn(
                    apply, run, host, f"planner-{host}", context.base_version, number
                )
                for number, host in enumerate(hosts, 100)
            ]
        return [task.result for task in sent]

    context.replies = run.wait(apply_concurrently)
    record_applied_version(context, context.base_version + 1)


@when("the host {host} is killed")
def when_host_killed(context: Any, host: str) -> None:
    context.run.fleet.kill(host)
    context.killed_host = host


@when("the host {host} is restarted")
def when_host_restarted(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    run.wait(run.fleet.processes[host].wait, 1.0)
    run.fleet.start_daemon(host)
    context.since_ms = now_ms()


@when("all entry hosts of {zone} are paused")
def when_zone_paused(context: Any, zone: str) -> None:
    for host in context.run.hosts(zone):
        context.run.fleet.pause(host)


@when("all entry hosts of {zone} are resumed")
def when_zone_resumed(context: Any, zone: str) -> None:
    for host in context.run.hosts(zone):
        context.run.fleet.resume(host)
    context.since_ms = now_ms()


@when("an operator applies a sheet with the command-line client through {host}")
def when_applied_by_client(context: Any, host: str) -> None:
    run: ProcessHarness = context.run
    path = run.plan.folder / "sheet.csv"
    path.write_text(make_sheet(run, context.base_version + 1))
    command = [
        *(sys.executable, "-m", "marigoldpath_cli"),
        *("--entry", run.address(host), "--key", run.deployment.key_of("")),
        *("sheet", "apply", str(path), "--author", "planner"),
    ]
    context.client_result = run.wait(run_command, command)
    record_applied_version(context, context.base_version + 1)


@then("the client reports {zone} as unreachable and exits with status {status:d}")
def then_reported_unreachable(context: Any, zone: str, status: int) -> None:
    exit_status, output = context.client_result
    assert exit_status == status, f"status {exit_status}: {output}"
    assert f"waiting for {zone} cut off" in output, output


@then("one sheet is accepted and the other is refused with the changes of the first")
def then_one_accepted(context: Any) -> None:
    accepted = [reply for reply in context.replies if reply.status == 200]
    refused = [reply for reply in context.replies if reply.status == 409]
    assert len(accepted) == 1 and len(refused) == 1, format_json(context.replies)
    body = refused[0].body
    assert body["code"] == "version_conflict", body
    assert body["version"] == context.base_version + 1, body
    assert body["author"] == accepted[0].body["author"], body
    expected_limit = context.replies.index(accepted[0]) + 2_100
    assert any(str(expected_limit) in str(change) for change in body["changes"]), body


@then("the sheet is active on every entry host within {seconds:g} s")
def then_active(context: Any, seconds: float) -> None:
    check_active(context, [d.name for d in context.run.plan.daemons], seconds)


@then("the sheet is active on every other entry host within {seconds:g} s")
def then_active_elsewhere(context: Any, seconds: float) -> None:
    names = [d.name for d in context.run.plan.daemons if d.name != context.killed_host]
    check_active(context, names, seconds)


@then("no host reported a lower version after a higher one")
def then_never_decreased(context: Any) -> None:
    assert not context.poller.version_decreases(), context.poller.version_decreases()


def record_applied_version(context: Any, version: int) -> None:
    """Record the version that becomes active and the time of its application."""
    context.version = version
    context.since_ms = now_ms()


def check_active(context: Any, hosts: list[str], seconds: float) -> None:
    """Check that each host reports the applied version within a time limit."""
    poller: VersionPoller = context.poller

    def missing() -> list[str]:
        return [
            host
            for host in hosts
            if poller.first_reported_ms(host, context.version, context.since_ms) is None
        ]

    deadline_ms = context.since_ms + seconds * 1_000
    while missing() and now_ms() < deadline_ms:
        context.run.sleep(POLL_S)
    assert not missing(), f"version {context.version} is not active on {missing()}"


def make_sheet(run: ProcessHarness, number: int) -> str:
    """Return the deployment's sheet with a queue limit that depends on `number`."""
    return QUEUE_LIMIT.sub(rf"\g<1>{2_000 + number}", run.sheet)


async def apply(
    run: ProcessHarness, host: str, author: str, base: int, number: int
) -> Reply:
    """Apply a sheet that `number` distinguishes from others and return the reply."""
    body = {"base_version": base, "author": author, "text": make_sheet(run, number)}
    return await run.call(host, "PUT", "/v1/config", body)


async def wait_for_same_version(run: ProcessHarness, poller: VersionPoller) -> int:
    """Wait until all hosts report the same version and return it."""
    while True:
        versions = poller.versions()
        if len(versions) == len(run.plan.daemons) and len(set(versions.values())) == 1:
            return next(iter(versions.values()))
        await curio.sleep(POLL_S)


async def run_command(command: list[str]) -> tuple[int, str]:
    """Run a program and return its exit status and output."""
    process = curio.subprocess.Popen(
        command, stdout=curio.subprocess.PIPE, stderr=curio.subprocess.STDOUT
    )
    output, _ = await process.communicate()
    return await process.wait(), output.decode()
