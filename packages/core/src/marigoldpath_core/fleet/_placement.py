"""Selects the worker for a task; registered rules score the workers."""

import math
from collections import Counter
from typing import NamedTuple

from marigoldpath_core.jobs import Resources
from marigoldpath_core.registry import Registry

from ._capacity import count_fitting
from ._crashes import may_try_on
from ._fleet import Fleet
from ._pools import Pools, has_label
from ._sizes import find_scarce_need
from ._work import Step, Task
from ._worker import Worker

scoring_rules: Registry = Registry("placement rule")
# What the use of a worker of speed 1 for one ms costs urgent tasks in expected delay.
# It decides only between workers on which a background job is on time.
OCCUPANCY_COST = 0.1
# What a place for a larger task costs that is lost while a task runs, as a part of its
# duration. For urgent tasks it decides only between workers of the same speed.
SCARCITY_COST = 0.5
URGENT_SCARCITY_COST = 0.1
# The last tasks of a step, as a part of all. They delay the end of the step, as few
# others end after them.
LAST_FRACTION = 0.125
# A job that takes this multiple of its allowed time is of no use any more.
USELESS_FACTOR = 3


class StepTimes(NamedTuple):
    """How long a task of a step takes on a worker of speed 1, and how long it may take.

    With more than `limit_ms` the job would probably miss the next deadline that it can
    still meet. The limit is infinite if there is none. `scarce_need` is that of larger
    tasks that fit only on some workers, None if there are none.
    """

    work_ms: float
    limit_ms: float
    scarce_need: Resources | None = None


class Candidates(NamedTuple):
    """The workers that may run a step now, and its runs that limit the choice.

    `placed` counts the step's runs on each worker, and `racks` on each rack. `times` is
    None if workers are not known to differ in speed.
    """

    workers: list[Worker]
    placed: Counter[str]
    racks: Counter[str]
    times: StepTimes | None = None


def find_candidates(fleet: Fleet, pools: Pools, step: Step) -> Candidates:
    """Return the workers that may run a step, with or without free capacity."""
    if step.job.queue.advice is None:
        workers = pools.startable(step)
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
    times = None
    if fleet.speeds.differ:
        times = _step_times(fleet, pools, step, workers)
    return Candidates(workers, placed, racks, times)


def _step_times(
    fleet: Fleet, pools: Pools, step: Step, workers: list[Worker]
) -> StepTimes:
    """Return the times of a step, which are the same for all its tasks in a pass."""
    speeds = fleet.speeds
    work_ms = speeds.work_ms(step)
    scarce_need = find_scarce_need(fleet, pools, step)
    if _is_time_critical(step):
        return StepTimes(work_ms, 0.0, scarce_need)
    job = step.job
    least_ms = work_ms / max(map(speeds.speed, workers), default=1.0)
    error_factor = speeds.error_factor(step)
    left_ms = step.due_ms - fleet.now_ms - speeds.chain_ms(step)
    if left_ms < least_ms:
        allowed_ms = job.queue.allowed_ms(job.spec.critical_path_ms)
        left_ms += (USELESS_FACTOR - 1) * allowed_ms
    limit_ms = left_ms / error_factor if left_ms >= least_ms else math.inf
    return StepTimes(work_ms, limit_ms, scarce_need)


def _is_time_critical(step: Step) -> bool:
    """Return whether a task of the step must end as early as possible."""
    if step.job.queue.priority == 0:
        return True
    return step.remaining_tasks <= LAST_FRACTION * step.spec.width


def count_placed(step: Step) -> Counter[str]:
    """Return the number of the step's runs on each worker."""
    return Counter(run.worker_id for task in step.known_tasks for run in task.runs)


