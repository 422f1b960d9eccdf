"""What a leader spends on tasks that run and are left alone."""

import curio

from marigoldpath_bench.fleet import Fleet

from ._callers import CallerRun, Load, kind_of

SLOTS = 8
KIND = "cord_path_plan"
# Longer than the measures, so that no task ends within them.
RUN_MS = (600_000, 600_000)
CALLERS = 64
REQUESTS_S = 800.0
SETTLE_S = 3.0


async def fill(fleet: Fleet, zone: str, workers: int, seed: int) -> int:
    """Have tasks started in all slots of a zone; return how many run."""
    deployment = fleet.plan.deployment
    target = {
        "address": fleet.daemon_addresses[-1],
        "availability_zone": zone,
    }
    size = {"cpu_millis": 100, "memory_mb": 100, "accelerators": 0}
    size |= {"slots": 1, "connections": 1}
    kind = kind_of(deployment, KIND, RUN_MS, size=size)
    count = workers * SLOTS
    load = Load([target], [kind], concurrency=CALLERS, most=count)
    seconds = 1.0 + count / REQUESTS_S
    result = await CallerRun(fleet, "fill", seed).run([load], 0.0, seconds)
    await curio.sleep(SETTLE_S)
    return sum(1 for end in result.ends if end.status == 202)
