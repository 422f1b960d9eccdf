"""The capacity that is allocated to each kind and team of a zone, and its limits."""

from typing import NamedTuple

from marigoldpath_core.configuration import Configuration, TeamQuota, WorkKind
from marigoldpath_core.requests import Request, RequestKey, Size

# The weight of a new request in the moving average of the sizes of its kind, which
# covers about the last 50 requests.
MEAN_SIZE_WEIGHT = 0.02
# Floors are recomputed from the mean sizes after this many requests, because doing it
# for each request cost 20 us.
REQUESTS_PER_FLOOR_UPDATE = 64
ZERO_SIZE = Size()


class Allocation(NamedTuple):
    """The capacity allocated to a started request."""

    kind: str
    team: str
    size: Size
    tasks: int


class CapacityShares:
    """Tracks the capacity allocated to kinds and teams, and enforces their limits.

    The limits are the quotas of teams and the floors and ceilings of kinds. A floor
    reserves capacity for its kind in the proportions of the mean size of the kind's
    requests, so a kind that uses no accelerators reserves none of them.
    """

    def __init__(self) -> None:
        self._capacity = Size()
        self._kinds: dict[str, WorkKind] = {}
        self._quotas: dict[str, TeamQuota] = {}
        self._allocations: dict[RequestKey, Allocation] = {}
        self._allocated = Size()
        self._allocated_by_kind: dict[str, Size] = {}
        self._allocated_by_team: dict[str, Size] = {}
        self._mean_sizes: dict[str, tuple[float, ...]] = {}
        self._observed_requests = 0
        self._floors: dict[str, Size] = {}
        self._unused_floors: dict[str, Size] = {}
        self._unused_floors_total = Size()
        self._capacity_outside_floors: dict[str, Size] = {}
        self._kinds_below_floor: set[str] = set()
        # The capacity without allocations and unused floors; None after a change.
        self._available: Size | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply the kinds and quotas of a configuration."""
        self._kinds = {kind.name: kind for kind in configuration.kinds}
        self._quotas = {quota.team: quota for quota in configuration.quotas}
        self._recompute_floors()

    def set_capacity(self, capacity: Size) -> None:
        """Set the total capacity of the zone's workers."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._recompute_floors()

    def observe(self, request: Request) -> None:
        """Update the mean size of a kind with the size of a request."""
        mean_size = self._mean_sizes.get(request.kind)
        if mean_size is None:
            self._mean_sizes[request.kind] = tuple(map(float, request.size))
            self._recompute_floors()
            return
        self._mean_sizes[request.kind] = tuple(
            old + MEAN_SIZE_WEIGHT * (new - old)
            for old, new in zip(mean_size, request.size)
        )
        self._observed_requests += 1
        if self._observed_requests % REQUESTS_PER_FLOOR_UPDATE == 0:
            self._recompute_floors()

    def volume(self, request: Request) -> float:
        """Return the sum of the fractions of CPU and memory that a request needs."""
        cpu, memory = self._capacity[0] or 1, self._capacity[1] or 1
        size = request.size
        return request.tasks * (size[0] / cpu + size[1] / memory)

    def team_weight(self, team: str) -> int:
        """Return the fair-share weight of a team."""
        quota = self._quotas.get(team)
        return 1 if quota is None else quota.weight

    def dimensions_over_quota(self, request: Request) -> list[str]:
        """Return the dimensions in which a request alone exceeds its team's quota."""
        quota = self._quotas.get(request.key.team)
        if quota is None:
            return []
        return multiply_size(request.size, request.tasks).dimensions_exceeding(
            quota.limit
        )

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind has less than its floor in every dimension of it."""
        return kind in self._kinds_below_floor

    def within_quota(self, request: Request) -> bool:
        """Return whether a request fits in the unused part of its team's quota."""
        quota = self._quotas.get(request.key.team)
        if quota is None:
            return True
        size = multiply_size(request.size, request.tasks)
        return self.allocated_to_team(request.key.team).plus(size).fits(quota.limit)

    def allows(self, request: Request) -> bool:
        """Return whether quota, ceiling and other kinds' floors allow a request."""
        headroom = self.headroom(request.kind)
        size = multiply_size(request.size, request.tasks)
        fits = (
            headroom is None
            or size.fits(headroom)
            or self.exceeds_capacity_outside_floors(request, size)
        )
        return fits and self.within_quota(request)

    def exceeds_capacity_outside_floors(self, request: Request, size: Size) -> bool:
        """Return whether `size` exceeds the total capacity minus other kinds' floors.

        The headroom of its kind does not apply to such a request, because it would wait
        forever; only free workers are needed. False if the kind is not configured or
        has a ceiling.
        """
        available = self._capacity_outside_floors.get(request.kind)
        return available is not None and not size.fits(available)

    def headroom(self, kind: str) -> Size | None:
        """Return the capacity left for a kind, or None while no capacity is known.

        It is limited by the ceiling of the kind and the unused floors of other kinds.
        """
        if not any(self._capacity):
            return None
        if self._available is None:
            self._available = self._capacity.minus(self._allocated).minus(
                self._unused_floors_total
            )
        headroom = self._available
        if kind in self._unused_floors:
            headroom = headroom.plus(self._unused_floors[kind])
        configured = self._kinds.get(kind)
        if configured is not None and configured.ceiling < 1.0:
            limit = self._fraction_of_capacity(configured.ceiling)
            left = limit.minus(self.allocated_to_kind(kind))
            headroom = Size(*map(min, headroom, left))
        return (
            headroom
            if min(headroom) >= 0
            else Size(*(max(0, left) for left in headroom))
        )

    def allocate(self, request: Request, size: Size) -> bool:
        """Allocate capacity to a request; return False if it already has some."""
        if request.key in self._allocations:
            return False
        allocation = Allocation(request.kind, request.key.team, size, request.tasks)
        self._allocations[request.key] = allocation
        self._add_allocated(allocation, multiply_size(size, request.tasks))
        return True

    def release(self, key: RequestKey) -> bool:
        """Release the capacity of a request; return False if it has none."""
        allocation = self._allocations.pop(key, None)
        if allocation is None:
            return False
        self._add_allocated(
            allocation,
            ZERO_SIZE.minus(multiply_size(allocation.size, allocation.tasks)),
        )
        return True

    def allocated_to_kind(self, kind: str) -> Size:
        """Return the capacity allocated to the started requests of a kind."""
        return self._allocated_by_kind.get(kind, ZERO_SIZE)

    def allocated_to_team(self, team: str) -> Size:
        """Return the capacity allocated to the started requests of a team."""
        return self._allocated_by_team.get(team, ZERO_SIZE)

    def _add_allocated(self, allocation: Allocation, size: Size) -> None:
        self._allocated = self._allocated.plus(size)
        self._available = None
        self._allocated_by_kind[allocation.kind] = self.allocated_to_kind(
            allocation.kind
        ).plus(size)
        team = self.allocated_to_team(allocation.team).plus(size)
        if any(team):
            self._allocated_by_team[allocation.team] = team
        else:
            self._allocated_by_team.pop(allocation.team, None)
        self._update_unused_floor(allocation.kind)

    def _recompute_floors(self) -> None:
        self._floors = {
            kind.name: self._floor(kind) for kind in self._kinds.values() if kind.floor
        }
        self._unused_floors.clear()
        self._kinds_below_floor.clear()
        self._available = None
        self._unused_floors_total = ZERO_SIZE
        floors = ZERO_SIZE
        for kind, floor in self._floors.items():
            floors = floors.plus(floor)
            self._update_unused_floor(kind)
        left = self._capacity.minus(floors)
        self._capacity_outside_floors = {
            name: left.plus(self._floors.get(name, ZERO_SIZE))
            for name, kind in self._kinds.items()
            if kind.ceiling >= 1.0
        }

    def _update_unused_floor(self, kind: str) -> None:
        floor = self._floors.get(kind)
        if floor is None:
            return
        allocated = self.allocated_to_kind(kind)
        unused = Size(*(max(0, total - used) for total, used in zip(floor, allocated)))
        old = self._unused_floors.get(kind, ZERO_SIZE)
        self._unused_floors[kind] = unused
        self._unused_floors_total = self._unused_floors_total.plus(unused).minus(old)
        if any(floor) and all(left or not total for total, left in zip(floor, unused)):
            self._kinds_below_floor.add(kind)
        else:
            self._kinds_below_floor.discard(kind)

    def _floor(self, kind: WorkKind) -> Size:
        mean_size = self._mean_sizes.get(kind.name)
        if mean_size is None:
            return self._fraction_of_capacity(kind.floor)._replace(accelerators=0)
        dominant = max(
            (used / total for used, total in zip(mean_size, self._capacity) if total),
            default=0.0,
        )
        if not dominant:
            return Size()
        tasks = kind.floor / dominant
        return Size(*(int(used * tasks) for used in mean_size))

    def _fraction_of_capacity(self, fraction: float) -> Size:
        return Size(*(int(total * fraction) for total in self._capacity))


def multiply_size(size: Size, tasks: int) -> Size:
    """Return the total size of `tasks` tasks that have the same size."""
    if tasks == 1:
        return size
    return Size(*(tasks * needed for needed in size))
