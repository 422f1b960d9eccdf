"""The leader's account of what its zone's workers hold."""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from itertools import chain

from marigoldpath_core.messages import HostState, WorkerHost
from marigoldpath_core.requests import Size

from ._index import Bucket, FreeIndex
from ._model import TaskAllocation, UnknownWorkerError, WorkerView
from ._policies import placement_policies

Group = tuple[str, str]
# Stands for a task that holds nothing, of which any number fits.
MOST_TASKS = 1_000_000
Counts = dict[str, int]
NO_COUNTS: Counts = {}


class Workers:
    """Workers of a zone, what runs on them and where the next task fits.

    A worker takes part in choices once `set_ready` has allowed it.
    """

    def __init__(self) -> None:
        self._views: dict[str, WorkerView] = {}
        self._tasks: dict[str, dict[str, TaskAllocation]] = {}
        self._index = FreeIndex()
        self._racks: dict[str, Bucket] = {}
        self._rack_groups: dict[Group, Counts] = {}
        self._worker_groups: dict[Group, Counts] = {}
        self._reserved: dict[str, tuple[str, ...]] = {}
        self._capacities: Counter[Size] = Counter()
        self._capacity = Size()
        self._used = Size()
        self._freed = 0
        self._failed_gangs: dict[tuple[Size, int], int] = {}

    def __contains__(self, name: str) -> bool:
        return name in self._views

    def __iter__(self) -> Iterator[WorkerView]:
        return iter(self._views.values())

    def __len__(self) -> int:
        return len(self._views)

    @property
    def capacity(self) -> Size:
        """Return the sum over the workers that take new tasks."""
        return self._capacity

    @property
    def used(self) -> Size:
        """Return the sum of what tasks hold on the workers that take new tasks."""
        return self._used

    def view(self, name: str) -> WorkerView:
        """Return a worker, or raise UnknownWorkerError."""
        try:
            return self._views[name]
        except KeyError:
            raise UnknownWorkerError(f"worker {name!r} is not in the list") from None

    def free(self, name: str) -> Size:
        """Return what a worker has free, or raise UnknownWorkerError."""
        return self.view(name).free

    def tasks_on(self, name: str) -> tuple[TaskAllocation, ...]:
        """Return the tasks that hold room on a worker."""
        return tuple(self._tasks.get(name, {}).values())

    def utilization(self) -> float:
        """Return the used part, 0 to 1, of the scarcest dimension."""
        shares = [held / all_ for held, all_ in zip(self._used, self._capacity) if all_]
        return max(shares, default=0.0)

    def add(self, worker: WorkerHost) -> None:
        """Add a worker, or take over its changed capacity, rack or state."""
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
                self._hold(view, task)
        view = view._replace(leaving=leaving).with_used(view.used)
        self._capacities[view.capacity] += 1
        self._freed += 1
        if self._index.grow(view.capacity):
            for other in self._views.values():
                if other.is_schedulable:
                    self._index.put(other)
        self._store(None, view)

    def remove(self, name: str) -> tuple[TaskAllocation, ...]:
        """Forget a worker and return the tasks that it held."""
        view = self._views.get(name)
        if view is None:
            return ()
        self._store(view, None)
        self._capacities[view.capacity] -= 1
        if not self._capacities[view.capacity]:
            del self._capacities[view.capacity]
        tasks = tuple(self._tasks.pop(name).values())
        for task in tasks:
            self._count(view, task, -1)
        return tasks

    def allocate(
        self, name: str, task: str, size: Size, kind: str, team: str = ""
    ) -> None:
        """Count a task on a worker, even beyond its capacity (for adopted tasks).

        Raises UnknownWorkerError.
        """
        view = self.view(name)
        if task in self._tasks[name]:
            self.release(name, task)
            view = self._views[name]
        self._hold(view, TaskAllocation(task, size, kind, team))
        self._use(view, view.used.plus(size), self._used.plus(size))

    def release(self, name: str, task: str) -> TaskAllocation | None:
        """Free what a task holds; None if the worker does not hold it."""
        held = self._tasks.get(name, {}).pop(task, None)
        if held is None:
            return None
        view = self._views[name]
        self._count(view, held, -1)
        self._use(view, view.used.minus(held.size), self._used.minus(held.size))
        self._freed += 1
        return held

    def set_ready(self, name: str, ready: bool) -> None:
        """Say whether the leader's claim allows starts on a worker."""
        self._set(name, ready=ready)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Say whether a worker is about to leave and takes no new task."""
        self._set(name, leaving=leaving)

    def set_healthy(self, name: str, available: bool) -> None:
        """Say whether a worker's health allows new tasks."""
        self._set(name, removed=not available)

    def choose_worker(
        self, policy: str, size: Size, kind: str, team: str, *, reservation: str = ""
    ) -> str | None:
        """Return the worker for a task, or None when none has room.

        A worker reserved for another `reservation` is left out. Raises
        UnknownEntryError for an unknown policy.
        """
        candidates = _Candidates(self, reservation) if self._reserved else self
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
        """Return a worker for each of `count` tasks, or None unless all have room.

        Nothing stays occupied: the caller occupies the workers in the same turn.
        """
        if not reservation and self._failed_gangs.get((size, count)) == self._freed:
            return None
        choose_worker = partial(
            self.choose_worker, policy, size, kind, team, reservation=reservation
        )
        chosen = self._place_gang(size, count, choose_worker, (kind, team))
        if chosen is None and not reservation:
            if len(self._failed_gangs) > 100:
                self._failed_gangs.clear()
            self._failed_gangs[size, count] = self._freed
        return chosen

    def unsatisfiable_dimensions(self, size: Size) -> list[str]:
        """Return why a size fits no worker even when empty; empty if it can run.

        Without any worker nothing can be said and the list is empty.
        """
        faults = [size.dimensions_exceeding(capacity) for capacity in self._capacities]
        return min(faults, key=len, default=[])

    def largest_fitting_capacity(self, size: Size) -> Size | None:
        """Return the largest capacity among the workers that a size fits."""
        fitting = [capacity for capacity in self._capacities if size.fits(capacity)]
        return max(fitting, default=None)

    def max_concurrent_tasks(self, size: Size) -> int:
        """Return how many tasks of a size the zone holds at once when empty."""
        total = 0
        for capacity, copies in self._capacities.items():
            counts = [have // need for have, need in zip(capacity, size) if need]
            total += copies * min(counts, default=MOST_TASKS)
        return total

    def reserve(self, reservation: str, size: Size, count: int = 1) -> bool:
        """Keep workers free for a request that does not fit yet.

        Takes the workers that lack least. Returns False when the fleet cannot hold
        the request even when empty; nothing is reserved then.
        """
        self.unreserve(reservation)
        suitable = [
            view
            for view in self._views.values()
            if view.is_schedulable
            and not view.reserved_for
            and size.fits(view.capacity)
        ]
        suitable.sort(key=lambda view: (_lack(view, size), view.name))
        names = []
        room = 0
        for view in suitable:
            names.append(view.name)
            room += _repeats(view.capacity, size, count)
            if room >= count:
                break
        if room < count:
            return False
        self._reserved[reservation] = tuple(names)
        for name in names:
            self._set(name, reserved_for=reservation)
        return True

    def unreserve(self, reservation: str) -> None:
        """Give up a reservation if there is one."""
        for name in self._reserved.pop(reservation, ()):
            if name in self._views:
                self._set(name, reserved_for="")

    def in_order(self) -> Iterable[WorkerView]:
        """Return all open workers in the order in which they were added."""
        return (view for view in self._views.values() if view.is_schedulable)

    def fitting(self, size: Size) -> Iterable[WorkerView]:
        """Return the open workers with room, nearly the fullest first."""
        return self._index.fitting(size)

    def racks(self, kind: str, team: str) -> list[str]:
        """Return the racks, those with the fewest tasks of the kind and team first."""
        counts = self._rack_groups.get((kind, team), NO_COUNTS)
        return sorted(self._racks, key=lambda rack: (counts.get(rack, 0), rack))

    def fitting_in_rack(self, rack: str, size: Size) -> Iterable[WorkerView]:
        """Return the open workers of a rack with room."""
        return self._racks[rack].fitting(size)

    def group_count(self, name: str, kind: str, team: str) -> int:
        """Return the number of the kind's and team's tasks on a worker."""
        return self._worker_groups.get((kind, team), NO_COUNTS).get(name, 0)

    def _place_gang(
        self,
        size: Size,
        count: int,
        choose_worker: Callable[[], str | None],
        group: Group,
    ) -> list[str] | None:
        if not self._may_hold(size, count):
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
            freed = self._freed
            for number, name in enumerate(chosen):
                self.release(name, f"\0{number}")
            self._freed = freed
        return chosen

    def _may_hold(self, size: Size, count: int) -> bool:
        room = 0
        for view in self._index.fitting(size):
            room += _repeats(view.free, size, count)
            if room >= count:
                return True
        return False

    def _hold(self, view: WorkerView, task: TaskAllocation) -> None:
        self._tasks[view.name][task.task] = task
        self._count(view, task, 1)

    def _count(self, view: WorkerView, task: TaskAllocation, change: int) -> None:
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

    def _set(self, name: str, **flags: bool | str) -> None:
        view = self.view(name)
        if any(getattr(view, field) != value for field, value in flags.items()):
            self._freed += 1
            self._store(view, view._replace(**flags))  # type: ignore[arg-type]

    def _use(self, view: WorkerView, used: Size, total: Size) -> None:
        changed = view.with_used(used)
        self._views[view.name] = changed
        if changed.is_schedulable:
            self._used = total
            self._index.put(changed)
            self._racks[view.rack].put(changed)

    def _store(self, old: WorkerView | None, new: WorkerView | None) -> None:
        was_open = old is not None and old.is_schedulable
        if old is not None and was_open:
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
            if was_open:
                self._index.discard(old.name)
                self._leave_rack(old)

    def _leave_rack(self, view: WorkerView) -> None:
        rack = self._racks.get(view.rack)
        if rack is not None and view.name in rack.members:
            rack.discard(view.name)
            if not rack.members:
                del self._racks[view.rack]


class _Candidates:
    """The workers without those that are reserved for another request."""

    def __init__(self, workers: Workers, reservation: str) -> None:
        self._workers = workers
        self._allowed = ("", reservation)
        self.racks = workers.racks
        self.group_count = workers.group_count

    def in_order(self) -> Iterable[WorkerView]:
        return self._only(self._workers.in_order())

    def fitting(self, size: Size) -> Iterable[WorkerView]:
        return self._only(self._workers.fitting(size))

    def fitting_in_rack(self, rack: str, size: Size) -> Iterable[WorkerView]:
        return self._only(self._workers.fitting_in_rack(rack, size))

    def _only(self, views: Iterable[WorkerView]) -> Iterable[WorkerView]:
        return (view for view in views if view.reserved_for in self._allowed)


def _repeats(room: Size, size: Size, most: int) -> int:
    return min(chain([most], (has // s for has, s in zip(room, size) if s)))


def _lack(view: WorkerView, size: Size) -> float:
    return max(
        (needed - free) / capacity
        for needed, free, capacity in zip(size, view.free, view.capacity)
        if capacity
    )
