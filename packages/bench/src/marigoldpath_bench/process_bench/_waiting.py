"""Wait time of each kind below peak load, and of urgent work at peak load."""

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
    """Measure the wait times in both deployments."""
    measurements: list[Measure] = []
    for name in URGENT_KINDS:
        measurements += await _waiting_in(settings, name)
    return measurements


async def _waiting_in(settings: BenchSettings, name: str) -> list[Measure]:
    deployment = load_deployment(find_deployment(name) / "deployment.json")
    run = plan_benchmark_run(
        deployment, settings, f"waiting-{name}", WORKERS_PER_PROCESS
    )
    async with running_fleet(run, settings) as fleet:
        entry_path = EntryPath(
            "peak", targets(deployment, fleet.daemon_addresses, in_zone=True)
        )
        waiting_kinds = _kinds(deployment, wait=True)
        peak = await find_peak(
            fleet, settings, entry_path, waiting_kinds, PEAK_CONCURRENCIES
        )
        measurements = [
            measure(
                "task starts", f"{name}, mix", peak.starts_per_s, "/s", settings.seed
            )
        ]
        for fraction in LOAD_FRACTIONS:
            result = await _open_loop(
                fleet, settings, entry_path, fraction, peak.starts_per_s
            )
            subject = f"{name} at {fraction:.0%} of the peak"
            measurements += _kind_measures(fleet, name, subject, result, settings.seed)
        measurements += await _urgent_measures(fleet, settings, name)
    return measurements


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
    fraction: float,
    peak: float,
) -> LoadResult:
    deployment = fleet.plan.deployment
    rate = fraction * peak / CALLER_PROCESSES
    loads = [Load(entry_path.targets, _kinds(deployment), rate=rate)] * CALLER_PROCESSES
    long_running = [
        kind_settings(deployment, part.kind, (60_000, 60_000))
        for part in deployment.mix
        if part.standing
    ]
    loads.append(Load(entry_path.targets, long_running, rate=LONG_RUNNING_RATE_PER_S))
    return await CallerRun(fleet, f"open-{fraction}", settings.seed).run(
        loads, WARMUP_S, MEASUREMENT_S
    )


def _kind_measures(
    fleet: Fleet, name: str, subject: str, result: LoadResult, seed: int
) -> list[Measure]:
    """Return the wait times, which count from a request's due time to its start."""
    wait_times, overheads, missing_starts = _wait_times(fleet, result)
    rate = len(result.calls) / result.seconds
    measurements = []
    for kind in sorted(wait_times):
        count = len(wait_times[kind])
        variant = f"{subject}, {kind} ({count} of {rate:.0f} requests/s)"
        for percent in (50.0, 99.0, 99.9):
            value = percentile(wait_times[kind], percent)
            title = f"waiting, p{percent:g}"
            measurements.append(measure(title, variant, value, "ms", seed))
        if kind == URGENT_KINDS[name]:
            value = percentile(overheads[kind], 99.0)
            title = "added by scheduling, p99"
            measurements.append(
                measure(title, variant, value, "ms", seed, target=TARGET_ADDED_MS)
            )
    measurements.append(
        measure("requests without a start", subject, missing_starts, "requests", seed)
    )
    return measurements


def _wait_times(
    fleet: Fleet, result: LoadResult
) -> tuple[dict[str, list[float]], dict[str, list[float]], int]:
    """Return wait times, scheduling overheads and the number of missing starts.

    Wait times and overheads are in milliseconds, in lists by kind. The overhead of a
    request with status 200 is the time from its due time to its reply, minus its run
    time. It includes the callers' processing time, so it is an upper bound. A start is
    missing if no worker recorded one for the request.
    """
    start_ms: dict[str, int] = {}
    termination_ms: dict[str, int] = {}
    for record in read_task_records(fleet.plan):
        times = start_ms if record.event == "started" else termination_ms
        times.setdefault(record.request, record.at_ms)
    wait_times: dict[str, list[float]] = {}
    overheads: dict[str, list[float]] = {}
    missing_starts = 0
    for call in result.calls:
        if call.name not in start_ms:
            missing_starts += 1
            continue
        wait_times.setdefault(call.kind, []).append(start_ms[call.name] - call.due_ms)
        if call.status == 200 and call.name in termination_ms:
            run_ms = termination_ms[call.name] - start_ms[call.name]
            overheads.setdefault(call.kind, []).append(
                call.reply_ms - call.due_ms - run_ms
            )
    return wait_times, overheads, missing_starts


async def _urgent_measures(
    fleet: Fleet, settings: BenchSettings, name: str
) -> list[Measure]:
    """Send urgent work while a flood of the other kinds keeps the fleet at its peak."""
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
