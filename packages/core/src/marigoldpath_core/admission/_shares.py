"""What kinds and teams hold of the zone, and what they may hold."""

from typing import NamedTuple

from marigoldpath_core.configuration import Configuration, TeamQuota, WorkKind
from marigoldpath_core.requests import Request, RequestKey, Size

# Weight of a new request in the usual shape of its kind: about the last 50 count.
SHAPE_STEP = 0.02
# Floors follow the shape after this many requests; at each one it cost 20 us.
SHAPE_INTERVAL = 64
NOTHING = Size()


class Charge(NamedTuple):
    """What a started request holds."""

    kind: str
    team: str
    size: Size
    tasks: int


class Shares:
    """Accounts of started requests against quotas, floors and ceilings.

    A floor keeps room free for its kind in the proportions in which the kind uses
    the dimensions, so a kind without accelerators keeps none of them from others.
    """

    def __init__(self) -> None:
        self._capacity = Size()
        self._kinds: dict[str, WorkKind] = {}
        self._quotas: dict[str, TeamQuota] = {}
        self._charges: dict[RequestKey, Charge] = {}
        self._held = Size()
        self._by_kind: dict[str, Size] = {}
        self._by_team: dict[str, Size] = {}
        self._shapes: dict[str, tuple[float, ...]] = {}
        self._observed = 0
        self._floors: dict[str, Size] = {}
        self._reserves: dict[str, Size] = {}
        self._reserved = Size()
        self._beside_floors: dict[str, Size] = {}
        self._below_floor: set[str] = set()
        # Capacity without what is held and reserved; None after a change.
        self._available: Size | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply the kinds and quotas of a configuration."""
        self._kinds = {kind.name: kind for kind in configuration.kinds}
        self._quotas = {quota.team: quota for quota in configuration.quotas}
        self._refresh()

    def set_capacity(self, capacity: Size) -> None:
        """Set what the zone's workers hold together."""
        if capacity != self._capacity:
            self._capacity = capacity
            self._refresh()

    def observe(self, request: Request) -> None:
        """Learn the usual shape of a kind from a request."""
        shape = self._shapes.get(request.kind)
        if shape is None:
            self._shapes[request.kind] = tuple(map(float, request.size))
            self._refresh()
            return
        self._shapes[request.kind] = tuple(
            old + SHAPE_STEP * (new - old) for old, new in zip(shape, request.size)
        )
        self._observed += 1
        if self._observed % SHAPE_INTERVAL == 0:
            self._refresh()

    def volume(self, request: Request) -> float:
        """Return the sum of the parts of processors and memory a request needs."""
        cpu, memory = self._capacity[0] or 1, self._capacity[1] or 1
        size = request.size
        return request.tasks * (size[0] / cpu + size[1] / memory)

    def team_weight(self, team: str) -> int:
        """Return the weight of a team's turns."""
        quota = self._quotas.get(team)
        return 1 if quota is None else quota.weight

    def over_quota_alone(self, request: Request) -> list[str]:
        """Return the dimensions in which a request exceeds its team's whole quota."""
        quota = self._quotas.get(request.key.team)
        if quota is None:
            return []
        return times(request.size, request.tasks).dimensions_exceeding(quota.limit)

    def is_below_floor(self, kind: str) -> bool:
        """Return whether a kind holds less than its floor."""
        return kind in self._below_floor

    def within_quota(self, request: Request) -> bool:
        """Return whether a request fits in what its team's quota leaves."""
        quota = self._quotas.get(request.key.team)
        if quota is None:
            return True
        size = times(request.size, request.tasks)
        return self.allocated_to_team(request.key.team).plus(size).fits(quota.limit)

    def allows(self, request: Request) -> bool:
        """Return whether quota, ceiling and the floors of others allow a request."""
        room = self.room(request.kind)
        size = times(request.size, request.tasks)
        fits = room is None or size.fits(room) or self.outsizes_floors(request, size)
        return fits and self.within_quota(request)

    def outsizes_floors(self, request: Request, size: Size) -> bool:
        """Return whether a request can never fit beside the floors of other kinds.

        Only free workers hold such a request back, or it would wait for ever.
        """
        beside = self._beside_floors.get(request.kind)
        return beside is not None and not size.fits(beside)

    def room(self, kind: str) -> Size | None:
        """Return what one more request of a kind may hold; None for no limit.

        Its own ceiling and the floors of the other kinds limit it.
        """
        if not any(self._capacity):
            return None
        if self._available is None:
            self._available = self._capacity.minus(self._held).minus(self._reserved)
        room = self._available
        if kind in self._reserves:
            room = room.plus(self._reserves[kind])
        configured = self._kinds.get(kind)
        if configured is not None and configured.ceiling < 1.0:
            limit = self._part(configured.ceiling)
            left = limit.minus(self.allocated_to_kind(kind))
            room = Size(*map(min, room, left))
        return room if min(room) >= 0 else Size(*(max(0, left) for left in room))

    def charge(self, request: Request, size: Size) -> bool:
        """Count a started request; False if it is counted already."""
        if request.key in self._charges:
            return False
        charge = Charge(request.kind, request.key.team, size, request.tasks)
        self._charges[request.key] = charge
        self._count(charge, times(size, request.tasks))
        return True

    def discharge(self, key: RequestKey) -> bool:
        """Give back what a request held; False if it is not counted."""
        charge = self._charges.pop(key, None)
        if charge is None:
            return False
        self._count(charge, NOTHING.minus(times(charge.size, charge.tasks)))
        return True

    def allocated_to_kind(self, kind: str) -> Size:
        """Return what the started requests of a kind hold."""
        return self._by_kind.get(kind, NOTHING)

    def allocated_to_team(self, team: str) -> Size:
        """Return what the started requests of a team hold."""
        return self._by_team.get(team, NOTHING)

    def _count(self, charge: Charge, size: Size) -> None:
        self._held = self._held.plus(size)
        self._available = None
        self._by_kind[charge.kind] = self.allocated_to_kind(charge.kind).plus(size)
        team = self.allocated_to_team(charge.team).plus(size)
        if any(team):
            self._by_team[charge.team] = team
        else:
            self._by_team.pop(charge.team, None)
        self._reserve(charge.kind)

    def _refresh(self) -> None:
        self._floors = {
            kind.name: self._floor(kind) for kind in self._kinds.values() if kind.floor
        }
        self._reserves.clear()
        self._below_floor.clear()
        self._available = None
        self._reserved = NOTHING
        floors = NOTHING
        for kind, floor in self._floors.items():
            floors = floors.plus(floor)
            self._reserve(kind)
        left = self._capacity.minus(floors)
        self._beside_floors = {
            name: left.plus(self._floors.get(name, NOTHING))
            for name, kind in self._kinds.items()
            if kind.ceiling >= 1.0
        }

    def _reserve(self, kind: str) -> None:
        floor = self._floors.get(kind)
        if floor is None:
            return
        held = self.allocated_to_kind(kind)
        reserve = Size(*(max(0, all_ - has) for all_, has in zip(floor, held)))
        old = self._reserves.get(kind, NOTHING)
        self._reserves[kind] = reserve
        self._reserved = self._reserved.plus(reserve).minus(old)
        if any(floor) and all(left or not all_ for all_, left in zip(floor, reserve)):
            self._below_floor.add(kind)
        else:
            self._below_floor.discard(kind)

    def _floor(self, kind: WorkKind) -> Size:
        shape = self._shapes.get(kind.name)
        if shape is None:
            return self._part(kind.floor)._replace(accelerators=0)
        dominant = max(
            (used / all_ for used, all_ in zip(shape, self._capacity) if all_),
            default=0.0,
        )
        if not dominant:
            return Size()
        tasks = kind.floor / dominant
        return Size(*(int(used * tasks) for used in shape))

    def _part(self, part: float) -> Size:
        return Size(*(int(all_ * part) for all_ in self._capacity))


def times(size: Size, tasks: int) -> Size:
    if tasks == 1:
        return size
    return Size(*(tasks * needed for needed in size))
