"""Which worker a task is placed on; a registered rule scores the workers."""

from collections import Counter
from typing import NamedTuple

from marigoldpath_core.registry import Registry

from ._fleet import Fleet
from ._pools import Pools, has_label
from ._room import count_fitting
from ._work import Step, Task
from ._worker import Worker

rules: Registry = Registry("placement rule")


class Candidates(NamedTuple):
    """The workers that may run a step now and what bounds the choice.

    `placed` counts the step's runs on each worker, and `racks` on each rack.
    """

    workers: list[Worker]
    placed: Counter[str]
    racks: Counter[str]


def candidates(fleet: Fleet, pools: Pools, step: Step) -> Candidates:
    """Return the workers that may run a step, whether they have room or not."""
    if step.job.queue.advice is None:
        workers = pools.open(step)
    else:
        workers = _with_ticket(fleet, pools, step)
    if zone := step.job.zone:
        workers = [worker for worker in workers if worker.entry.zone == zone]
    placed = count_placed(step)
    racks: Counter[str] = Counter()
    for worker_id, count in placed.items():
        placed_on = fleet.workers.get(worker_id)
        if placed_on is not None:
            racks[placed_on.entry.rack] += count
    return Candidates(workers, placed, racks)


def count_placed(step: Step) -> Counter[str]:
    """Return the number of the step's runs on each worker."""
    return Counter(task.run.worker_id for task in step.tasks if task.run is not None)


def _with_ticket(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the open workers that the advice service lets the step run on now."""
    pool = pools.get(step.job.queue.service)
    workers = []
    for worker_id, ticket in step.tickets.items():
        worker = pool.open.get(worker_id)
        if worker is None or fleet.now_ms >= ticket.until_ms:
            continue
        if ticket.incarnation == worker.incarnation and has_label(step, worker):
            workers.append(worker)
    return workers


def has_room(fleet: Fleet, step: Step, worker: Worker) -> bool:
    """Return whether a run fits and leaves the share kept for urgent work."""
    need = step.need
    if not worker.fits(need):
        return False
    if step.job.queue.priority == 0 or step.spec.long_running or not need.cpu_millis:
        return True
    usable = background_share(fleet, worker)
    if need.cpu_millis > usable:
        # The task would never start if it had to leave the share free.
        return not worker.background_cpu
    return worker.background_cpu + need.cpu_millis <= usable


def background_share(fleet: Fleet, worker: Worker) -> int:
    """Return the processors, in thousandths, that background work may hold."""
    kept = 1 - fleet.settings.urgent_reserve
    return int(kept * worker.entry.capacity.cpu_millis)


def room_for(fleet: Fleet, step: Step, worker: Worker, leave_share: bool) -> int:
    """Return how many tasks of the step fit on the worker now."""
    free = worker.free
    if leave_share and step.job.queue.priority > 0:
        usable = background_share(fleet, worker) - worker.background_cpu
        free = free._replace(cpu_millis=min(free.cpu_millis, usable))
    return count_fitting(step.spec, step.need, free)


def most_fitting(fleet: Fleet, step: Step, worker: Worker) -> int:
    """Return how many tasks of the step fit on the worker when it is empty."""
    capacity = worker.entry.capacity
    if step.job.queue.priority > 0:
        capacity = capacity._replace(cpu_millis=background_share(fleet, worker))
    return count_fitting(step.spec, step.need, capacity)


def choose(fleet: Fleet, step: Step, task: Task, among: Candidates) -> Worker | None:
    """Return the best worker with room, or None."""
    score = rules.get(rule_name(step))
    limit = step.spec.max_per_worker
    best: Worker | None = None
    best_score: tuple[float, ...] = ()
    for worker in among.workers:
        if limit and among.placed[worker.worker_id] >= limit:
            continue
        if worker.worker_id in task.avoided or not has_room(fleet, step, worker):
            continue
        value = (*_locality(step, worker, among), *score(step, worker, among))
        if best is None or value < best_score:
            best, best_score = worker, value
    return best


def rule_name(step: Step) -> str:
    """Return the name of the rule that scores workers for the step."""
    if step.spec.fills:
        return "filler"
    if step.spec.long_running:
        return "lasting"
    return "urgent" if step.job.queue.priority == 0 else "background"


@rules.register("urgent")
def _urgent(step: Step, worker: Worker, _among: Candidates) -> tuple[float, ...]:
    return (_recent_failures(worker), -_free_share(step, worker))


@rules.register("background")
def _background(step: Step, worker: Worker, _among: Candidates) -> tuple[float, ...]:
    return (_recent_failures(worker), _free_share(step, worker))


@rules.register("lasting")
def _lasting(step: Step, worker: Worker, among: Candidates) -> tuple[float, ...]:
    fillers = sum(1 for run in worker.runs.values() if run.task.step.spec.fills)
    return (
        _recent_failures(worker),
        fillers,
        among.placed[worker.worker_id],
        -_free_share(step, worker),
    )


@rules.register("filler")
def _filler(step: Step, worker: Worker, _among: Candidates) -> tuple[float, ...]:
    serving = sum(1 for run in worker.runs.values() if run.task.step.spec.target_ms)
    return (serving, _recent_failures(worker), -worker.free.cpu_millis)


def _locality(step: Step, worker: Worker, among: Candidates) -> tuple[float, ...]:
    """Prefer the rack of the data, and the rack where the step already runs."""
    spec = step.spec
    if spec.data_rack:
        return (worker.entry.rack != spec.data_rack,)
    if spec.colocated and among.racks:
        return (-among.racks[worker.entry.rack],)
    return ()


def _free_share(step: Step, worker: Worker) -> float:
    """Return the scarcest part that stays free with one more run."""
    free = worker.free
    capacity = worker.entry.capacity
    cpu = (free.cpu_millis - step.need.cpu_millis) / max(1, capacity.cpu_millis)
    memory = (free.memory_mb - step.need.memory_mb) / max(1, capacity.memory_mb)
    return min(cpu, memory)


def _recent_failures(worker: Worker) -> int:
    return len(worker.failures)
