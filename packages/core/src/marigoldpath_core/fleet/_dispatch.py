"""The scheduling pass: starts the waiting tasks that fit, the most urgent first."""

import math
from collections.abc import Iterator
from itertools import groupby
from typing import NamedTuple

from . import _advice, _copies, _holds, _place_waiting, _preemption, _quotas, _waiting
from ._avoidance import excluded_workers, is_stuck
from ._crashes import is_suspect, may_try_on, settle_recorded_starts
from ._fleet import Fleet
from ._health import end_quarantine_for
from ._place_waiting import PlaceWait
from ._placement import (
    Candidates,
    choose,
    count_fitting_empty,
    count_fitting_now,
    find_candidates,
    sort_for_gang,
)
from ._pools import Pools, current_pools
from ._share_state import ShareLevel
from ._shares import (
    count_within_share,
    find_share_level,
    is_excess,
    is_over_share,
    mark_excess,
    record_shares,
)
from ._starts import send_recorded_starts, start_task
from ._work import Step, Task
from ._worker import Worker

# After so many advice requests that let no task start, the tasks of a step do not count
# as those that will use the next starts.
MAX_FRUITLESS_REPLIES = 2


class HeldBack(NamedTuple):
    """The steps that quotas hold back in a scheduling pass.

    `first_steps` has the first one of each workspace, and `sizes` the sizes of all of
    them. Later steps of the same size are held back as well, as starts only add to the
    usage.
    """

    first_steps: dict[str, Step]
    sizes: set[_quotas.StepSize]


class StartQueue(NamedTuple):
    """The tasks that will use the next starts, and whether they use all for a while.

    They are waiting tasks of urgent steps that do not lack capacity.
    """

    tasks: int
    is_full: bool


def dispatch(fleet: Fleet) -> None:
    """Start waiting tasks on workers with free capacity and request advice."""
    fleet.needs_dispatch = False
    fleet.quotas.hidden_usage = None
    mark_excess(fleet)
    fleet.rack_demand.clear()
    send_recorded_starts(fleet)
    pools = current_pools(fleet)
    waiting = [step for step in fleet.open_steps.values() if step.waiting_tasks]
    level = find_share_level(fleet, pools, waiting)
    held_back = HeldBack({}, set())
    steps = _steps_in_order(fleet, pools, waiting, level, held_back)
    queue = _examine(fleet, pools, steps)
    if not queue.is_full:
        _prepare_held_back(fleet, pools, held_back)
    _advice.send_slow_requests(fleet, pools)
    if queue.is_full or (queue.tasks and fleet.start_limit.is_reached):
        fleet.start_limit.record_limited(fleet.now_ms)
    if level is not None:
        record_shares(fleet, level)
    _copies.start_copies(fleet, pools)
    _advice.prefetch(fleet, pools)


def _examine(fleet: Fleet, pools: Pools, steps: Iterator[Step]) -> StartQueue:
    """Start tasks of the steps, or prepare that, in the order of their urgency.

    Not all steps are examined in each pass.
    """
    rotation = fleet.rotation
    rotation.begin_pass()
    queued_tasks = 0
    for step in steps:
        if rotation.is_pass_complete:
            return StartQueue(queued_tasks, is_full=False)
        if not rotation.admit(step) or not _may_start_tasks(fleet, pools, step):
            continue
        if fleet.start_limit.is_queue_full(queued_tasks):
            # Advice for less urgent steps would expire before they can start.
            return StartQueue(queued_tasks, is_full=True)
        _start_or_prepare(fleet, pools, step)
        if fleet.start_limit.is_reached or _expects_advice(step):
            queued_tasks += step.waiting_tasks
    rotation.end_round()
    return StartQueue(queued_tasks, is_full=False)


def _may_start_tasks(fleet: Fleet, pools: Pools, step: Step) -> bool:
    """Return whether it is known that no other run of the waiting tasks exists."""
    if fleet.is_blocked(step):
        _waiting.log_if_due(fleet, pools, step, "workers have not reported")
        return False
    if not settle_recorded_starts(fleet, step):
        _waiting.log_if_due(fleet, pools, step, "recorded starts are not settled")
        return False
    return True


def _expects_advice(step: Step) -> bool:
    """Return whether the reply to a request will probably let tasks start."""
    return step.is_request_in_flight and step.fruitless_replies < MAX_FRUITLESS_REPLIES


