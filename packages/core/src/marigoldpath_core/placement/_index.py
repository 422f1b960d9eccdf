"""An index of workers by what they have free."""

from collections.abc import Iterator
from functools import cache

from marigoldpath_core.requests import Size

from ._model import WorkerView

# Twelve levels keep a pool below 170 buckets, so that a search which finds nothing
# stays under 100 us, while a bucket still holds few workers that do not fit.
LEVELS = 12


class Bucket:
    """Workers with similar free capacity and an upper bound of what any has free."""

    __slots__ = ("bound", "members")

    def __init__(self) -> None:
        self.members: dict[str, WorkerView] = {}
        self.bound = Size()

    def put(self, view: WorkerView) -> None:
        """Add or replace a worker."""
        self.members[view.name] = view
        self.bound = _maximum(self.bound, view.free)

    def discard(self, name: str) -> None:
        """Remove a worker; the bound stays until the next search tightens it."""
        del self.members[name]

    def fitting(self, size: Size) -> Iterator[WorkerView]:
        """Yield the workers that have `size` free."""
        if not size.fits(self.bound):
            return
        cpu, memory, accelerators, slots, connections = size
        found = False
        for view in self.members.values():
            free = view.free
            if (
                cpu <= free[0]
                and memory <= free[1]
                and accelerators <= free[2]
                and slots <= free[3]
                and connections <= free[4]
            ):
                found = True
                yield view
        if not found:
            self._tighten()

    def _tighten(self) -> None:
        free = (view.free for view in self.members.values())
        self.bound = Size(*map(max, zip(*free)))


BucketKey = tuple[int, int]


class FreeIndex:
    """Open workers by free accelerators, processors and memory.

    Workers without free accelerators come first, so that tasks which need none leave
    the others alone while there is other room.
    """

    def __init__(self) -> None:
        self._largest = Size(1, 1, 0, 0, 0)
        self._pools: dict[int, dict[BucketKey, Bucket]] = {}
        self._places: dict[str, tuple[int, BucketKey]] = {}

    def grow(self, capacity: Size) -> bool:
        """Take note of a capacity; return whether all workers must be put again."""
        largest = _maximum(self._largest, capacity)
        grown = largest != self._largest
        self._largest = largest
        return grown

    def put(self, view: WorkerView) -> None:
        """Add a worker or move it to where its free capacity belongs."""
        free = view.free
        place = max(free[2], 0), (self._level(free, 0), self._level(free, 1))
        old = self._places.get(view.name)
        if old != place:
            if old is not None:
                self._take_out(view.name, old)
            self._places[view.name] = place
        buckets = self._pools.setdefault(place[0], {})
        bucket = buckets.get(place[1])
        if bucket is None:
            bucket = buckets[place[1]] = Bucket()
        bucket.put(view)

    def discard(self, name: str) -> None:
        """Remove a worker if it is in the index."""
        place = self._places.pop(name, None)
        if place is not None:
            self._take_out(name, place)

    def fitting(self, size: Size) -> Iterator[WorkerView]:
        """Yield the workers that have `size` free, nearly the fullest first."""
        order = _search_order(self._level(size, 0), self._level(size, 1))
        for pool in sorted(self._pools):
            if pool < size[2]:
                continue
            buckets = self._pools[pool]
            for key in order:
                bucket = buckets.get(key)
                if bucket is not None:
                    yield from bucket.fitting(size)

    def _take_out(self, name: str, place: tuple[int, BucketKey]) -> None:
        buckets = self._pools[place[0]]
        bucket = buckets[place[1]]
        bucket.discard(name)
        if not bucket.members:
            del buckets[place[1]]
            if not buckets:
                del self._pools[place[0]]

    def _level(self, size: Size, dimension: int) -> int:
        if size[dimension] <= 0:
            return 0
        return min(size[dimension] * LEVELS // self._largest[dimension], LEVELS)


@cache
def _search_order(cpu_level: int, memory_level: int) -> tuple[BucketKey, ...]:
    keys = [
        (cpu, memory)
        for cpu in range(cpu_level, LEVELS + 1)
        for memory in range(memory_level, LEVELS + 1)
    ]
    return tuple(sorted(keys, key=lambda key: (sum(key), key)))


def _maximum(one: Size, other: Size) -> Size:
    if one.fits(other):
        return other
    if other.fits(one):
        return one
    return Size(*map(max, one, other))
