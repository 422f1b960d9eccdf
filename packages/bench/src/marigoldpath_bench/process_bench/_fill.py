"""Fill a zone with long-running tasks to measure their cost for the leader."""

import curio

from marigoldpath_bench.fleet import Fleet

from ._callers import CallerRun, Load, kind_settings

SLOTS_PER_WORKER = 8
KIND = "cord_path_plan"
# Longer than the measurements, so that no task completes during them.
RUN_MS = (600_000, 600_000)
CONCURRENCY = 64
REQUESTS_PER_S = 800.0
SETTLING_S = 3.0


async def fill(fleet: Fleet, zone: str, workers: int, seed: int) -> int:
    """Submit tasks for all slots of a zone; return the number of accepted ones."""
    deployment = fleet.plan.deployment
    target = {
        "address": fleet.daemon_addresses[-1],
        "availability_zone": zone,
    }
    size = {"cpu_millis": 100, "memory_mb": 100, "accelerators": 0}
    size |= {"slots": 1, "connections": 1}
    kind = kind_settings(deployment, KIND, RUN_MS, size=size)
    count = workers * SLOTS_PER_WORKER
    load = Load([target], [kind], concurrency=CONCURRENCY, max_requests=count)
    seconds = 1.0 + count / REQUESTS_PER_S
    result = await CallerRun(fleet, "fill", seed).run([load], 0.0, seconds)
    await curio.sleep(SETTLING_S)
    return sum(1 for call in result.calls if call.status == 202)
