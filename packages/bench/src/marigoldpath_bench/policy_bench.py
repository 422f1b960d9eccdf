"""Benchmark of the core's queue and placement policies in a simulation."""

import json
import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_bench.measure import Measure
from marigoldpath_core.admission import AdmissionQueue, QueuedRequest
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.requests import Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

from .policy_simulation import (
    BASELINE,
    CAPACITY,
    ZONE,
    Arrival,
    Simulation,
    SimulationResult,
    Variant,
    fleet,
)

TEAMS = 6
LOAD_MS = 30_000
WARMUP_MS = 5_000
FLOOD_FACTOR = 10
ROUNDS = 24


VARIANTS = (
    BASELINE,
    Variant("weighted_fair+best_fit", "weighted_fair", "best_fit", True),
    Variant("weighted_fair+best_fit, no floors", "weighted_fair", "best_fit", False),
)


class Load(NamedTuple):
    """A kind of work with its arrival rate and run times in the simulation."""

    kind: WorkKind
    arrivals_per_s: float
    run_ms: int
    deadline_ms: int
    size: Size


# At 192 slots the three kinds use about 30%, 10% and 30% of the fleet: 70% in total.
# Each floor is a kind's usual peak use, the mean plus three standard deviations. It is
# lower for the least urgent kind, so that the floors do not exceed the fleet.
LOADS = (
    Load(
        WorkKind("alignment_check", 0, 4, 0.42, 1.0, 1_000),
        144.0,
        400,
        10_000,
        Size(6_000, 20_000, 0, 1, 4),
    ),
    Load(
        WorkKind("tension_watch", 1, 2, 0.18, 1.0, 1_000),
        2.0,
        10_000,
        60_000,
        Size(4_000, 30_000, 0, 1, 8),
    ),
    Load(
        WorkKind("cord_path_plan", 2, 1, 0.40, 1.0, 1_000),
        29.0,
        2_000,
        60_000,
        Size(8_000, 24_000, 0, 1, 2),
    ),
)


def arrivals_of(load: Load, factor: int, seed: int) -> list[Arrival]:
    """Return Poisson arrivals of a kind; the rate rises by `factor` after warm-up."""
    rng = random.Random(f"{seed}-{load.kind.name}-{factor}")
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while True:
        current_factor = factor if at_ms >= WARMUP_MS else 1
        at_ms += rng.expovariate(load.arrivals_per_s * current_factor) * 1_000
        if at_ms >= LOAD_MS:
            return arrivals
        number = len(arrivals)
        key = RequestKey(f"team-{number % TEAMS}", ZONE, f"{load.kind.name}-{number}")
        request = Request(key, load.kind.name, load.size, deadline_ms=load.deadline_ms)
        run_ms = max(1, int(load.run_ms * rng.uniform(0.5, 1.5)))
        arrivals.append(Arrival(int(at_ms), request, run_ms))


def flood_run(variant: Variant, flooded: str, seed: int) -> SimulationResult:
    """Simulate the three kinds; the kind `flooded`, if any, has ten times its load."""
    arrivals: list[Arrival] = []
    for load in LOADS:
        factor = FLOOD_FACTOR if load.kind.name == flooded else 1
        arrivals.extend(arrivals_of(load, factor, seed))
    arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.request.key))
    kinds = [
        load.kind if variant.floors else load.kind._replace(floor=0.0) for load in LOADS
    ]
    return Simulation(variant, fleet(24), kinds).run(arrivals, LOAD_MS, WARMUP_MS)


def percentile(values: list[int], fraction: float) -> float:
    """Return the percentile at a fraction from 0 to 1, or 0 without values."""
    if not values:
        return 0.0
    return float(sorted(values)[min(len(values) - 1, int(len(values) * fraction))])


