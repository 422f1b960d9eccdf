"""Discrete-event simulation of one zone's queue and workers."""

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from marigoldpath_core.admission import AdmissionQueue, QueuedRequest
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.messages import WorkerHost
from marigoldpath_core.placement import Workers
from marigoldpath_core.requests import Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

ZONE = "zadar"
CAPACITY = Size(64_000, 256_000, 2, 8, 64)


class Variant(NamedTuple):
    """A queue policy and a placement policy; `floors` enables the floors of kinds."""

    name: str
    queue: str
    placement: str
    floors: bool


BASELINE = Variant("fifo+first_fit", "fifo", "first_fit", False)


class Arrival(NamedTuple):
    """A request with its arrival time and the run time of its task."""

    at_ms: int
    request: Request
    run_ms: int


class SimulationResult(NamedTuple):
    """Wait times of completed requests by kind, and the utilization integral."""

    waits: dict[str, list[int]]
    utilization_ms: float


class Simulation:
    """Discrete-event simulation: the clock advances from event to event."""

    def __init__(self, variant: Variant, workers: Workers, kinds: Iterable[WorkKind]):
        self._variant = variant
        self._workers = workers
        self._queue = AdmissionQueue(SchedulerSettings(queue_policy=variant.queue))
        self._queue.configure(Configuration(1, tuple(kinds)))
        self._queue.set_capacity(workers.capacity)
        self._runs: dict[RequestKey, int] = {}
        self._completions: list[tuple[int, RequestKey, str, str, int]] = []
        self._waits: dict[str, list[int]] = {}
        self._chosen_workers: list[str] = []
        self._reserved_task = ""
        self._utilization_ms = 0.0

    def run(
        self, arrivals: list[Arrival], until_ms: int, count_from_ms: int
    ) -> SimulationResult:
        """Simulate the arrivals; omit the waits of requests queued in the warm-up."""
        now_ms = 0
        next_arrival = 0
        while True:
            times = [self._completions[0][0]] if self._completions else []
            if next_arrival < len(arrivals):
                times.append(arrivals[next_arrival].at_ms)
            next_ms = min([*times, until_ms])
            self._utilization_ms += self._utilization() * (next_ms - now_ms)
            now_ms = next_ms
            if now_ms >= until_ms:
                return SimulationResult(self._waits, self._utilization_ms)
            while (
                next_arrival < len(arrivals) and arrivals[next_arrival].at_ms <= now_ms
            ):
                self._enqueue(arrivals[next_arrival], now_ms)
                next_arrival += 1
            self._complete_due(now_ms, count_from_ms)
            self._start_queued(now_ms)

    def _utilization(self) -> float:
        used, capacity = self._workers.used, self._workers.capacity
        return (used[0] / capacity[0] + used[1] / capacity[1]) / 2

    def _enqueue(self, arrival: Arrival, now_ms: int) -> None:
        if self._queue.offer(arrival.request, None, now_ms).is_ok():
            self._runs[arrival.request.key] = arrival.run_ms

    def _complete_due(self, now_ms: int, count_from_ms: int) -> None:
        while self._completions and self._completions[0][0] <= now_ms:
            _, key, worker, kind, since_ms = heapq.heappop(self._completions)
            self._workers.release(worker, str(key))
            self._queue.release(key)
            if since_ms >= count_from_ms:
                wait_ms = now_ms - since_ms - self._runs[key]
                self._waits.setdefault(kind, []).append(wait_ms)
        for queued in self._queue.pop_expired(now_ms):
            del self._runs[queued.key]

    def _start_queued(self, now_ms: int) -> None:
        self._reserve(now_ms)
        while True:
            queued = self._queue.next(now_ms, self._can_place)
            if queued is None:
                return
            request = queued.request
            [worker] = self._chosen_workers
            task = str(request.key)
            if self._reserved_task == task:
                self._workers.unreserve(task)
                self._reserved_task = ""
            self._workers.allocate(worker, task, request.size, request.kind)
            self._queue.allocate(request)
            end_ms = now_ms + self._runs[request.key]
            entry = end_ms, request.key, worker, request.kind, queued.since_ms
            heapq.heappush(self._completions, entry)

    def _reserve(self, now_ms: int) -> None:
        starving_request = self._queue.starving_request(now_ms)
        task = "" if starving_request is None else str(starving_request.key)
        if task == self._reserved_task or self._variant is BASELINE:
            return
        self._workers.unreserve(self._reserved_task)
        self._reserved_task = task
        if starving_request is not None:
            self._workers.reserve(task, starving_request.request.size)

    def _can_place(self, queued: QueuedRequest) -> bool:
        request = queued.request
        worker = self._workers.choose_worker(
            self._variant.placement,
            request.size,
            request.kind,
            request.key.team,
            reservation=str(request.key),
        )
        self._chosen_workers = [] if worker is None else [worker]
        return worker is not None


def fleet(count: int, capacity: Size = CAPACITY) -> Workers:
    """Return ready workers, six per rack."""
    workers = Workers()
    for number in range(count):
        name = f"worker-{number:04}"
        rack = f"rack-{number // 6}"
        workers.add(WorkerHost(name, ZONE, rack, "", capacity))
        workers.set_ready(name, True)
    return workers