def _start_or_prepare(fleet: Fleet, pools: Pools, step: Step) -> None:
    """Start the tasks of a step that fit, and request advice for the others."""
    cause = ""
    if not fleet.start_limit.is_reached:
        cause = _place(fleet, pools, step)
    _advice.request_if_needed(fleet, pools, step)
    if not step.waiting_tasks:
        return
    if not _is_rest_deferred(fleet, step):
        _place_waiting.record_demand(fleet, step)
    if fleet.start_limit.is_reached:
        cause = "starts are limited"
    _waiting.log_if_due(fleet, pools, step, cause)


def _prepare_held_back(fleet: Fleet, pools: Pools, held_back: HeldBack) -> None:
    """Request advice for the steps that start once a run of their workspace ends.

    The steps that may start now come first, because few slow requests can be in flight.
    """
    for step in held_back.first_steps.values():
        if _quotas.may_start_soon(fleet, step):
            _advice.request_if_needed(fleet, pools, step)


def _is_rest_deferred(fleet: Fleet, step: Step) -> bool:
    """Return whether the rest of a step comes after those within their fair share."""
    level = fleet.shares.level
    return level is not None and is_over_share(fleet, level, step)


def _steps_in_order(
    fleet: Fleet,
    pools: Pools,
    waiting: list[Step],
    level: ShareLevel | None,
    held_back: HeldBack,
) -> Iterator[Step]:
    """Yield the steps that may start tasks, the most urgent first.

    Among steps of the same urgency, those of workspaces within their fair share come
    first. A step that brings its workspace above it comes again, after these.
    """
    waiting.sort(key=lambda step: (*_urgency(fleet, step), step.due_ms))
    for _, group in groupby(waiting, key=lambda step: _urgency(fleet, step)):
        deferred = []
        fleet.shares.level = level
        for step in group:
            if level is None or not is_over_share(fleet, level, step):
                if not _is_within_quota(fleet, pools, step, held_back):
                    continue
                yield step
                if not step.waiting_tasks or not _is_rest_deferred(fleet, step):
                    continue
            deferred.append(step)
        fleet.shares.level = None
        for step in deferred:
            if _is_within_quota(fleet, pools, step, held_back):
                yield step


def _is_within_quota(
    fleet: Fleet, pools: Pools, step: Step, held_back: HeldBack
) -> bool:
    """Return whether the quota lets the step start, after the starts before it.

    The steps that their quota holds back may be so many that no other would be examined
    in a pass, so they do not count for the limit of steps.
    """
    name = step.job.accepted.workspace
    if not name:
        return True
    size = _quotas.size_of(step)
    if size not in held_back.sizes:
        if not _quotas.is_held_back(fleet, step):
            step.held_back_since_ms = math.inf
            return True
        held_back.sizes.add(size)
    _waiting.log_if_due(fleet, pools, step, _quotas.OVER_QUOTA)
    step.held_back_since_ms = min(step.held_back_since_ms, fleet.now_ms)
    held_back.first_steps.setdefault(name, step)
    return False


def _urgency(fleet: Fleet, step: Step) -> tuple[bool, int, bool]:
    job = step.job
    # Within a priority, jobs past their due time come last, because a late completion
    # is worth less than one on time.
    late = not step.spec.long_running and fleet.now_ms > step.due_ms
    return is_excess(fleet, job), job.queue.priority, late


def _place(fleet: Fleet, pools: Pools, step: Step) -> str:
    """Start tasks of a step; return why others wait, empty if for lack of a worker."""
    if step.spec.gang:
        return _place_gang(fleet, pools, step)
    return _place_tasks(fleet, pools, step)


def _place_tasks(fleet: Fleet, pools: Pools, step: Step) -> str:
    candidates = find_candidates(fleet, pools, step)
    if not candidates.workers:
        _leave_zone_if_unsuitable(fleet, step)
        _end_quarantine_if_stuck(fleet, pools, step)
        return ""
    allowed = min(_quotas.count_allowed(fleet, step), count_within_share(fleet, step))
    wait = PlaceWait(fleet, pools, step, candidates)
    waiting_tasks = step.waiting_tasks
    placed = 0
    # The worker that the last task did not use, as it waits for a better one. It is the
    # best one for the next task too.
    delayed_choice: Worker | None = None
    for task in step.waiting:
        if placed == allowed or wait.is_full:
            break
        if fleet.start_limit.is_reached:
            # The tasks that are left do not lack capacity.
            return ""
        worker = None if task.avoided_workers or is_suspect(task) else delayed_choice
        if worker is None:
            worker = _choose_worker(fleet, pools, step, task, candidates)
        if worker is None:
            if not task.avoided_workers and not is_suspect(task):
                # The remaining tasks have the same needs, so they do not fit either.
                break
            continue
        delayed_choice = worker if wait.must_wait(task, worker) else None
        if delayed_choice is not None:
            continue
        start_task(fleet, worker, task, fleet.next_run_number(task))
        placed += 1
        candidates.placed[worker.worker_id] += 1
        candidates.racks[worker.entry.rack] += 1
    cause = _place_waiting.DATA_RACK_CAUSE if wait.delayed_tasks else ""
    is_settled = (
        placed == allowed
        or wait.is_full
        or placed + wait.delayed_tasks == waiting_tasks
    )
    if is_settled or fleet.request_zone_exit(step.job):
        return cause
    _end_quarantine_if_stuck(fleet, pools, step)
    _preemption.preempt_for(fleet, pools, step, candidates)
    _holds.hold_worker(fleet, pools, step, candidates)
    return cause