def flood_measures(seed: int) -> list[Measure]:
    """Return the effect of a flood of one kind on the most affected other kind.

    The effect is the completed work and the p99 wait relative to a run without flood.
    A p99 wait below 1 ms counts as 1 ms, the resolution of the clock.
    """
    measures: list[Measure] = []
    floods = (("least urgent", LOADS[-1]), ("most urgent", LOADS[0]))
    baseline_runs = {variant: flood_run(variant, "", seed) for variant in VARIANTS}
    for label, load in floods:
        for variant in VARIANTS:
            flood = flood_run(variant, load.kind.name, seed)
            completed_percents = []
            ratios = []
            for other in LOADS:
                if other is load:
                    continue
                name = other.kind.name
                before = baseline_runs[variant].waits.get(name, [])
                after = flood.waits.get(name, [])
                completed_percents.append(100.0 * len(after) / max(len(before), 1))
                p99 = percentile(after, 0.99) if after else float(LOAD_MS)
                ratios.append(p99 / max(percentile(before, 0.99), 1.0))
            title = f"flood of the {label} kind"
            for measure, value, unit, target in (
                (f"{title}: completed work kept", min(completed_percents), "%", 95.0),
                (f"{title}: p99 wait of others", max(ratios), "ratio", 2.0),
            ):
                met = value >= target if unit == "%" else value <= target
                measures.append(
                    _measure(measure, variant, value, unit, target, met, seed)
                )
    return measures


def packing_trace(seed: int) -> tuple[list[WorkKind], list[Arrival], int]:
    """Return kinds, a backlog whose optimal packing is known, and the measured time.

    The time of each worker is divided into consecutive rounds. Each round is split into
    3 to 8 tasks that use all processors, memory and accelerators of the worker for the
    whole round, so the optimal packing always uses the whole fleet. The measured time
    is two thirds of the trace, because the use drops when the backlog runs out.
    """
    rng = random.Random(seed)
    kinds = [WorkKind(f"kind-{number}", queue_limit=10_000) for number in range(4)]
    until_ms = 1_000 * ROUNDS
    pieces: list[tuple[Size, int]] = []
    for _ in range(24):
        cuts = sorted(rng.sample(range(200, until_ms - 200, 100), ROUNDS - 1))
        for begin, end in zip([0, *cuts], [*cuts, until_ms]):
            pieces.extend((size, end - begin) for size in split_worker(CAPACITY, rng))
    rng.shuffle(pieces)
    arrivals: list[Arrival] = []
    for number, (size, run_ms) in enumerate(pieces):
        key = RequestKey(f"team-{number % TEAMS}", ZONE, f"piece-{number}")
        kind = rng.choice(kinds).name
        arrivals.append(Arrival(0, Request(key, kind, size, deadline_ms=10**7), run_ms))
    return kinds, arrivals, until_ms * 2 // 3


def split_worker(whole: Size, rng: random.Random) -> list[Size]:
    """Split a worker's capacity into 3 to 8 tasks of one slot each."""
    count = rng.randint(3, 8)
    parts = []
    for dimension in (0, 1, 4):
        weights = [rng.uniform(0.3, 1.7) for _ in range(count)]
        shares = [int(whole[dimension] * weight / sum(weights)) for weight in weights]
        shares[0] += whole[dimension] - sum(shares)
        parts.append(shares)
    holders = rng.sample(range(count), whole.accelerators)
    return [
        Size(cpu, memory, int(number in holders), 1, connections)
        for number, (cpu, memory, connections) in enumerate(zip(*parts))
    ]


def packing_measures(seed: int) -> list[Measure]:
    """Return the percentage of the optimal packing that each variant achieves."""
    kinds, arrivals, until_ms = packing_trace(seed)
    measures = []
    for variant in VARIANTS:
        run = Simulation(variant, fleet(24), kinds).run(arrivals, until_ms, 0)
        value = 100.0 * run.utilization_ms / until_ms
        measures.append(
            _measure("packing", variant, value, "%", 92.0, value >= 92.0, seed)
        )
    return measures


