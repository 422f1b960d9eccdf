"""Measures of the core's policies with a queue, workers and a clock, no processes."""

import heapq
import json
import random
import statistics
import sys
import time
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple, TypedDict

from marigoldpath_core.admission import AdmissionQueue, QueuedRequest
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.messages import WorkerHost
from marigoldpath_core.placement import Workers
from marigoldpath_core.requests import Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

ZONE = "zadar"
CAPACITY = Size(64_000, 256_000, 2, 8, 64)
TEAMS = 6
LOAD_MS = 30_000
WARM_MS = 5_000
FLOOD_FACTOR = 10
ROUNDS = 24


class Measure(TypedDict):
    """One line of the benchmark's output."""

    measure: str
    variant: str
    value: float
    unit: str
    target: float | None
    met: bool | None
    seed: int


class Variant(NamedTuple):
    """A queue policy with a placement policy; `floors` says whether kinds have them."""

    name: str
    queue: str
    placement: str
    floors: bool


BASELINE = Variant("fifo+first_fit", "fifo", "first_fit", False)
VARIANTS = (
    BASELINE,
    Variant("weighted_fair+best_fit", "weighted_fair", "best_fit", True),
    Variant("weighted_fair+best_fit, no floors", "weighted_fair", "best_fit", False),
)


class Load(NamedTuple):
    """A kind of work with its arrivals and run times in the simulation."""

    kind: WorkKind
    arrivals_per_s: float
    run_ms: int
    deadline_ms: int
    size: Size


# At 192 slots the three kinds hold about 30%, 30% and 10% of the fleet: 70% in all.
# Each floor is what a kind holds at its usual peak: the mean and three standard
# deviations, cut for the least urgent kind so that the floors do not exceed the fleet.
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


class Arrival(NamedTuple):
    """A request that arrives at a time and runs for a time once placed."""

    at_ms: int
    request: Request
    run_ms: int


class Run(NamedTuple):
    """What one simulation produced: waits of completed requests by kind."""

    waits: dict[str, list[int]]
    used_ms: float


class Simulation:
    """One zone's queue and workers with a clock that jumps from event to event."""

    def __init__(self, variant: Variant, workers: Workers, kinds: Iterable[WorkKind]):
        self._variant = variant
        self._workers = workers
        self._queue = AdmissionQueue(SchedulerSettings(queue_policy=variant.queue))
        self._queue.configure(Configuration(1, tuple(kinds)))
        self._queue.set_capacity(workers.capacity)
        self._runs: dict[RequestKey, int] = {}
        self._ends: list[tuple[int, RequestKey, str, str, int]] = []
        self._waits: dict[str, list[int]] = {}
        self._places: list[str] = []
        self._reserved = ""
        self._used_ms = 0.0

    def run(self, arrivals: list[Arrival], until_ms: int, count_from_ms: int) -> Run:
        """Play the arrivals and return the waits of what came after a warm-up."""
        now_ms = 0
        position = 0
        while True:
            times = [self._ends[0][0]] if self._ends else []
            if position < len(arrivals):
                times.append(arrivals[position].at_ms)
            following = min([*times, until_ms])
            self._used_ms += self._used() * (following - now_ms)
            now_ms = following
            if now_ms >= until_ms:
                return Run(self._waits, self._used_ms)
            while position < len(arrivals) and arrivals[position].at_ms <= now_ms:
                self._offer(arrivals[position], now_ms)
                position += 1
            self._end(now_ms, count_from_ms)
            self._start(now_ms)

    def _used(self) -> float:
        used, capacity = self._workers.used, self._workers.capacity
        return (used[0] / capacity[0] + used[1] / capacity[1]) / 2

    def _offer(self, arrival: Arrival, now_ms: int) -> None:
        if self._queue.offer(arrival.request, None, now_ms).is_ok():
            self._runs[arrival.request.key] = arrival.run_ms

    def _end(self, now_ms: int, count_from_ms: int) -> None:
        while self._ends and self._ends[0][0] <= now_ms:
            _, key, worker, kind, since_ms = heapq.heappop(self._ends)
            self._workers.release(worker, str(key))
            self._queue.ended(key)
            if since_ms >= count_from_ms:
                wait_ms = now_ms - since_ms - self._runs[key]
                self._waits.setdefault(kind, []).append(wait_ms)
        for queued in self._queue.expired(now_ms):
            del self._runs[queued.key]

    def _start(self, now_ms: int) -> None:
        self._reserve(now_ms)
        while True:
            queued = self._queue.next(now_ms, self._can_place)
            if queued is None:
                return
            request = queued.request
            [worker] = self._places
            task = str(request.key)
            if self._reserved == task:
                self._workers.unreserve(task)
                self._reserved = ""
            self._workers.occupy(worker, task, request.size, request.kind)
            self._queue.started(request)
            end_ms = now_ms + self._runs[request.key]
            entry = end_ms, request.key, worker, request.kind, queued.since_ms
            heapq.heappush(self._ends, entry)

    def _reserve(self, now_ms: int) -> None:
        starving = self._queue.starving(now_ms)
        task = "" if starving is None else str(starving.key)
        if task == self._reserved or self._variant is BASELINE:
            return
        self._workers.unreserve(self._reserved)
        self._reserved = task
        if starving is not None:
            self._workers.reserve(task, starving.request.size)

    def _can_place(self, queued: QueuedRequest) -> bool:
        request = queued.request
        worker = self._workers.choose(
            self._variant.placement,
            request.size,
            request.kind,
            request.key.team,
            reservation=str(request.key),
        )
        self._places = [] if worker is None else [worker]
        return worker is not None


