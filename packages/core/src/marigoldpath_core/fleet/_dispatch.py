"""A pass over the open steps that starts what has room, the most urgent first."""

from . import _advice, _preemption
from ._fleet import Fleet
from ._placement import Candidates, candidates, choose, most_fitting, room_for
from ._pools import Pools
from ._starts import start
from ._work import Step, Task
from ._worker import Worker


def dispatch(fleet: Fleet) -> None:
    """Start waiting tasks on workers with room, and ask for advice where needed."""
    fleet.needs_dispatch = False
    pools = Pools(fleet)
    waiting = [step for step in fleet.open_steps.values() if step.waiting]
    waiting.sort(key=lambda step: _order(fleet, step))
    for step in waiting[: fleet.settings.considered_steps]:
        if fleet.is_blocked(step):
            continue
        if step.spec.gang:
            _place_gang(fleet, pools, step)
        else:
            _place_tasks(fleet, pools, step)
        _advice.ask_if_needed(fleet, pools, step)
    _advice.ask_ahead(fleet, pools)


def _order(fleet: Fleet, step: Step) -> tuple[float, ...]:
    job = step.job
    # A job that is late already earns less than one that can still be on time.
    late = not step.spec.long_running and fleet.now_ms > job.due_ms
    return (job.queue.priority, late, job.due_ms)


def _place_tasks(fleet: Fleet, pools: Pools, step: Step) -> None:
    among = candidates(fleet, pools, step)
    if not among.workers:
        _spread_if_advised(fleet, step)
        return
    waiting = step.waiting
    placed = 0
    for task in waiting:
        worker = choose(fleet, step, task, among)
        if worker is None and task.avoided:
            _forgive(among, task)
            worker = choose(fleet, step, task, among)
        if worker is None:
            if not task.avoided:
                # There is no room for the others either, which need as much.
                break
            continue
        start(fleet, worker, task, fleet.next_number(task))
        placed += 1
        among.placed[worker.worker_id] += 1
        among.racks[worker.entry.rack] += 1
    unplaced = len(waiting) - placed
    if unplaced and not fleet.spread(step.job):
        _preemption.make_room(fleet, step, among, unplaced)


def _spread_if_advised(fleet: Fleet, step: Step) -> None:
    """Let the job leave its zone when no worker there may run the step."""
    if step.asked or step.job.queue.advice is None:
        fleet.spread(step.job)


def _forgive(among: Candidates, task: Task) -> None:
    """Let a task return to workers it avoids when there are no others."""
    if all(worker.worker_id in task.avoided for worker in among.workers):
        task.avoided.clear()


def _place_gang(fleet: Fleet, pools: Pools, step: Step) -> None:
    """Start all tasks of a gang or none."""
    if any(task.run is not None for task in step.tasks):
        return
    among = candidates(fleet, pools, step)
    plan = _plan_gang(fleet, step, among)
    if plan is None:
        _spread_if_advised(fleet, step)
        return
    number = fleet.next_number(*step.tasks)
    for task, worker in zip(step.tasks, plan):
        start(fleet, worker, task, number)


def _plan_gang(fleet: Fleet, step: Step, among: Candidates) -> list[Worker] | None:
    count = len(step.tasks)
    avoided = step.tasks[0].avoided
    # A gang that could never leave the urgent share free does not have to.
    could_fit = sum(most_fitting(fleet, step, worker) for worker in among.workers)
    rooms = [
        (room_for(fleet, step, worker, could_fit >= count), worker)
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
