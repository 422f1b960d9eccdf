"""Measures what new jobs have to wait for, and refuses those that would be too late.

This answers more submissions than the workers have capacity for, or than the leader's
process can start, such as a flood or a leader with little processor time. Without it,
every accepted job would wait until it is late and delay all that follow.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

from marigoldpath_core.jobs import JobSpec, Queue, Resources

from ._arrivals import WINDOW_MS
from ._fleet import Fleet
from ._placement import USELESS_FACTOR
from ._pools import current_pools
from ._quotas import StepSize, is_held_back, size_of
from ._rate_limit import ADMIT_ALL, MAX_LIMITED_WORKSPACES
from ._share_state import burst_of
from ._shares import mark_excess, weight_of
from ._work import Step

# A shorter backlog is not reported to the other hosts; it makes no job late.
MIN_BACKLOG_MS = 100
# The part of a job's slack that its first start may use. The rest is for its later
# steps, and for the age of the estimate. Without it a constant overload would make each
# job a little late.
USABLE_SLACK_FRACTION = 0.5


class Backlog(NamedTuple):
    """What a new job has to wait for, by the `priority_class` of its queue.

    Classes without a backlog are omitted.
    `starts_ms` is the time until the leader's process has sent the starts that come
    first; it is 0 unless the process lags. `work_ms` is the time that the workers take
    for the work that comes first, if they do nothing else.
    """

    starts_ms: dict[str, int] = {}  # noqa: RUF012
    work_ms: dict[str, int] = {}  # noqa: RUF012


class Refusal(NamedTuple):
    """The reason why a job is refused, and when to submit it again.

    The first tasks of a job that was accepted now would wait for `backlog_ms`, of
    starts or of work as `cause` states. More than `limit_ms` is too late.
    """

    cause: str
    backlog_ms: int
    limit_ms: int
    retry_after_s: int

    @property
    def message(self) -> str:
        """The reason for the caller."""
        return (
            f"the {self.cause} ahead of the job will take {self.backlog_ms} ms, "
            f"and more than {self.limit_ms} ms is too late"
        )


class PendingWork(NamedTuple):
    """The waiting tasks of one step.

    `work` is the product of their resources and their estimated duration in ms.
    """

    service: str
    priority: int
    is_late: bool
    tasks: int
    work: Resources


def refuse_if_late(
    spec: JobSpec, queue: Queue, backlog: Backlog, spread: float
) -> Refusal | None:
    """Return a refusal if a job would start too late.

    The rate of starts is measured, so a job is refused if it is likely to be late. The
    duration of work is the callers' estimate, so a job is refused for it only if the
    job would be of no use. `spread` is a random number between 0 and 1, which
    distributes the retries of callers that are refused at the same time.
    """
    critical_path_ms = spec.critical_path_ms
    allowed_ms = queue.allowed_ms(critical_path_ms)
    waits = (
        (
            "starts",
            backlog.starts_ms.get(queue.priority_class, 0),
            USABLE_SLACK_FRACTION * max(0.0, allowed_ms - critical_path_ms),
        ),
        (
            "work",
            backlog.work_ms.get(queue.priority_class, 0),
            USELESS_FACTOR * allowed_ms - critical_path_ms,
        ),
    )
    for cause, backlog_ms, limit_ms in waits:
        if backlog_ms > limit_ms:
            retry_after_s = math.ceil((backlog_ms - limit_ms) / 1_000 * (1 + spread))
            return Refusal(cause, backlog_ms, round(limit_ms), retry_after_s)
    return None


def measure_backlog(fleet: Fleet) -> Backlog:
    """Return what a new job of each priority class has to wait for.

    Both times are lower bounds: they count the tasks that wait now and are more urgent,
    not those that run. What a workspace sent above its rate, or waits for its quota, is
    omitted: it would cause refusals of the jobs of other workspaces.
    """
    mark_excess(fleet)
    pending = [_pending_work(fleet, step) for step in _steps_within_limits(fleet)]
    if not pending:
        return Backlog()
    backlog = Backlog({}, {})
    for name, queue in fleet.priority_classes.items():
        times_ms = _times_ms(fleet, pending, queue.service, queue.priority)
        for by_class, time_ms in zip(backlog, times_ms):
            if time_ms >= MIN_BACKLOG_MS:
                by_class[name] = round(time_ms)
    return backlog


def limit_workspaces(fleet: Fleet) -> dict[str, int]:
    """Return which share of the new jobs of each workspace to admit, in thousandths.

    Only workspaces that send more than their rate and a burst are included, and only
    while there is a backlog of all that was accepted.
    """
    now_ms, arrivals = fleet.wall_ms, fleet.shares.arrivals
    mark_excess(fleet)
    arrivals.remove_idle(now_ms)
    rates = {
        name: (arrivals.jobs_per_second(name, now_ms), weight_of(fleet, name))
        for name in arrivals.workspaces
    }
    excess = {
        name: rate - weight - burst_of(weight) * 1_000 / WINDOW_MS
        for name, (rate, weight) in rates.items()
    }
    names = [name for name, amount in excess.items() if amount > 0]
    if not names or not _has_backlog(fleet):
        arrivals.admit_all(now_ms)
        return {}
    names.sort(key=lambda name: (-excess[name], name))
    limited = {}
    for name in names[:MAX_LIMITED_WORKSPACES]:
        rate, weight = rates[name]
        per_mille = max(1, int(ADMIT_ALL * weight / rate))
        limited[name] = arrivals.publish(name, per_mille, now_ms)
    arrivals.admit_all(now_ms, limited)
    return limited


def _has_backlog(fleet: Fleet) -> bool:
    pending = [_pending_work(fleet, step) for step in _waiting_steps(fleet)]
    tasks = sum(each.tasks for each in pending)
    if fleet.start_limit.drain_ms(tasks, fleet.now_ms) >= MIN_BACKLOG_MS:
        return True
    works: dict[str, list[Resources]] = {}
    for each in pending:
        works.setdefault(each.service, []).append(each.work)
    pools = current_pools(fleet)
    return any(
        _processing_ms(amounts, pools.get(service).capacity) >= MIN_BACKLOG_MS
        for service, amounts in works.items()
    )


def _waiting_steps(fleet: Fleet) -> Iterator[Step]:
    for step in fleet.open_steps.values():
        if step.waiting_tasks and not fleet.is_blocked(step):
            yield step


def _steps_within_limits(fleet: Fleet) -> Iterator[Step]:
    """Yield the waiting steps that delay the jobs of workspaces within their limits."""
    # Whether the quota holds back the steps of each size.
    held_back: dict[StepSize, bool] = {}
    for step in _waiting_steps(fleet):
        if step.job.was_excess:
            continue
        if step.job.accepted.workspace:
            size = size_of(step)
            if size not in held_back:
                held_back[size] = is_held_back(fleet, step)
            if held_back[size]:
                continue
        yield step


def _pending_work(fleet: Fleet, step: Step) -> PendingWork:
    queue = step.job.queue
    return PendingWork(
        queue.service,
        queue.priority,
        fleet.now_ms > step.due_ms,
        step.waiting_tasks,
        _work(step),
    )


def _work(step: Step) -> Resources:
    if step.spec.long_running:
        # It never ends, so it does not delay others by a known time.
        return Resources()
    task_ms = step.waiting_tasks * step.spec.estimate_ms
    return Resources(*(task_ms * amount for amount in step.need))


def _times_ms(
    fleet: Fleet, pending: list[PendingWork], service: str, priority: int
) -> tuple[float, float]:
    """Return the times of starts and of work before those of a new job on time."""
    ahead = [
        each
        for each in pending
        if each.priority < priority or (each.priority == priority and not each.is_late)
    ]
    starts_ms = fleet.start_limit.drain_ms(
        sum(each.tasks for each in ahead), fleet.now_ms
    )
    works = [each.work for each in ahead if each.service == service]
    capacity = current_pools(fleet).get(service).capacity
    return starts_ms, _processing_ms(works, capacity)


def _processing_ms(works: list[Resources], capacity: Resources) -> float:
    """Return how long workers of this capacity take if they run nothing else.

    A resource that no usable worker has is omitted, as its workers may come back.
    """
    totals = [sum(amounts) for amounts in zip(*works)]
    return max(
        (total / amount for total, amount in zip(totals, capacity) if amount),
        default=0.0,
    )
