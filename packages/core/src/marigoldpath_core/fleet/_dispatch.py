"""A pass over the open steps that starts what has room, the most urgent first."""

from marigoldpath_core.jobs import Resources

from . import _advice, _preemption
from ._fleet import Fleet
from ._placement import Candidates, background_share, candidates, choose
from ._starts import start
from ._work import Step, Task
from ._worker import Worker


def dispatch(fleet: Fleet) -> None:
    """Start waiting tasks on workers with room, and ask for advice where needed."""
    fleet.needs_dispatch = False
    waiting = [step for step in fleet.open_steps.values() if step.waiting]
    waiting.sort(key=lambda step: _order(fleet, step))
    for step in waiting[: fleet.settings.considered_steps]:
        if fleet.is_blocked(step):
            continue
        if step.spec.gang:
            _place_gang(fleet, step)
        else:
            _place_tasks(fleet, step)
        _advice.ask_if_needed(fleet, step)
    _advice.ask_ahead(fleet)


def _order(fleet: Fleet, step: Step) -> tuple[float, ...]:
    job = step.job
    # A job that is late already earns less than one that can still be on time.
    late = not step.spec.long_running and fleet.now_ms > job.due_ms
    return (job.queue.priority, late, job.due_ms)


def _place_tasks(fleet: Fleet, step: Step) -> None:
    among = candidates(fleet, step)
    if not among.workers:
        return
    unplaced: list[Task] = []
    for task in step.waiting:
        worker = choose(fleet, step, task, among)
        if worker is None and task.avoided:
            _forgive(among, task)
            worker = choose(fleet, step, task, among)
        if worker is None:
            unplaced.append(task)
            continue
        start(fleet, worker, task, fleet.next_number(task))
        among.placed[worker.worker_id] += 1
        among.racks[worker.entry.rack] += 1
    if unplaced:
        _preemption.make_room(fleet, step, among, len(unplaced))


def _forgive(among: Candidates, task: Task) -> None:
    """Let a task return to workers it avoids when there are no others."""
    if all(worker.worker_id in task.avoided for worker in among.workers):
        task.avoided.clear()


def _place_gang(fleet: Fleet, step: Step) -> None:
    """Start all tasks of a gang or none."""
    if any(task.run is not None for task in step.tasks):
        return
    among = candidates(fleet, step)
    plan = _plan_gang(fleet, step, among)
    if plan is None:
        return
    number = fleet.next_number(*step.tasks)
    for task, worker in zip(step.tasks, plan):
        start(fleet, worker, task, number)


def _plan_gang(fleet: Fleet, step: Step, among: Candidates) -> list[Worker] | None:
    count = len(step.tasks)
    avoided = step.tasks[0].avoided
    # A gang that could never leave the urgent share free does not have to.
    could_fit = sum(_most_fitting(fleet, step, worker) for worker in among.workers)
    rooms = [
        (_room_for(fleet, step, worker, could_fit >= count), worker)
        for worker in among.workers
        if worker.worker_id not in avoided
    ]
    if step.spec.colocated:
        racks: dict[str, int] = {}
        for room, worker in rooms:
            racks[worker.entry.rack] = racks.get(worker.entry.rack, 0) + room
        rooms.sort(key=lambda each: (-racks[each[1].entry.rack], -each[0]))
    else:
        rooms.sort(key=lambda each: -each[0])
    plan: list[Worker] = []
    for room, worker in rooms:
        plan.extend([worker] * min(room, count - len(plan)))
        if len(plan) == count:
            return plan
    if avoided:
        avoided.clear()
    return None


def _room_for(fleet: Fleet, step: Step, worker: Worker, leave_share: bool) -> int:
    """Return how many tasks of the step fit on the worker now."""
    free = worker.free
    if leave_share and step.job.queue.priority > 0:
        usable = background_share(fleet, worker) - worker.background_cpu
        free = free._replace(cpu_millis=min(free.cpu_millis, usable))
    return _count_fitting(step, free)


def _most_fitting(fleet: Fleet, step: Step, worker: Worker) -> int:
    """Return how many tasks of the step fit on the worker when it is empty."""
    capacity = worker.entry.capacity
    if step.job.queue.priority > 0:
        capacity = capacity._replace(cpu_millis=background_share(fleet, worker))
    return _count_fitting(step, capacity)


def _count_fitting(step: Step, room: Resources) -> int:
    fits = [have // want for have, want in zip(room, step.need) if want]
    if step.spec.max_per_worker:
        fits.append(step.spec.max_per_worker)
    return max(0, min(fits, default=len(step.tasks)))