def decision_us(placement: str, count: int, seed: int, decisions: int = 1_000) -> float:
    """Return the median time to dequeue, place and allocate a request at 80% use.

    The fleet is filled with best_fit, because first_fit needs minutes for that.
    """
    rng = random.Random(seed)
    capacity = CAPACITY if count == 24 else CAPACITY._replace(slots=64, connections=512)
    workers = fleet(count, capacity)
    queue = AdmissionQueue(SchedulerSettings())
    queue.configure(Configuration(1, tuple(load.kind for load in LOADS)))
    queue.set_capacity(workers.capacity)
    running_tasks: list[tuple[RequestKey, str]] = []
    times: list[float] = []
    chosen_worker: list[str | None] = [None]

    def can_place(queued: QueuedRequest) -> bool:
        request = queued.request
        policy = placement if workers.utilization() > 0.8 else "best_fit"
        chosen_worker[0] = workers.choose_worker(policy, request.size, request.kind, "")
        return chosen_worker[0] is not None

    number = 0
    while len(times) < decisions:
        number += 1
        request = _mixed_request(number, rng)
        queue.offer(request, None, number)
        full = workers.utilization() > 0.8
        begin = time.perf_counter()
        queued = queue.next(number, can_place)
        if queued is not None:
            assert chosen_worker[0] is not None
            key = queued.request.key
            workers.allocate(
                chosen_worker[0], str(key), queued.request.size, queued.request.kind
            )
            queue.allocate(queued.request)
            running_tasks.append((key, chosen_worker[0]))
        if full:
            times.append(time.perf_counter() - begin)
        while workers.utilization() > 0.82:
            chosen = rng.randrange(len(running_tasks))
            running_tasks[chosen], running_tasks[-1] = (
                running_tasks[-1],
                running_tasks[chosen],
            )
            key, worker = running_tasks.pop()
            workers.release(worker, str(key))
            queue.release(key)
    return statistics.median(times) * 1e6


def _mixed_request(number: int, rng: random.Random) -> Request:
    load = rng.choice(LOADS)
    size = Size(
        rng.choice((500, 1_000, 2_000, 8_000)),
        rng.choice((1_000, 4_000, 16_000, 30_000)),
        int(rng.random() < 0.1),
        1,
        rng.choice((1, 2, 4)),
    )
    key = RequestKey(f"team-{number % TEAMS}", ZONE, str(number))
    return Request(key, load.kind.name, size, deadline_ms=10**7)


def decision_measures(seed: int) -> list[Measure]:
    """Return the median decision time for fleets of different sizes."""
    measures = []
    for count, target in ((24, 100.0), (256, None), (1_024, None), (4_100, 300.0)):
        for variant in VARIANTS[:2]:
            value = decision_us(variant.placement, count, seed)
            met = None if target is None else value <= target
            title = f"decision at {count} workers, median"
            measures.append(_measure(title, variant, value, "us", target, met, seed))
    return measures


def cancellation_measures(seed: int) -> list[Measure]:
    """Return the time for 10,000 cancellations of queued requests."""
    measures = []
    for variant in VARIANTS[:2]:
        queue = AdmissionQueue(SchedulerSettings(queue_policy=variant.queue))
        queue.configure(Configuration(1, (WorkKind("plan", queue_limit=10_000),)))
        keys = [RequestKey(f"team-{n % 120}", ZONE, str(n)) for n in range(10_000)]
        for key in keys:
            queue.offer(Request(key, "plan", Size(1)), None, 0).unwrap()
        random.Random(seed).shuffle(keys)
        begin = time.perf_counter()
        for key in keys:
            queue.remove(key, 1)
        value = (time.perf_counter() - begin) * 1e3
        title = "10,000 cancellations"
        measures.append(
            _measure(title, variant, value, "ms", 1_000, value <= 1e3, seed)
        )
    return measures


def measures(seed: int) -> list[Measure]:
    """Run all measurements; the variants alternate."""
    parts: tuple[Callable[[int], list[Measure]], ...] = (
        decision_measures,
        flood_measures,
        packing_measures,
        cancellation_measures,
    )
    return [measure for part in parts for measure in part(seed)]


def _measure(measure: str, variant: Variant, value: float, *rest: Any) -> Measure:
    unit, target, met, seed = rest
    return {
        "measure": measure,
        "variant": variant.name,
        "value": round(value, 2),
        "unit": unit,
        "target": target,
        "met": met,
        "seed": seed,
    }


if __name__ == "__main__":
    for line in measures(int(sys.argv[1]) if len(sys.argv) > 1 else 1):
        print(json.dumps(line), flush=True)
