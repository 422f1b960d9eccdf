"""An index of workers by what they have free."""

from bisect import insort
from collections.abc import Iterator

from marigoldpath_core.requests import Size

from ._model import WorkerView

# Free capacity is told apart in half octaves down to 1/256 of the largest worker. Equal
# steps put nearly all workers of a busy fleet in one bucket: 396 us a decision at 4,100
# workers instead of 300 us or less.
FINEST_PART = 256


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


# The levels of processors and memory after their sum, which orders the search.
BucketKey = tuple[int, int, int]


class Pool:
    """Buckets of the workers with one number of free accelerators."""

    __slots__ = ("buckets", "order")

    def __init__(self) -> None:
        self.buckets: dict[BucketKey, Bucket] = {}
        self.order: list[BucketKey] = []

    def put(self, key: BucketKey, view: WorkerView) -> None:
        """Add or replace a worker in a bucket."""
        bucket = self.buckets.get(key)
        if bucket is None:
            bucket = self.buckets[key] = Bucket()
            insort(self.order, key)
        bucket.put(view)

    def discard(self, key: BucketKey, name: str) -> None:
        """Remove a worker from a bucket."""
        bucket = self.buckets[key]
        bucket.discard(name)
        if not bucket.members:
            del self.buckets[key]
            self.order.remove(key)

    def fitting(self, size: Size, cpu: int, memory: int) -> Iterator[WorkerView]:
        """Yield the workers with `size` free, of at least the given levels."""
        for key in tuple(self.order):
            if key[1] >= cpu and key[2] >= memory:
                yield from self.buckets[key].fitting(size)


class FreeIndex:
    """Open workers by free accelerators, processors and memory.

    Workers without free accelerators come first, so that tasks which need none leave
    the others alone while there is other room.
    """

    def __init__(self) -> None:
        self._largest = Size(1, 1, 0, 0, 0)
        self._pools: dict[int, Pool] = {}
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
        cpu, memory = self._levels(free)
        place = max(free[2], 0), (cpu + memory, cpu, memory)
        old = self._places.get(view.name)
        if old != place:
            if old is not None:
                self._take_out(view.name, old)
            self._places[view.name] = place
        pool = self._pools.get(place[0])
        if pool is None:
            pool = self._pools[place[0]] = Pool()
        pool.put(place[1], view)

    def discard(self, name: str) -> None:
        """Remove a worker if it is in the index."""
        place = self._places.pop(name, None)
        if place is not None:
            self._take_out(name, place)

    def fitting(self, size: Size) -> Iterator[WorkerView]:
        """Yield the workers that have `size` free, nearly the fullest first."""
        cpu, memory = self._levels(size)
        for accelerators in sorted(self._pools):
            if accelerators >= size[2]:
                yield from self._pools[accelerators].fitting(size, cpu, memory)

    def _take_out(self, name: str, place: tuple[int, BucketKey]) -> None:
        pool = self._pools[place[0]]
        pool.discard(place[1], name)
        if not pool.order:
            del self._pools[place[0]]

    def _levels(self, size: Size) -> tuple[int, int]:
        return (
            _level(size[0] * FINEST_PART // self._largest[0]),
            _level(size[1] * FINEST_PART // self._largest[1]),
        )


def _level(parts: int) -> int:
    """Return the half octave of a number, 0 for none."""
    if parts <= 0:
        return 0
    bits = parts.bit_length()
    return 2 * bits + (parts >> (bits - 2) & 1 if bits > 1 else 0)


def _maximum(one: Size, other: Size) -> Size:
    if one.fits(other):
        return other
    if other.fits(one):
        return one
    return Size(*map(max, one, other))
