"""Generate traces from a seed; this module performs no input or output."""

import random
from typing import Any, NamedTuple

from marigoldpath_bench.deployment import Deployment, MixPart
from marigoldpath_core.requests import RequestPayload, Size

# Declared run times and sizes are inaccurate in practice: the real values are the
# declared ones times a factor in these ranges.
RUN_TIME_RATIO = (0.5, 2.0)
MEMORY_USE_RATIO = (0.4, 1.0)


class TraceSettings(NamedTuple):
    """The seed, the duration in seconds and the requests per second of a trace."""

    seed: int = 1
    seconds: float = 10.0
    rate: float = 100.0


class TraceItem(NamedTuple):
    """A request and its offset from the start of the trace, in milliseconds."""

    at_ms: int
    request: RequestPayload


def generate_trace(deployment: Deployment, settings: TraceSettings) -> list[TraceItem]:
    """Return a trace of mixed work with a fixed number of requests.

    The arrival times are uniformly distributed, as those of a Poisson process are for
    a given count. Requests are distributed over zones by their numbers of workers.
    """
    rng = random.Random(settings.seed)
    count = round(settings.seconds * settings.rate)
    times = sorted(rng.uniform(0, settings.seconds * 1_000) for _ in range(count))
    zones = [worker.availability_zone for worker in deployment.workers()]
    shares = [part.share for part in deployment.mix]
    items = []
    for number, at_ms in enumerate(times):
        part = rng.choices(deployment.mix, shares)[0]
        name = f"{settings.seed}-{number:05d}"
        items.append(
            TraceItem(int(at_ms), _request(rng, part, name, rng.choice(zones)))
        )
    return items


def _request(rng: random.Random, part: MixPart, name: str, zone: str) -> RequestPayload:
    size = rng.choice(part.sizes)
    run_ms = None if part.run_ms is None else rng.randint(*part.run_ms)
    declared_ms = 0 if run_ms is None else int(run_ms * rng.uniform(*RUN_TIME_RATIO))
    is_gang = rng.random() < part.gang_share
    work: dict[str, Any] = {"run_ms": run_ms, "use": _resource_usage(rng, size)}
    return {
        "id": name,
        "team": part.team,
        "availability_zone": zone,
        "kind": part.kind,
        "size": size._asdict(),  # type: ignore[typeddict-item]
        "repeatable": rng.random() >= part.once_share,
        "wait": part.wait,
        "deadline_ms": part.deadline_ms,
        "tasks": rng.randint(*part.gang_tasks) if is_gang else 1,
        "run_ms": declared_ms,
        "work": work,
    }


def _resource_usage(rng: random.Random, size: Size) -> dict[str, int]:
    memory_mb = int(size.memory_mb * rng.uniform(*MEMORY_USE_RATIO))
    return size._replace(memory_mb=memory_mb)._asdict()
