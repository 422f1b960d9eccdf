"""The time from the kill of a leader to the next leader's first placement."""

import curio

from marigoldpath_bench.deployment import RunPlan, find_deployment, load_deployment
from marigoldpath_bench.server import now_ms

from ._callers import CallerRun, Load, kind_settings
from ._model import PARTS, BenchSettings, Measure, measure
from ._run import plan_benchmark_run, read_task_records, running_fleet
from ._starts import WORKERS_PER_PROCESS

RATE_PER_S = 20.0
KILL_AFTER_S = 2.0
MEASUREMENT_S = 13.0
IN_FLIGHT_MS = 500


@PARTS.register("takeover")
async def failover(settings: BenchSettings) -> list[Measure]:
    """Kill the leader of skala's first zone under a light load."""
    deployment = load_deployment(find_deployment("skala") / "deployment.json")
    run = plan_benchmark_run(deployment, settings, "takeover", WORKERS_PER_PROCESS)
    zone = deployment.availability_zones[0]
    async with running_fleet(run, settings) as fleet:
        leader = await fleet.leader(zone)
        assert leader is not None
        others = [
            {"address": daemon.address, "availability_zone": zone}
            for daemon in run.daemons
            if daemon.name != leader.host
        ]
        load = Load(
            others,
            [kind_settings(deployment, "alignment_check", (5, 20))],
            rate=RATE_PER_S,
        )
        caller = CallerRun(fleet, "takeover", settings.seed)
        calling = await curio.spawn(caller.run, [load], 0.0, MEASUREMENT_S)
        await curio.sleep(KILL_AFTER_S)
        killed_ms = now_ms()
        fleet.kill(leader.host)
        await calling.join()
        variant = f"skala, leader {leader.host} of {zone} killed"
        return _lines(run, killed_ms, variant, settings.seed)


def _lines(run: RunPlan, killed_ms: int, variant: str, seed: int) -> list[Measure]:
    """Return the time to the first start after the kill.

    All requests name the zone, so every start in the records was decided by its leader.
    """
    # Workers may record a start after the kill that the killed leader sent before it.
    in_flight_until_ms = killed_ms + IN_FLIGHT_MS
    times = [
        each.at_ms
        for each in read_task_records(run)
        if each.event == "started" and each.at_ms > in_flight_until_ms
    ]
    value = (min(times) - killed_ms) / 1_000 if times else float("nan")
    return [measure("first placement after a takeover", variant, value, "s", seed)]
