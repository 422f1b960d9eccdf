"""An index of workers by their free capacity."""

from bisect import insort
from collections.abc import Iterator

from marigoldpath_core.requests import Size

from ._model import WorkerView

# Free capacity is measured in units of 1/256 of the largest worker and grouped by
# logarithmic levels. Levels of equal width put nearly all workers of a busy fleet in
# one bucket: a decision took 396 us with 4,100 workers instead of 300 us or less.
CAPACITY_STEPS = 256


class Bucket:
    """Workers with similar free capacity, and an upper bound of it per dimension."""

    __slots__ = ("bound", "members")

    def __init__(self) -> None:
        self.members: dict[str, WorkerView] = {}
        self.bound = Size()

    def put(self, view: WorkerView) -> None:
        """Add or replace a worker."""
        self.members[view.name] = view
        self.bound = _elementwise_maximum(self.bound, view.free)

    def discard(self, name: str) -> None:
        """Remove a worker; the next search without a result lowers the bound."""
        del self.members[name]

    def fitting(self, size: Size) -> Iterator[WorkerView]:
        """Yield the workers whose free capacity a task of `size` fits."""
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


# The sum of the CPU and memory levels, which orders the search, and then both levels.
BucketKey = tuple[int, int, int]


class AcceleratorPool:
    """Buckets of the workers that have the same number of free accelerators."""

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
        """Yield the workers that `size` fits, from buckets of at least these levels."""
        for key in tuple(self.order):
            if key[1] >= cpu and key[2] >= memory:
                yield from self.buckets[key].fitting(size)


class FreeCapacityIndex:
    """Indexes schedulable workers by free accelerators, CPU and memory.

    Searches yield workers with the fewest free accelerators first, so that tasks which
    need none use workers with accelerators only if no other worker fits.
    """

    def __init__(self) -> None:
        self._largest = Size(1, 1, 0, 0, 0)
        self._pools: dict[int, AcceleratorPool] = {}
        self._positions: dict[str, tuple[int, BucketKey]] = {}

    def include_capacity(self, capacity: Size) -> bool:
        """Update the largest capacity and return whether it grew.

        If so, all workers must be put again, because their levels have changed.
        """
        largest = _elementwise_maximum(self._largest, capacity)
        grown = largest != self._largest
        self._largest = largest
        return grown

    def put(self, view: WorkerView) -> None:
        """Add a worker, or move it to the bucket of its free capacity."""
        free = view.free
        cpu, memory = self._levels(free)
        position = max(free[2], 0), (cpu + memory, cpu, memory)
        old = self._positions.get(view.name)
        if old != position:
            if old is not None:
                self._remove(view.name, old)
            self._positions[view.name] = position
        pool = self._pools.get(position[0])
        if pool is None:
            pool = self._pools[position[0]] = AcceleratorPool()
        pool.put(position[1], view)

    def discard(self, name: str) -> None:
        """Remove a worker if it is in the index."""
        position = self._positions.pop(name, None)
        if position is not None:
            self._remove(name, position)

    def fitting(self, size: Size) -> Iterator[WorkerView]:
        """Yield the workers that `size` fits, approximately the fullest first."""
        cpu, memory = self._levels(size)
        for accelerators in sorted(self._pools):
            if accelerators >= size[2]:
                yield from self._pools[accelerators].fitting(size, cpu, memory)

    def _remove(self, name: str, position: tuple[int, BucketKey]) -> None:
        pool = self._pools[position[0]]
        pool.discard(position[1], name)
        if not pool.order:
            del self._pools[position[0]]

    def _levels(self, size: Size) -> tuple[int, int]:
        return (
            _log_level(size[0] * CAPACITY_STEPS // self._largest[0]),
            _log_level(size[1] * CAPACITY_STEPS // self._largest[1]),
        )


def _log_level(parts: int) -> int:
    """Return the logarithmic level, two per power of two, or 0 if not positive."""
    if parts <= 0:
        return 0
    bits = parts.bit_length()
    return 2 * bits + (parts >> (bits - 2) & 1 if bits > 1 else 0)


def _elementwise_maximum(one: Size, other: Size) -> Size:
    if one.fits(other):
        return other
    if other.fits(one):
        return one
    return Size(*map(max, one, other))
