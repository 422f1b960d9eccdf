"""Estimates when new jobs would start, and refuses those that would be late.

This answers more submissions than the workers have capacity for, or than the leader's
process can start, such as a flood or a leader with little processor time. Without it,
every accepted job would wait until it is late and delay all that follow.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

from marigoldpath_core.jobs import JobSpec, Queue, Resources

from ._fleet import Fleet
from ._pools import current_pools
from ._work import Step

# A delay below this is not reported to the other hosts; it makes no job late.
MIN_DELAY_MS = 100
# The rest of a job's slack is for its later steps, and for the age of the estimate.
# Without it a constant overload would make each job a little late.
USABLE_SLACK_FRACTION = 0.5


class Refusal(NamedTuple):
    """The reason why a job is refused, and when to submit it again.

    A job that was accepted now would start after `delay_ms`, and is likely to be late
    if it starts after `limit_ms`.
    """

    delay_ms: int
    limit_ms: int
    retry_after_s: int


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
    spec: JobSpec, queue: Queue, delay_ms: float, spread: float
) -> Refusal | None:
    """Return a refusal if a job that starts after `delay_ms` would be late.

    `spread` is a random number between 0 and 1. It distributes the retries of callers
    that are refused at the same time.
    """
    critical_path_ms = spec.critical_path_ms
    slack_ms = max(0.0, queue.allowed_ms(critical_path_ms) - critical_path_ms)
    limit_ms = USABLE_SLACK_FRACTION * slack_ms
    if delay_ms <= limit_ms:
        return None
    retry_after_s = math.ceil((delay_ms - limit_ms) / 1_000 * (1 + spread))
    return Refusal(round(delay_ms), round(limit_ms), retry_after_s)


def start_delays_ms(fleet: Fleet) -> dict[str, int]:
    """Return how long a new job of each queue would wait for its first start.

    Queues without a noticeable delay are omitted. The estimate is a lower bound: it
    counts the tasks that wait now and are more urgent, not those that run.
    """
    pending = list(_pending_work(fleet))
    if not pending:
        return {}
    delays: dict[tuple[str, int], float] = {}
    for queue in fleet.queues.values():
        key = (queue.service, queue.priority)
        if key not in delays:
            delays[key] = _delay_ms(fleet, pending, *key)
    return {
        queue.name: round(delays[queue.service, queue.priority])
        for queue in fleet.queues.values()
        if delays[queue.service, queue.priority] >= MIN_DELAY_MS
    }


def _pending_work(fleet: Fleet) -> Iterator[PendingWork]:
    for step in fleet.open_steps.values():
        if not step.waiting_tasks or fleet.is_blocked(step):
            continue
        queue = step.job.queue
        yield PendingWork(
            queue.service,
            queue.priority,
            fleet.now_ms > step.job.due_ms,
            step.waiting_tasks,
            _work(step),
        )


def _work(step: Step) -> Resources:
    if step.spec.long_running:
        # It never ends, so it does not delay others by a known time.
        return Resources()
    task_ms = step.waiting_tasks * step.spec.estimate_ms
    return Resources(*(task_ms * amount for amount in step.need))


def _delay_ms(
    fleet: Fleet, pending: list[PendingWork], service: str, priority: int
) -> float:
    """Return the delay of a new job that is on time."""
    ahead = [
        each
        for each in pending
        if each.priority < priority or (each.priority == priority and not each.is_late)
    ]
    drain_ms = fleet.start_limit.drain_ms(
        sum(each.tasks for each in ahead), fleet.now_ms
    )
    works = [each.work for each in ahead if each.service == service]
    capacity = current_pools(fleet).get(service).capacity
    return max(drain_ms, _processing_ms(works, capacity))


def _processing_ms(works: list[Resources], capacity: Resources) -> float:
    """Return how long workers of this capacity take if they run nothing else.

    A resource that no usable worker has is omitted, as its workers may come back.
    """
    totals = [sum(amounts) for amounts in zip(*works)]
    return max(
        (total / amount for total, amount in zip(totals, capacity) if amount),
        default=0.0,
    )
