"""The leader's record of the tasks on its zone's workers, and of free capacity."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import chain

from marigoldpath_core.messages import HostState, WorkerHost
from marigoldpath_core.requests import Size

from ._index import Bucket, FreeCapacityIndex
from ._model import TaskAllocation, UnknownWorkerError, WorkerView
from ._policies import placement_policies

KindAndTeam = tuple[str, str]
# The number of tasks that are said to fit a worker if a task needs no capacity.
UNLIMITED_TASKS = 1_000_000
Counts = dict[str, int]
NO_COUNTS: Counts = {}


class Workers:
    """Tracks the allocations on a zone's workers and chooses workers for tasks.

    A new worker is not chosen before `set_ready` has been called for it with True.
    """

    def __init__(self) -> None:
        self._views: dict[str, WorkerView] = {}
        self._tasks: dict[str, dict[str, TaskAllocation]] = {}
        self._index = FreeCapacityIndex()
        self._racks: dict[str, Bucket] = {}
        self._rack_groups: dict[KindAndTeam, Counts] = {}
        self._worker_groups: dict[KindAndTeam, Counts] = {}
        self._reserved: dict[str, tuple[str, ...]] = {}
        self._capacities: Counter[Size] = Counter()
        self._capacity = Size()
        self._used = Size()
        # Increases whenever free capacity may have grown. Workers for a gang that did
        # not fit are searched for again only after an increase.
        self._capacity_generation = 0
        self._failed_gangs: dict[tuple[Size, int], int] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._views

    def __iter__(self) -> Iterator[WorkerView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    @property
    def capacity(self) -> Size:
        """Return the total capacity of the schedulable workers."""
        return self._capacity

    @property
    def used(self) -> Size:
        """Return the total capacity allocated on the schedulable workers."""
        return self._used

    def view(self, name: str) -> WorkerView:
        """Return the view of a worker; raise UnknownWorkerError if there is none."""
        try:
            return self._views[name]
        except KeyError:
            raise UnknownWorkerError(f"worker {name!r} is not in the list") from None

    def free(self, name: str) -> Size:
        """Return the free capacity of a worker; raise UnknownWorkerError if unknown."""
        return self.view(name).free

    def tasks_on(self, name: str) -> tuple[TaskAllocation, ...]:
        """Return the allocations on a worker."""
        return tuple(self._tasks.get(name, {}).values())

    def utilization(self) -> float:
        """Return the used fraction, 0 to 1, of the most used dimension."""
        shares = [
            used / total for used, total in zip(self._used, self._capacity) if total
        ]
        return max(shares, default=0.0)

    def add(self, worker: WorkerHost) -> None:
        """Add a worker, or update its capacity, rack and state."""
        old = self._views.get(worker.name)
        leaving = worker.state is HostState.LEAVING
        if old is None:
            view = WorkerView(worker.name, worker.rack, worker.capacity)
            self._tasks[worker.name] = {}
        else:
            if old[1:3] == (worker.rack, worker.capacity) and old.leaving == leaving:
                return
            tasks = self.remove(worker.name)
            view = old._replace(rack=worker.rack, capacity=worker.capacity)
            self._tasks[worker.name] = {}
            for task in tasks:
                self._add_task(view, task)
        view = view._replace(leaving=leaving).with_used(view.used)
        self._capacities[view.capacity] += 1
        self._capacity_generation += 1
        if self._index.include_capacity(view.capacity):
            for other in self._views.values():
                if other.is_schedulable:
                    self._index.put(other)
        self._replace_view(None, view)

    def remove(self, name: str) -> tuple[TaskAllocation, ...]:
        """Remove a worker and return the allocations it had."""
        view = self._views.get(name)
        if view is None:
            return ()
        self._replace_view(view, None)
        self._capacities[view.capacity] -= 1
        if not self._capacities[view.capacity]:
            del self._capacities[view.capacity]
        tasks = tuple(self._tasks.pop(name).values())
        for task in tasks:
            self._add_to_groups(view, task, -1)
        return tasks

    def allocate(
        self, name: str, task: str, size: Size, kind: str, team: str = ""
    ) -> None:
        """Allocate capacity to a task on a worker.

        An existing allocation of the task on the worker is replaced. The sum of the
        allocations is not checked against the worker's capacity. It can exceed the
        capacity, because running tasks are recorded as they are: those that a new
        leader adopts, and those that use more than was allocated. Raises
        UnknownWorkerError.
        """
        view = self.view(name)
        if task in self._tasks[name]:
            self.release(name, task)
            view = self._views[name]
        self._add_task(view, TaskAllocation(task, size, kind, team))
        self._set_used(view, view.used.plus(size), self._used.plus(size))

    def release(self, name: str, task: str) -> TaskAllocation | None:
        """Release a task's allocation and return it; None if there is none."""
        allocation = self._tasks.get(name, {}).pop(task, None)
        if allocation is None:
            return None
        view = self._views[name]
        self._add_to_groups(view, allocation, -1)
        self._set_used(
            view, view.used.minus(allocation.size), self._used.minus(allocation.size)
        )
        self._capacity_generation += 1
        return allocation

    def set_ready(self, name: str, ready: bool) -> None:
        """Set whether the leader's claim on a worker allows it to start tasks there."""
        self._set_flags(name, ready=ready)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Set whether a worker's host is draining, so that it accepts no new tasks."""
        self._set_flags(name, leaving=leaving)

    def set_healthy(self, name: str, healthy: bool) -> None:
        """Set whether a worker's health allows new tasks."""
        self._set_flags(name, removed=not healthy)

    def choose_worker(
        self, policy: str, size: Size, kind: str, team: str, *, reservation: str = ""
    ) -> str | None:
        """Return a worker for a task, or None if the task fits none.

        Workers that are reserved under another `reservation` are excluded. Raises
        UnknownEntryError for an unknown policy.
        """
        candidates = _UnreservedWorkers(self, reservation) if self._reserved else self
        return placement_policies.get(policy)(candidates, size, kind, team)

    def choose_gang_workers(
        self,
        policy: str,
        size: Size,
        count: int,
        kind: str,
        team: str,
        *,
        reservation: str = "",
    ) -> list[str] | None:
        """Return a worker for each of `count` tasks, or None unless all of them fit.

        Allocates nothing. The caller must allocate before it handles the next event,
        because the free capacity may be different after it.
        """
        if (
            not reservation
            and self._failed_gangs.get((size, count)) == self._capacity_generation
        ):
            return None
        choose_worker = partial(
            self.choose_worker, policy, size, kind, team, reservation=reservation
        )
        chosen = self._place_gang(size, count, choose_worker, (kind, team))
        if chosen is None and not reservation:
            if len(self._failed_gangs) > 100:
                self._failed_gangs.clear()
            self._failed_gangs[size, count] = self._capacity_generation
        return chosen

    def unsatisfiable_dimensions(self, size: Size) -> list[str]:
        """Return the dimensions in which a size exceeds every empty worker.

        If workers differ, these are the fewest dimensions that it exceeds on any of
        them. The list is empty if the size fits a worker or there are no workers.
        """
        exceeded = [
            size.dimensions_exceeding(capacity) for capacity in self._capacities
        ]
        return min(exceeded, key=len, default=[])

    def largest_fitting_capacity(self, size: Size) -> Size | None:
        """Return the largest capacity of a worker that `size` fits, or None.

        The largest is that with the most CPU, then with the most memory.
        """
        fitting = [capacity for capacity in self._capacities if size.fits(capacity)]
        return max(fitting, default=None)

    def max_concurrent_tasks(self, size: Size) -> int:
        """Return the number of tasks of `size` that fit the zone while it is empty."""
        total = 0
        for capacity, copies in self._capacities.items():
            counts = [have // need for have, need in zip(capacity, size) if need]
            total += copies * min(counts, default=UNLIMITED_TASKS)
        return total

    def reserve(self, reservation: str, size: Size, count: int = 1) -> bool:
        """Reserve workers for a request that does not fit yet.

        Reserves the workers with the smallest shortfall. Returns False, and reserves
        nothing, if the request would not fit the schedulable workers without another
        reservation even if they were empty.
        """
        self.unreserve(reservation)
        suitable = [
            view
            for view in self._views.values()
            if view.is_schedulable
            and not view.reserved_for
            and size.fits(view.capacity)
        ]
        suitable.sort(key=lambda view: (_largest_shortfall(view, size), view.name))
        names = []
        fitting_tasks = 0
        for view in suitable:
            names.append(view.name)
            fitting_tasks += _copies_that_fit(view.capacity, size, count)
            if fitting_tasks >= count:
                break
        if fitting_tasks < count:
            return False
        self._reserved[reservation] = tuple(names)
        for name in names:
            self._set_flags(name, reserved_for=reservation)
        return True

    def unreserve(self, reservation: str) -> None:
        """Remove a reservation if there is one."""
        for name in self._reserved.pop(reservation, ()):
            if name in self._views:
                self._set_flags(name, reserved_for="")

    def in_order(self) -> Iterable[WorkerView]:
        """Return all schedulable workers in the order in which they were added."""
        return (view for view in self._views.values() if view.is_schedulable)

    def fitting(self, size: Size) -> Iterable[WorkerView]:
        """Return the schedulable workers that `size` fits.

        They are ordered by free accelerators, and those with equally many approximately
        by free CPU and memory; the workers with the least come first.
        """
        return self._index.fitting(size)

    def racks(self, kind: str, team: str) -> list[str]:
        """Return the racks, those with the fewest tasks of the kind and team first."""
        counts = self._rack_groups.get((kind, team), NO_COUNTS)
        return sorted(self._racks, key=lambda rack: (counts.get(rack, 0), rack))

    def fitting_in_rack(self, rack: str, size: Size) -> Iterable[WorkerView]:
        """Return the schedulable workers of a rack that `size` fits."""
        return self._racks[rack].fitting(size)

    def group_count(self, name: str, kind: str, team: str) -> int:
        """Return the number of the kind's and team's tasks on a worker."""
        return self._worker_groups.get((kind, team), NO_COUNTS).get(name, 0)

    def _place_gang(
        self,
        size: Size,
        count: int,
        choose_worker: Callable[[], str | None],
        group: KindAndTeam,
    ) -> list[str] | None:
        if not self._may_fit(size, count):
            return None
        chosen: list[str] = []
        try:
            while len(chosen) < count:
                name = choose_worker()
                if name is None:
                    return None
                self.allocate(name, f"\0{len(chosen)}", size, *group)
                chosen.append(name)
        finally:
            generation = self._capacity_generation
            for number, name in enumerate(chosen):
                self.release(name, f"\0{number}")
            self._capacity_generation = generation
        return chosen

    def _may_fit(self, size: Size, count: int) -> bool:
        fitting_tasks = 0
        for view in self._index.fitting(size):
            fitting_tasks += _copies_that_fit(view.free, size, count)
            if fitting_tasks >= count:
                return True
        return False

    def _add_task(self, view: WorkerView, task: TaskAllocation) -> None:
        self._tasks[view.name][task.task] = task
        self._add_to_groups(view, task, 1)

    def _add_to_groups(
        self, view: WorkerView, task: TaskAllocation, change: int
    ) -> None:
        group = task.kind, task.team
        for groups, name in (
            (self._rack_groups, view.rack),
            (self._worker_groups, view.name),
        ):
            counts = groups.get(group)
            if counts is None:
                counts = groups[group] = {}
            count = counts.get(name, 0) + change
            if count:
                counts[name] = count
                continue
            del counts[name]
            if not counts:
                del groups[group]

    def _set_flags(self, name: str, **flags: bool | str) -> None:
        view = self.view(name)
        if any(getattr(view, field) != value for field, value in flags.items()):
            self._capacity_generation += 1
            self._replace_view(view, view._replace(**flags))  # type: ignore[arg-type]

    def _set_used(self, view: WorkerView, used: Size, total: Size) -> None:
        changed = view.with_used(used)
        self._views[view.name] = changed
        if changed.is_schedulable:
            self._used = total
            self._index.put(changed)
            self._racks[view.rack].put(changed)

    def _replace_view(self, old: WorkerView | None, new: WorkerView | None) -> None:
        was_schedulable = old is not None and old.is_schedulable
        if old is not None and was_schedulable:
            self._capacity = self._capacity.minus(old.capacity)
            self._used = self._used.minus(old.used)
        if new is not None:
            self._views[new.name] = new
            if new.is_schedulable:
                self._capacity = self._capacity.plus(new.capacity)
                self._used = self._used.plus(new.used)
                self._index.put(new)
                self._racks.setdefault(new.rack, Bucket()).put(new)
                return
        if old is not None:
            if new is None:
                del self._views[old.name]
            if was_schedulable:
                self._index.discard(old.name)
                self._remove_from_rack(old)

    def _remove_from_rack(self, view: WorkerView) -> None:
        rack = self._racks.get(view.rack)
        if rack is not None and view.name in rack.members:
            rack.discard(view.name)
            if not rack.members:
                del self._racks[view.rack]


class _UnreservedWorkers:
    """The workers that are not reserved for another request."""

    def __init__(self, workers: Workers, reservation: str) -> None:
        self._workers = workers
        self._allowed = ("", reservation)
        self.racks = workers.racks
        self.group_count = workers.group_count

    def in_order(self) -> Iterable[WorkerView]:
        return self._unreserved(self._workers.in_order())

    def fitting(self, size: Size) -> Iterable[WorkerView]:
        return self._unreserved(self._workers.fitting(size))

    def fitting_in_rack(self, rack: str, size: Size) -> Iterable[WorkerView]:
        return self._unreserved(self._workers.fitting_in_rack(rack, size))

    def _unreserved(self, views: Iterable[WorkerView]) -> Iterable[WorkerView]:
        return (view for view in views if view.reserved_for in self._allowed)


def _copies_that_fit(free: Size, size: Size, limit: int) -> int:
    return min(
        chain(
            [limit],
            (available // needed for available, needed in zip(free, size) if needed),
        )
    )


def _largest_shortfall(view: WorkerView, size: Size) -> float:
    return max(
        (needed - free) / capacity
        for needed, free, capacity in zip(size, view.free, view.capacity)
        if capacity
    )
