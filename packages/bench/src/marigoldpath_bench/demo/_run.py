"""Run the demonstration on real processes."""

import sys
import time
from pathlib import Path
from typing import NamedTuple

import curio

from marigoldpath_bench.deployment import (
    REPOSITORY_ROOT,
    Deployment,
    count_ports,
    find_deployment,
    load_deployment,
    plan_run,
)
from marigoldpath_bench.fleet import Fleet, FleetError, free_base_port
from marigoldpath_bench.load import (
    CANCELLATION_CONFIRMED,
    CallOutcome,
    CallResult,
    LoadClient,
    load_settings,
    tally_by_kind,
)
from marigoldpath_bench.oracle import judge, read_records
from marigoldpath_bench.server import now_ms
from marigoldpath_bench.trace import TraceItem, TraceSettings, generate_trace

from ._summary import Summary, summarise

LONG_RUNNING_START_TIMEOUT_S = 20.0
LONG_RUNNING_STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.2


class DemoSettings(NamedTuple):
    """Settings; `zone` names the zone whose leader is killed, by default the first."""

    deployment: str
    seed: int
    daemon_python: str
    seconds: float = 10.0
    rate: float = 100.0
    zone: str = ""


def run_demo(settings: DemoSettings) -> Summary:
    """Run all processes, send the trace, kill a zone leader and count the outcomes."""
    folder = find_deployment(settings.deployment)
    deployment = load_deployment(folder / "deployment.json")
    base_port = free_base_port(count_ports(deployment))
    run_folder = (
        REPOSITORY_ROOT / "run" / f"{deployment.name}-{settings.seed}-{base_port}"
    )
    plan = plan_run(deployment, base_port, run_folder)
    trace = generate_trace(
        deployment, TraceSettings(settings.seed, settings.seconds, settings.rate)
    )
    _log(f"files of this run are in run/{run_folder.name}")
    with Fleet(plan, settings.daemon_python) as fleet:
        results, cancelled = curio.run(_run, fleet, deployment, trace, settings)
    verdict = judge(read_records(plan.record_paths))
    for tally in tally_by_kind(results):
        _log(
            f"{tally.kind}: {tally.endings} wait p50 {tally.wait_p50_ms} ms, "
            f"p99 {tally.wait_p99_ms} ms"
        )
    runs = sum(len(each) for each in verdict.intervals.values())
    _log(f"the workers recorded {runs} runs, {verdict.overused} of them overused")
    summary = summarise(
        [_request_name(item) for item in trace], results, verdict, cancelled
    )
    _write_evidence(run_folder / "evidence.txt", summary)
    return summary


async def _run(
    fleet: Fleet, deployment: Deployment, trace: list[TraceItem], settings: DemoSettings
) -> tuple[list[CallResult], dict[str, int]]:
    """Return the callers' results and the times of confirmed cancellations."""
    started_s = time.monotonic()
    await fleet.start()
    _log(f"all zones are served after {time.monotonic() - started_s:.1f} s")
    client = LoadClient(load_settings(deployment, fleet.daemon_addresses))
    zone = settings.zone or deployment.availability_zones[0]
    async with curio.TaskGroup() as tasks:
        await tasks.spawn(_kill_leader, fleet, zone, settings.seconds / 2)
        sending = await tasks.spawn(client.run, trace)
    results = sending.result
    _log(f"all requests have an outcome after {time.monotonic() - started_s:.1f} s")
    cancelled = await _cancel_long_running(fleet, client, results)
    await client.close()
    await fleet.close()
    return results, cancelled


async def _kill_leader(fleet: Fleet, zone: str, after_s: float) -> None:
    await curio.sleep(after_s)
    leader = await fleet.leader(zone)
    if leader is None:
        raise FleetError(f"zone {zone} has no leader to kill")
    fleet.kill(leader.host)
    _log(f"killed {leader.host}, the leader of {zone} in epoch {leader.epoch}")


async def _cancel_long_running(
    fleet: Fleet, client: LoadClient, results: list[CallResult]
) -> dict[str, int]:
    """Wait until all long-running requests run, cancel them and wait for termination.

    Return the time at which each cancellation was confirmed.
    """
    cancelled: dict[str, int] = {}
    long_running = [each for each in results if each.ending is CallOutcome.ACCEPTED]
    names = {each.name for each in long_running}
    await _wait_for_runs(fleet, names, LONG_RUNNING_START_TIMEOUT_S, running=True)
    for result in long_running:
        status, code = await client.cancel(result)
        if (status, code) == CANCELLATION_CONFIRMED:
            cancelled[result.name] = now_ms()
        else:
            _log(f"cancellation of {result.name}: {status} {code}")
    await _wait_for_runs(fleet, names, LONG_RUNNING_STOP_TIMEOUT_S, running=False)
    return cancelled


async def _wait_for_runs(
    fleet: Fleet, names: set[str], timeout_s: float, *, running: bool
) -> None:
    """Wait until every request has started, or until none of them is running."""
    until_s = time.monotonic() + timeout_s
    while time.monotonic() < until_s:
        intervals = judge(read_records(fleet.plan.record_paths)).intervals
        runs = [intervals.get(name, []) for name in names]
        open_runs = [run for each in runs for run in each if run.end_ms is None]
        if all(runs) if running else not open_runs:
            return
        await curio.sleep(POLL_INTERVAL_S)


def _request_name(item: TraceItem) -> str:
    request = item.request
    return f"{request['team']}/{request['availability_zone']}/{request['id']}"


def _write_evidence(path: Path, summary: Summary) -> None:
    path.write_text("".join(f"{line}\n" for line in summary.evidence))
    for line in summary.evidence[:20]:
        _log(line)


def _log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)
