"""Waiting time of each kind below the peak, and of urgent work at the peak."""

from typing import Any

from marigoldpath_bench.deployment import (
    Deployment,
    find_deployment,
    load_deployment,
)
from marigoldpath_bench.fleet import Fleet

from ._callers import CallerRun, Load, LoadResult, kind_settings, targets
from ._model import PARTS, BenchSettings, Measure, measure, percentile
from ._run import plan_benchmark_run, read_task_records, running_fleet
from ._starts import CALLER_PROCESSES, WORKERS_PER_PROCESS, EntryPath, find_peak

LOAD_FRACTIONS = (0.25, 0.7)
RUN_MS = (5, 20)
WARMUP_S = 1.0
MEASUREMENT_S = 3.0
PEAK_CONCURRENCIES = (96,)
LONG_RUNNING_RATE_PER_S = 2.0
URGENT_RATE_PER_S = 20.0
URGENT_MEASUREMENT_S = 3.0
FLOOD_CONCURRENCY = 96
# Targets of the design page, section 8.
TARGET_ADDED_MS = 20.0
TARGET_URGENT_MS = 1_100.0
URGENT_KINDS = {"skala": "alignment_check", "sfax": "exchange_order"}


@PARTS.register("waiting")
async def waiting(settings: BenchSettings) -> list[Measure]:
    """Measure both deployments."""
    found: list[Measure] = []
    for name in URGENT_KINDS:
        found += await _waiting_in(settings, name)
    return found


async def _waiting_in(settings: BenchSettings, name: str) -> list[Measure]:
    deployment = load_deployment(find_deployment(name) / "deployment.json")
    run = plan_benchmark_run(
        deployment, settings, f"waiting-{name}", WORKERS_PER_PROCESS
    )
    async with running_fleet(run, settings) as fleet:
        entry_path = EntryPath(
            "peak", targets(deployment, fleet.daemon_addresses, in_zone=True)
        )
        waited = _kinds(deployment, wait=True)
        peak = await find_peak(fleet, settings, entry_path, waited, PEAK_CONCURRENCIES)
        found = [
            measure(
                "task starts", f"{name}, mix", peak.starts_per_s, "/s", settings.seed
            )
        ]
        for part in LOAD_FRACTIONS:
            result = await _open_loop(
                fleet, settings, entry_path, part, peak.starts_per_s
            )
            subject = f"{name} at {part:.0%} of the peak"
            found += _kind_measures(fleet, name, subject, result, settings.seed)
        found += await _urgent_measures(fleet, settings, name)
    return found


def _kinds(deployment: Deployment, **fields: Any) -> list[dict[str, Any]]:
    return [
        kind_settings(deployment, part.kind, RUN_MS, **fields)
        for part in deployment.mix
        if not part.standing
    ]


async def _open_loop(
    fleet: Fleet,
    settings: BenchSettings,
    entry_path: EntryPath,
    part: float,
    peak: float,
) -> LoadResult:
    deployment = fleet.plan.deployment
    each = part * peak / CALLER_PROCESSES
    loads = [Load(entry_path.targets, _kinds(deployment), rate=each)] * CALLER_PROCESSES
    standing = [
        kind_settings(deployment, part.kind, (60_000, 60_000))
        for part in deployment.mix
        if part.standing
    ]
    loads.append(Load(entry_path.targets, standing, rate=LONG_RUNNING_RATE_PER_S))
    return await CallerRun(fleet, f"open-{part}", settings.seed).run(
        loads, WARMUP_S, MEASUREMENT_S
    )


def _kind_measures(
    fleet: Fleet, name: str, subject: str, result: LoadResult, seed: int
) -> list[Measure]:
    """Waiting is the time from when a request was due to its task's start."""
    wait_times, added, lost = _wait_times(fleet, result)
    rate = len(result.ends) / result.seconds
    found = []
    for kind in sorted(wait_times):
        count = len(wait_times[kind])
        variant = f"{subject}, {kind} ({count} of {rate:.0f} requests/s)"
        for percent in (50.0, 99.0, 99.9):
            value = percentile(wait_times[kind], percent)
            title = f"waiting, p{percent:g}"
            found.append(measure(title, variant, value, "ms", seed))
        if kind == URGENT_KINDS[name]:
            value = percentile(added[kind], 99.0)
            title = "added by scheduling, p99"
            found.append(
                measure(title, variant, value, "ms", seed, target=TARGET_ADDED_MS)
            )
    found.append(measure("requests without a start", subject, lost, "requests", seed))
    return found


def _wait_times(
    fleet: Fleet, result: LoadResult
) -> tuple[dict[str, list[float]], dict[str, list[float]], int]:
    """Return, by kind, the waits and what scheduling added in whole.

    The whole is the time from when a request was due to its reply, without the run.
    It includes the callers' own time, so it is an upper bound.
    """
    started: dict[str, int] = {}
    ended: dict[str, int] = {}
    for run in read_task_records(fleet.plan):
        times = started if run.event == "started" else ended
        times.setdefault(run.request, run.at_ms)
    wait_times: dict[str, list[float]] = {}
    added: dict[str, list[float]] = {}
    lost = 0
    for end in result.ends:
        if end.name not in started:
            lost += 1
            continue
        wait_times.setdefault(end.kind, []).append(started[end.name] - end.due_ms)
        if end.status == 200 and end.name in ended:
            ran_ms = ended[end.name] - started[end.name]
            added.setdefault(end.kind, []).append(end.reply_ms - end.due_ms - ran_ms)
    return wait_times, added, lost


async def _urgent_measures(
    fleet: Fleet, settings: BenchSettings, name: str
) -> list[Measure]:
    """Send urgent work while a flood of the other kind holds the fleet at its peak."""
    deployment = fleet.plan.deployment
    everywhere = targets(deployment, fleet.daemon_addresses, in_zone=False)
    urgent = URGENT_KINDS[name]
    flood = [each for each in _kinds(deployment, wait=True) if each["kind"] != urgent]
    loads = [
        Load(everywhere, flood, concurrency=FLOOD_CONCURRENCY // CALLER_PROCESSES)
    ] * CALLER_PROCESSES
    loads.append(
        Load(
            everywhere,
            [kind_settings(deployment, urgent, RUN_MS)],
            rate=URGENT_RATE_PER_S,
        )
    )
    caller = CallerRun(fleet, "urgent", settings.seed)
    result = await caller.run(loads, WARMUP_S, URGENT_MEASUREMENT_S)
    wait_times, _, _ = _wait_times(fleet, result)
    starts = sum(len(each) for each in wait_times.values()) / result.seconds
    variant = (
        f"{name}, {urgent} at {URGENT_RATE_PER_S:g}/s within {starts:.0f} starts/s"
    )
    value = percentile(wait_times.get(urgent, []), 99.0)
    return [
        measure(
            "urgent start, p99",
            variant,
            value,
            "ms",
            settings.seed,
            target=TARGET_URGENT_MS,
        )
    ]
