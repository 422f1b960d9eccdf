"""The workers of each service that runs can be placed on, found once per pass."""

from typing import NamedTuple

from marigoldpath_core.jobs import Resources

from ._fleet import Fleet
from ._run import Run
from ._work import Step
from ._worker import Worker

# A worker that became unusable stays in the pools for at most this time. Placement
# checks each worker again before it starts a run there.
POOL_LIFETIME_MS = 100


class Pool(NamedTuple):
    """The usable workers of a service by id, and those of them that may start runs.

    `startable` holds the usable workers whose stored roster entry allows starts.
    `worker_ids` are the ids of `usable`; the set stays the same object while its
    content does not change. `by_free_cpu` and `by_free_accelerators` are the usable
    workers in the order of their free capacity when the pool was built, the one with
    the most first. `zones` are the workers of `by_free_cpu` by availability zone.
    `capacity` is that of all usable workers together.
    """

    usable: dict[str, Worker]
    startable: dict[str, Worker]
    worker_ids: frozenset[str]
    by_free_cpu: tuple[Worker, ...] = ()
    by_free_accelerators: tuple[Worker, ...] = ()
    zones: dict[str, list[Worker]] = {}  # noqa: RUF012
    capacity: Resources = Resources()


class Pools:
    """The worker pools of the services; scheduling passes share them for a while."""

    def __init__(self, fleet: Fleet) -> None:
        self.built_ms = fleet.now_ms
        # The workers in the slow advice requests in flight.
        self.requested_worker_ids: set[str] = set()
        # The runs of workers with their expected ends, found when first needed.
        self.expected_ends: dict[str, list[tuple[float, Run]]] = {}
        # The processors that can be free on workers soon, found when first needed.
        self.soon_free_millis: dict[str, int] = {}
        usable: dict[str, dict[str, Worker]] = {}
        for worker_id, worker in fleet.workers.items():
            if worker.is_usable(fleet.now_ms):
                usable.setdefault(worker.entry.service, {})[worker_id] = worker
        self._fleet = fleet
        # The orders by speed and the workers of racks, found when first needed.
        self._by_speed: dict[tuple[str, bool], list[Worker]] = {}
        self._racks: dict[str, dict[str, list[Worker]]] = {}
        self._smallest_cpu: dict[str, int] = {}
        # Found when it is first needed, which is rare.
        self._busy_services: set[str] | None = None
        self._pools = {
            service: _build_pool(fleet, service, workers)
            for service, workers in usable.items()
        }

    @property
    def capacity(self) -> Resources:
        """The capacity of the usable workers of all services."""
        capacities = [pool.capacity for pool in self._pools.values()]
        return Resources(*map(sum, zip(*capacities)))

    def get(self, service: str) -> Pool:
        """Return the pool of a service, which may be empty."""
        return self._pools.get(service, _EMPTY)

    def by_speed(self, service: str, fast_first: bool) -> list[Worker]:
        """Return the usable workers by the free capacity that tasks should use.

        With `fast_first` that is their free capacity multiplied by their speed, and
        otherwise divided by it.
        """
        key = service, fast_first
        if key not in self._by_speed:
            sign = 1 if fast_first else -1
            speed = self._fleet.speeds.speed
            self._by_speed[key] = sorted(
                self.get(service).by_free_cpu,
                key=lambda each: -each.free.cpu_millis * speed(each) ** sign,
            )
        return self._by_speed[key]

    def smallest_cpu(self, service: str) -> int:
        """Return the processors of the smallest usable worker, in millicores."""
        if service not in self._smallest_cpu:
            capacities = (each.entry.capacity for each in self.get(service).by_free_cpu)
            self._smallest_cpu[service] = min(
                (each.cpu_millis for each in capacities), default=0
            )
        return self._smallest_cpu[service]

    def racks(self, service: str) -> dict[str, list[Worker]]:
        """Return the usable workers by rack, those with most free capacity first."""
        if service not in self._racks:
            racks: dict[str, list[Worker]] = {}
            for worker in self.get(service).by_free_cpu:
                racks.setdefault(worker.entry.rack, []).append(worker)
            self._racks[service] = racks
        return self._racks[service]

    def is_mostly_free(self, service: str) -> bool:
        """Return whether less than half of a service's capacity is allocated."""
        if self._busy_services is None:
            self._busy_services = _find_busy_services(self._fleet)
        return service not in self._busy_services

    def usable(self, step: Step) -> list[Worker]:
        """Return the workers on which runs of the step may be placed.

        They have the label that the step requires, if it requires one.
        """
        return _labelled(step, self.get(step.job.queue.service).usable)

    def startable(self, step: Step) -> list[Worker]:
        """Return those of the `usable` workers that `Fleet.may_start_on` allows."""
        return _labelled(step, self.get(step.job.queue.service).startable)