def fleet(count: int, capacity: Size = CAPACITY) -> Workers:
    """Return workers that may all be used, six to a rack."""
    workers = Workers()
    for number in range(count):
        name = f"worker-{number:04}"
        rack = f"rack-{number // 6}"
        workers.add(WorkerHost(name, ZONE, rack, "", capacity))
        workers.set_placeable(name, True)
    return workers


def arrivals_of(load: Load, factor: int, seed: int) -> list[Arrival]:
    """Return Poisson arrivals of a kind; the load rises by `factor` after warm-up."""
    source = random.Random(f"{seed}-{load.kind.name}-{factor}")
    arrivals: list[Arrival] = []
    at_ms = 0.0
    while True:
        flooded = factor if at_ms >= WARM_MS else 1
        at_ms += source.expovariate(load.arrivals_per_s * flooded) * 1_000
        if at_ms >= LOAD_MS:
            return arrivals
        number = len(arrivals)
        key = RequestKey(f"team-{number % TEAMS}", ZONE, f"{load.kind.name}-{number}")
        request = Request(key, load.kind.name, load.size, deadline_ms=load.deadline_ms)
        run_ms = max(1, int(load.run_ms * source.uniform(0.5, 1.5)))
        arrivals.append(Arrival(int(at_ms), request, run_ms))


def flood_run(variant: Variant, flooded: str, seed: int) -> Run:
    """Simulate the three kinds, one of them tenfold; an empty name floods none."""
    arrivals: list[Arrival] = []
    for load in LOADS:
        factor = FLOOD_FACTOR if load.kind.name == flooded else 1
        arrivals.extend(arrivals_of(load, factor, seed))
    arrivals.sort(key=lambda arrival: (arrival.at_ms, arrival.request.key))
    kinds = [
        load.kind if variant.floors else load.kind._replace(floor=0.0) for load in LOADS
    ]
    return Simulation(variant, fleet(24), kinds).run(arrivals, LOAD_MS, WARM_MS)


def percentile(values: list[int], part: float) -> float:
    """Return the value below which the given part lies, 0 for no values."""
    if not values:
        return 0.0
    return float(sorted(values)[min(len(values) - 1, int(len(values) * part))])


def flood_measures(seed: int) -> list[Measure]:
    """Return what other kinds keep in a flood, the worst of the other kinds.

    A p99 wait below 1 ms counts as 1 ms, the resolution of the clock.
    """
    measures: list[Measure] = []
    floods = (("least urgent", LOADS[-1]), ("most urgent", LOADS[0]))
    calm = {variant: flood_run(variant, "", seed) for variant in VARIANTS}
    for label, load in floods:
        for variant in VARIANTS:
            flood = flood_run(variant, load.kind.name, seed)
            kept = []
            ratios = []
            for other in LOADS:
                if other is load:
                    continue
                name = other.kind.name
                before = calm[variant].waits.get(name, [])
                after = flood.waits.get(name, [])
                kept.append(100.0 * len(after) / max(len(before), 1))
                p99 = percentile(after, 0.99) if after else float("inf")
                ratios.append(p99 / max(percentile(before, 0.99), 1.0))
            title = f"flood of the {label} kind"
            for measure, value, unit, target in (
                (f"{title}: completed work kept", min(kept), "%", 95.0),
                (f"{title}: p99 wait of others", max(ratios), "ratio", 2.0),
            ):
                met = value >= target if unit == "%" else value <= target
                measures.append(
                    _measure(measure, variant, value, unit, target, met, seed)
                )
    return measures