def _with_ticket(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the startable workers for which the step has a valid ticket."""
    pool = pools.get(step.job.queue.service)
    workers = []
    for worker_id, ticket in step.tickets.items():
        worker = pool.startable.get(worker_id)
        if worker is None or fleet.now_ms >= ticket.until_ms:
            continue
        if ticket.incarnation == worker.incarnation and has_label(step, worker):
            workers.append(worker)
    return workers


def has_capacity(
    fleet: Fleet, step: Step, worker: Worker, keep_reserve: bool = True
) -> bool:
    """Return whether a run fits and, if required, keeps the reserve for urgent work.

    The room that preemption frees for a more urgent step does not count. With
    `keep_reserve`, nor does that of a worker that is held for a larger step.
    Urgent steps, long-running steps and fillers are not limited by the reserve.
    """
    need = step.need
    if not worker.fits(need) or worker.is_reserved_against(step, fleet.now_ms):
        return False
    if keep_reserve and worker.is_held_against(step, fleet.now_ms):
        return False
    if not keep_reserve or not need.cpu_millis:
        return True
    if step.job.queue.priority == 0 or step.spec.long_running:
        return True
    limit_millis = background_cpu_limit(fleet, worker)
    if need.cpu_millis > limit_millis:
        # The task is larger than the limit. It may start on a worker without other
        # background runs, because otherwise it could never start.
        return not worker.background_cpu_millis
    return worker.background_cpu_millis + need.cpu_millis <= limit_millis


def background_cpu_limit(fleet: Fleet, worker: Worker) -> int:
    """Return the limit of the processors used by background runs, in millicores."""
    background_fraction = 1 - fleet.settings.urgent_reserve_fraction
    return int(background_fraction * worker.entry.capacity.cpu_millis)


def count_fitting_now(
    fleet: Fleet,
    step: Step,
    worker: Worker,
    keep_reserve: bool,
    *,
    keep_hold: bool = True,
) -> int:
    """Return how many tasks of the step fit into the worker's free capacity.

    With `keep_reserve`, background tasks do not use the reserve for urgent work. With
    `keep_hold`, no task uses the worker that is held for a larger one.
    """
    if worker.is_reserved_against(step, fleet.now_ms):
        return 0
    if keep_hold and worker.is_held_against(step, fleet.now_ms):
        return 0
    free = free_for(fleet, step, worker) if keep_reserve else worker.free
    return count_fitting(step.spec, step.need, free)


def free_for(fleet: Fleet, step: Step, worker: Worker) -> Resources:
    """Return the free capacity of a worker that tasks of the step may use."""
    free = worker.free
    if step.job.queue.priority == 0:
        return free
    limit_millis = background_cpu_limit(fleet, worker) - worker.background_cpu_millis
    return free._replace(cpu_millis=min(free.cpu_millis, limit_millis))


def count_fitting_empty(fleet: Fleet, step: Step, worker: Worker) -> int:
    """Return how many tasks of the step would fit on the worker without other runs.

    Background tasks do not use the reserve for urgent work.
    """
    capacity = worker.entry.capacity
    if step.job.queue.priority > 0:
        capacity = capacity._replace(cpu_millis=background_cpu_limit(fleet, worker))
    return count_fitting(step.spec, step.need, capacity)


def choose(
    fleet: Fleet,
    step: Step,
    task: Task,
    candidates: Candidates,
    excluded: set[str],
    *,
    keep_reserve: bool = True,
) -> Worker | None:
    """Return the candidate with the lowest score that has capacity for the task.

    Workers whose ids are `excluded` are omitted. Return None if no worker is left.
    """
    score = scoring_rules.get(scoring_rule_name(fleet, step))
    best: Worker | None = None
    best_score: tuple[float, ...] = ()
    for worker in candidates.workers:
        if worker.worker_id in excluded:
            continue
        if not _has_room(fleet, step, worker, candidates, keep_reserve):
            continue
        if not may_try_on(fleet, task, worker):
            continue
        value = score(fleet, step, worker, candidates)
        if best is None or value < best_score:
            best, best_score = worker, value
    return best


def sort_for_gang(
    fleet: Fleet, step: Step, capacities: list[tuple[int, Worker]]
) -> list[tuple[int, Worker]]:
    """Return workers, with the tasks that fit there, in the order in which to use them.

    The gang is as fast as its slowest member, so fast workers come first for urgent
    work. A rack that has room for all of a colocated gang precedes the others, and that
    of the gang's data precedes all if it has room and that is known to matter.
    """
    speed = fleet.speeds.speed if step.job.queue.priority == 0 else _equal_speed
    by_worker = sorted(capacities, key=lambda each: (-speed(each[1]), -each[0]))
    count = step.spec.width
    rooms: dict[str, int] = {}
    # The speed of the slowest worker that the gang uses in a rack.
    slowest: dict[str, float] = {}
    for capacity, worker in by_worker:
        rack = worker.entry.rack
        if capacity and rooms.get(rack, 0) < count:
            slowest[rack] = speed(worker)
        rooms[rack] = rooms.get(rack, 0) + capacity
    is_priced = fleet.speeds.remote_factor > 1
    data_rack = step.spec.data_rack if is_priced else ""
    if data_rack and rooms.get(data_rack, 0) >= count:
        by_worker.sort(key=lambda each: each[1].entry.rack != data_rack)
    elif step.spec.colocated:
        by_worker.sort(
            key=lambda each: (
                rooms[each[1].entry.rack] < count,
                -slowest.get(each[1].entry.rack, 0.0),
                -rooms[each[1].entry.rack],
                # Otherwise the gang would use workers of several equal racks in turn.
                each[1].entry.rack if is_priced else "",
            )
        )
    return by_worker


def _equal_speed(_worker: Worker) -> float:
    return 1.0


def has_room(fleet: Fleet, step: Step, candidates: Candidates) -> bool:
    """Return whether any candidate has room for a task of the step."""
    return any(
        _has_room(fleet, step, worker, candidates, True)
        for worker in candidates.workers
    )


def _has_room(
    fleet: Fleet,
    step: Step,
    worker: Worker,
    candidates: Candidates,
    keep_reserve: bool,
) -> bool:
    limit = step.spec.max_per_worker
    if limit and candidates.placed[worker.worker_id] >= limit:
        return False
    if not has_capacity(fleet, step, worker, keep_reserve):
        return False
    return fleet.is_startable(worker)


def scoring_rule_name(fleet: Fleet, step: Step) -> str:
    """Return the name of the scoring rule for the step."""
    if step.spec.fills:
        return "filler"
    if step.spec.long_running:
        return "lasting"
    name = "urgent" if step.job.queue.priority == 0 else "background"
    return f"{name} by speed" if fleet.speeds.differ else name


@scoring_rules.register("urgent")
def _urgent(
    _fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    return (
        *_locality(step, worker, candidates),
        _recent_failures(worker),
        -_scarcest_free_fraction(step, worker),
    )


@scoring_rules.register("background")
def _background(
    _fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    return (
        *_locality(step, worker, candidates),
        _recent_failures(worker),
        _scarcest_free_fraction(step, worker),
    )


@scoring_rules.register("urgent by speed")
def _urgent_by_speed(
    fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    """Return the expected delay of the job in ms; equal workers share the load."""
    times = candidates.times
    assert times is not None
    duration_ms = _duration_ms(fleet, step, worker, times)
    return (
        *_unpriced_locality(fleet, step, worker, candidates),
        duration_ms * (1 + _recent_failures(worker))
        + URGENT_SCARCITY_COST * duration_ms * _lost_places(fleet, step, worker, times),
        -_scarcest_free_fraction(step, worker),
    )


@scoring_rules.register("background by speed")
def _background_by_speed(
    fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    """Return the expected delay of callers in ms; the fullest worker breaks ties.

    It consists of the time by which the job is late, the repetition of a failed run,
    and the delay of urgent and of larger tasks that find the worker occupied. The rack
    of the data comes before it, because a run elsewhere takes more of the capacity.
    """
    times = candidates.times
    assert times is not None
    duration_ms = _duration_ms(fleet, step, worker, times)
    late_ms = max(0.0, duration_ms - times.limit_ms)
    occupancy_ms = OCCUPANCY_COST * duration_ms * fleet.speeds.speed(worker) ** 2
    occupancy_ms += (
        SCARCITY_COST * duration_ms * _lost_places(fleet, step, worker, times)
    )
    return (
        *_locality(step, worker, candidates),
        late_ms + _recent_failures(worker) * duration_ms + occupancy_ms,
        _scarcest_free_fraction(step, worker),
    )


@scoring_rules.register("lasting")
def _long_running(
    _fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    fillers = sum(1 for run in worker.runs.values() if run.task.step.spec.fills)
    return (
        *_locality(step, worker, candidates),
        _recent_failures(worker),
        fillers,
        candidates.placed[worker.worker_id],
        -_scarcest_free_fraction(step, worker),
    )


@scoring_rules.register("filler")
def _filler(
    _fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    serving = sum(1 for run in worker.runs.values() if run.task.step.spec.target_ms)
    return (
        *_locality(step, worker, candidates),
        serving,
        _recent_failures(worker),
        -worker.free.cpu_millis,
    )


def _duration_ms(fleet: Fleet, step: Step, worker: Worker, times: StepTimes) -> float:
    """Return the expected duration of a task of the step on the worker."""
    speeds = fleet.speeds
    return times.work_ms * speeds.distance_factor(step, worker) / speeds.speed(worker)


def _lost_places(fleet: Fleet, step: Step, worker: Worker, times: StepTimes) -> int:
    """Return how many larger tasks could no longer start here beside one of the step.

    These tasks fit only on some workers.
    """
    if times.scarce_need is None:
        return 0
    scarce_millis = times.scarce_need.cpu_millis
    limit_millis = background_cpu_limit(fleet, worker) - worker.background_cpu_millis
    free_millis = max(0, min(worker.free.cpu_millis, limit_millis))
    left_millis = max(0, free_millis - step.need.cpu_millis)
    return free_millis // scarce_millis - left_millis // scarce_millis


def _unpriced_locality(
    fleet: Fleet, step: Step, worker: Worker, candidates: Candidates
) -> tuple[float, ...]:
    """Return the locality, unless the expected duration includes what it costs."""
    if step.spec.data_rack and fleet.speeds.remote_factor > 1:
        return ()
    return _locality(step, worker, candidates)


def _locality(step: Step, worker: Worker, candidates: Candidates) -> tuple[float, ...]:
    """Return a score that is lower in the rack of the data or of the step's other runs.

    The score is empty for a step without a preferred rack.
    """
    spec = step.spec
    if spec.data_rack:
        return (worker.entry.rack != spec.data_rack,)
    if spec.colocated and candidates.racks:
        return (-candidates.racks[worker.entry.rack],)
    return ()


def _scarcest_free_fraction(step: Step, worker: Worker) -> float:
    """Return the lowest fraction of a resource that is free after one more run."""
    free = worker.free
    capacity = worker.entry.capacity
    cpu = (free.cpu_millis - step.need.cpu_millis) / max(1, capacity.cpu_millis)
    memory = (free.memory_mb - step.need.memory_mb) / max(1, capacity.memory_mb)
    return min(cpu, memory)


def _recent_failures(worker: Worker) -> int:
    return len(worker.failures)