_EMPTY = Pool({}, {}, frozenset())


def current_pools(fleet: Fleet) -> Pools:
    """Return the pools for a scheduling pass, which are built if they are too old."""
    pools = fleet.pools
    if (
        pools is None
        or fleet.pools_outdated
        or fleet.now_ms - pools.built_ms >= POOL_LIFETIME_MS
    ):
        pools = fleet.pools = Pools(fleet)
        fleet.pools_outdated = False
    pools.requested_worker_ids = {
        worker_id
        for worker_ids in fleet.slow_advice.in_flight.values()
        for worker_id in worker_ids
    }
    return pools


def _find_busy_services(fleet: Fleet) -> set[str]:
    """Return the services of which half of a resource or more is allocated.

    Workers that are quarantined count.
    """
    capacities: dict[str, list[Resources]] = {}
    free: dict[str, list[Resources]] = {}
    for worker in fleet.workers.values():
        has_reported = worker.last_polled_ms is not None
        if worker.is_listed and has_reported and not worker.is_unresponsive:
            service = worker.entry.service
            capacities.setdefault(service, []).append(worker.entry.capacity)
            free.setdefault(service, []).append(worker.free)
    busy = set()
    for service, amounts in capacities.items():
        totals = map(sum, zip(*amounts))
        totals_free = map(sum, zip(*free[service]))
        if any(2 * left <= total for total, left in zip(totals, totals_free) if total):
            busy.add(service)
    return busy


def _build_pool(fleet: Fleet, service: str, workers: dict[str, Worker]) -> Pool:
    startable = {
        worker_id: worker
        for worker_id, worker in workers.items()
        if fleet.may_start_on(worker_id)
    }
    by_free_cpu = sorted(workers.values(), key=lambda each: -each.free.cpu_millis)
    by_free_accelerators = by_free_cpu
    if any(each.entry.capacity.accelerators for each in by_free_cpu):
        by_free_accelerators = sorted(
            by_free_cpu, key=lambda each: -each.free.accelerators
        )
    zones: dict[str, list[Worker]] = {}
    for worker in by_free_cpu:
        zones.setdefault(worker.entry.zone, []).append(worker)
    return Pool(
        workers,
        startable,
        _stable_ids(fleet, service, workers),
        tuple(by_free_cpu),
        tuple(by_free_accelerators),
        zones,
        Resources(*map(sum, zip(*(each.entry.capacity for each in by_free_cpu)))),
    )


def has_label(step: Step, worker: Worker) -> bool:
    """Return whether the worker has the label that the step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def may_become_candidate(step: Step, worker: Worker) -> bool:
    """Return whether the step may run on the worker, as far as is known.

    The worker may be full or not usable now, or need a new ticket.
    """
    zone = step.job.zone
    if worker.entry.service != step.job.queue.service or not has_label(step, worker):
        return False
    if zone and worker.entry.zone != zone:
        return False
    if step.job.queue.advice is None:
        return True
    if worker.worker_id in step.tickets:
        return True
    return not step.has_queried(worker.worker_id, worker.incarnation)


def _labelled(step: Step, workers: dict[str, Worker]) -> list[Worker]:
    return [each for each in workers.values() if has_label(step, each)]


def _stable_ids(
    fleet: Fleet, service: str, workers: dict[str, Worker]
) -> frozenset[str]:
    worker_ids = frozenset(workers)
    if fleet.usable_worker_ids.get(service) != worker_ids:
        fleet.usable_worker_ids[service] = worker_ids
    return fleet.usable_worker_ids[service]