def packing_trace(seed: int) -> tuple[list[WorkKind], list[Arrival], int]:
    """Return a backlog whose best packing is known: full workers cut to pieces.

    Each worker runs several rounds one after the other. A round is cut to 3 to 8 tasks
    that fill the worker's processors, memory and accelerators for the whole round, so
    the best packing uses all of the fleet at every moment. The returned time is two
    thirds of the trace: a fleet whose backlog runs out measures the end of the trace.
    """
    source = random.Random(seed)
    kinds = [WorkKind(f"kind-{number}", queue_limit=10_000) for number in range(4)]
    until_ms = 1_000 * ROUNDS
    pieces: list[tuple[Size, int]] = []
    for _ in range(24):
        cuts = sorted(source.sample(range(200, until_ms - 200, 100), ROUNDS - 1))
        for begin, end in zip([0, *cuts], [*cuts, until_ms]):
            pieces.extend((size, end - begin) for size in cut(CAPACITY, source))
    source.shuffle(pieces)
    arrivals: list[Arrival] = []
    for number, (size, run_ms) in enumerate(pieces):
        key = RequestKey(f"team-{number % TEAMS}", ZONE, f"piece-{number}")
        kind = source.choice(kinds).name
        arrivals.append(Arrival(0, Request(key, kind, size, deadline_ms=10**7), run_ms))
    return kinds, arrivals, until_ms * 2 // 3


def cut(whole: Size, source: random.Random) -> list[Size]:
    """Cut a worker into 3 to 8 tasks of one slot each that fill it."""
    count = source.randint(3, 8)
    parts = []
    for dimension in (0, 1, 4):
        weights = [source.uniform(0.3, 1.7) for _ in range(count)]
        shares = [int(whole[dimension] * weight / sum(weights)) for weight in weights]
        shares[0] += whole[dimension] - sum(shares)
        parts.append(shares)
    holders = source.sample(range(count), whole.accelerators)
    return [
        Size(cpu, memory, int(number in holders), 1, connections)
        for number, (cpu, memory, connections) in enumerate(zip(*parts))
    ]


def packing_measures(seed: int) -> list[Measure]:
    """Return the part of the best packing that each variant reaches on the trace."""
    kinds, arrivals, until_ms = packing_trace(seed)
    measures = []
    for variant in VARIANTS:
        run = Simulation(variant, fleet(24), kinds).run(arrivals, until_ms, 0)
        value = 100.0 * run.used_ms / until_ms
        measures.append(
            _measure("packing", variant, value, "%", 92.0, value >= 92.0, seed)
        )
    return measures


def decision_us(placement: str, count: int, seed: int, decisions: int = 1_000) -> float:
    """Return the median time to take a request, choose and occupy, at 80% use."""
    source = random.Random(seed)
    capacity = CAPACITY if count == 24 else CAPACITY._replace(slots=64, connections=512)
    workers = fleet(count, capacity)
    queue = AdmissionQueue(SchedulerSettings())
    queue.configure(Configuration(1, tuple(load.kind for load in LOADS)))
    queue.set_capacity(workers.capacity)
    running: list[tuple[RequestKey, str]] = []
    times: list[float] = []
    place: list[str | None] = [None]

    def can_place(queued: QueuedRequest) -> bool:
        request = queued.request
        place[0] = workers.choose(placement, request.size, request.kind, "")
        return place[0] is not None

    number = 0
    while len(times) < decisions:
        number += 1
        request = _mixed_request(number, source)
        queue.offer(request, None, number)
        full = workers.used_fraction() > 0.8
        begin = time.perf_counter()
        queued = queue.next(number, can_place)
        if queued is not None:
            assert place[0] is not None
            key = queued.request.key
            workers.occupy(place[0], str(key), queued.request.size, queued.request.kind)
            queue.started(queued.request)
            running.append((key, place[0]))
        if full:
            times.append(time.perf_counter() - begin)
        while workers.used_fraction() > 0.82:
            chosen = source.randrange(len(running))
            running[chosen], running[-1] = running[-1], running[chosen]
            key, worker = running.pop()
            workers.release(worker, str(key))
            queue.ended(key)
    return statistics.median(times) * 1e6


def _mixed_request(number: int, source: random.Random) -> Request:
    load = source.choice(LOADS)
    size = Size(
        source.choice((500, 1_000, 2_000, 8_000)),
        source.choice((1_000, 4_000, 16_000, 30_000)),
        int(source.random() < 0.1),
        1,
        source.choice((1, 2, 4)),
    )
    key = RequestKey(f"team-{number % TEAMS}", ZONE, str(number))
    return Request(key, load.kind.name, size, deadline_ms=10**7)


def decision_measures(seed: int) -> list[Measure]:
    """Return the median decision time and how it grows with the fleet."""
    measures = []
    for count, target in ((24, 100.0), (256, None), (1_024, None), (4_100, 300.0)):
        for variant in VARIANTS[:2]:
            value = decision_us(variant.placement, count, seed)
            met = None if target is None else value <= target
            title = f"decision at {count} workers, median"
            measures.append(_measure(title, variant, value, "us", target, met, seed))
    return measures


def cancellation_measures(seed: int) -> list[Measure]:
    """Return the time that 10,000 cancellations of waiting requests take."""
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
    """Run all measures; the variants take turns."""
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