def _choose_worker(
    fleet: Fleet, pools: Pools, step: Step, task: Task, candidates: Candidates
) -> Worker | None:
    """Return a worker with room, one that the task does not avoid if there is any."""
    worker = choose(fleet, step, task, candidates, task.avoided_workers)
    if worker is not None:
        return worker
    excluded = excluded_workers(fleet, pools, task)
    if task.avoided_workers:
        worker = choose(fleet, step, task, candidates, excluded)
    if worker is None and is_stuck(fleet, pools, task):
        worker = choose(fleet, step, task, candidates, excluded, keep_reserve=False)
    return worker


def _end_quarantine_if_stuck(fleet: Fleet, pools: Pools, step: Step) -> None:
    if not pools.is_mostly_free(step.job.queue.service):
        return
    for task in step.known_tasks:
        if not task.is_waiting:
            continue
        if is_stuck(fleet, pools, task):
            end_quarantine_for(fleet, task)
            return


def _leave_zone_if_unsuitable(fleet: Fleet, step: Step) -> None:
    """Let the job leave its zone if the step may run on no worker of the zone.

    With an advice service, that is known only after workers have been requested.
    """
    if step.queried_workers or step.job.queue.advice is None:
        fleet.request_zone_exit(step.job)


def _place_gang(fleet: Fleet, pools: Pools, step: Step) -> str:
    """Start all tasks of a gang, or none of them."""
    if step.waiting_tasks < step.spec.width:
        return ""
    candidates = find_candidates(fleet, pools, step)
    plan = _plan_gang(fleet, pools, step, candidates)
    if plan is None:
        _leave_zone_if_unsuitable(fleet, step)
        _end_quarantine_if_stuck(fleet, pools, step)
        return ""
    if PlaceWait(fleet, pools, step, candidates).gang_must_wait(plan):
        return _place_waiting.ONE_RACK_CAUSE
    tasks = step.tasks
    number = fleet.next_run_number(*tasks)
    for task, worker in zip(tasks, plan):
        start_task(fleet, worker, task, number)
    return ""


def _plan_gang(
    fleet: Fleet, pools: Pools, step: Step, candidates: Candidates
) -> list[Worker] | None:
    """Return a worker for each task of a gang, None if the gang does not fit."""
    first = step.task(0)
    plan = _plan_gang_on(fleet, step, candidates, first.avoided_workers)
    excluded = excluded_workers(fleet, pools, first)
    if plan is None and first.avoided_workers:
        plan = _plan_gang_on(fleet, step, candidates, excluded)
    if plan is None and is_stuck(fleet, pools, first):
        plan = _plan_gang_on(fleet, step, candidates, excluded, keep_reserve=False)
    return plan


def _plan_gang_on(
    fleet: Fleet,
    step: Step,
    candidates: Candidates,
    excluded: set[str],
    *,
    keep_reserve: bool = True,
) -> list[Worker] | None:
    count = step.spec.width
    # The reserve for urgent work is kept free, unless the gang would not fit without it
    # even on workers with no other runs.
    fitting_when_empty = sum(
        count_fitting_empty(fleet, step, worker) for worker in candidates.workers
    )
    fits_beside_reserve = fitting_when_empty >= count
    capacities = [
        (
            count_fitting_now(
                fleet,
                step,
                worker,
                keep_reserve and fits_beside_reserve,
                keep_hold=keep_reserve,
            ),
            worker,
        )
        for worker in candidates.workers
        if worker.worker_id not in excluded
        and fleet.is_startable(worker)
        and may_try_on(fleet, step.task(0), worker)
    ]
    plan: list[Worker] = []
    for capacity, worker in sort_for_gang(fleet, step, capacities):
        plan.extend([worker] * min(capacity, count - len(plan)))
        if len(plan) == count:
            return plan
    return None
