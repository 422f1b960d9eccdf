"""Requests to the advice service, which approves workers for a step.

A ticket is the service's permission to start tasks of a step on an approved worker.
"""

from collections.abc import Iterator, Sequence
from itertools import chain

from ._fleet import Fleet, handlers
from ._messages import AdviceReplied, RequestAdvice
from ._placement import count_fitting_now, count_placed, has_capacity
from ._pools import Pools, has_label
from ._quotas import count_in_whole_quota
from ._run import Run
from ._slow_advice import choose_requests, request_limit
from ._work import Step, Ticket
from ._worker import Worker

MAX_WORKERS_PER_REQUEST = 100
# If no more than this number of workers have not been requested for a step, one request
# includes all of them, because its duration is acceptable.
MIN_WORKERS_PER_REQUEST = 30
# The assumed approval rate of a queue, and its weight against the observed rate: both
# rates count equally after this number of requested workers.
PRIOR_APPROVAL_RATE = 0.4
PRIOR_WEIGHT_WORKERS = 20
# Minimum time between the starts of two requests for the same step. It also delays the
# retry of a request that failed.
ADVICE_RETRY_MS = 150
# Advice for a later step is requested in advance: earlier than the step is expected to
# start by the expected duration of the request plus this time, which includes the
# interval at which the steps are examined.
PREFETCH_LEAD_MS = 200
# Tickets are renewed for this multiple of the capacity that the waiting tasks need,
# because more urgent tasks can use some of it before the reply arrives.
RENEWAL_CAPACITY_FACTOR = 2


def request_if_needed(fleet: Fleet, pools: Pools, step: Step) -> None:
    """Request tickets if tasks of the step wait and more workers could run them.

    These are workers that were not requested for the step, and approved workers whose
    ticket has expired or is about to expire.
    """
    if (
        step.job.queue.advice is None
        or not _is_request_due(fleet, step)
        or not step.waiting_tasks
    ):
        return
    if fleet.start_limit.is_lagging and _has_valid_ticket(fleet, step):
        # Each request takes the processor time of a start. The tickets that are left
        # suffice for the few starts that a lagging leader sends.
        return
    if _is_slow(fleet, step):
        fleet.slow_advice.candidates.append(step)
        return
    selected = _select_workers(fleet, pools, step)
    if selected:
        _send_request(fleet, step, selected)


def send_slow_requests(fleet: Fleet, pools: Pools) -> None:
    """Send the slow requests of a scheduling pass, for as many steps as possible."""

    def select(step: Step) -> list[Worker]:
        return _select_workers(fleet, pools, step)

    for step, selected in choose_requests(fleet, select):
        _send_request(fleet, step, selected)
        pools.requested_worker_ids.update(worker.worker_id for worker in selected)


def _select_workers(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the workers of a request: those to renew and those to add."""
    to_renew = _workers_to_renew(fleet, pools, step) if step.tickets else []
    return [*to_renew, *_workers_to_add(fleet, pools, step)]


def prefetch(fleet: Fleet, pools: Pools) -> None:
    """Request the first advice for steps whose predecessors are about to complete.

    This examines every open step, so it is done once for each Tick.
    """
    if not fleet.prefetch_due:
        return
    fleet.prefetch_due = False
    for step in list(fleet.open_steps.values()):
        next_steps = [] if step.waiting_tasks else _directly_unblocked_steps(step)
        remaining_ms = _remaining_ms(fleet, step) if next_steps else 0.0
        for next_step in next_steps:
            advice = next_step.job.queue.advice
            if (
                advice is None
                or next_step.queried_workers
                or not _may_request(fleet, next_step)
            ):
                continue
            if (
                remaining_ms
                > advice.cost_ms(MAX_WORKERS_PER_REQUEST) + PREFETCH_LEAD_MS
            ):
                continue
            selected = _workers_to_add(fleet, pools, next_step)
            if (
                selected
                and remaining_ms <= advice.cost_ms(len(selected)) + PREFETCH_LEAD_MS
            ):
                _send_request(fleet, next_step, selected)


@handlers.register(AdviceReplied)
def apply_advice(fleet: Fleet, event: AdviceReplied) -> None:
    """Store the tickets of approved workers and remove those of refused workers.

    A request without a reply changes no ticket.
    """
    fleet.slow_advice.in_flight.pop(event[:3], None)
    job = fleet.jobs.get(event.job_id)
    step = job.steps.get((event.occurrence, event.step)) if job is not None else None
    if job is None or step is None:
        return
    step.is_request_in_flight = False
    advice = job.queue.advice
    if event.tickets is None or advice is None:
        fleet.log("advice_failed", job=event.job_id, step=event.step)
        return
    _count_approvals(fleet, step, event)
    renewed = sum(
        step.has_queried(worker_id, incarnation)
        for worker_id, incarnation in step.requested_incarnations.items()
    )
    until_ms = fleet.now_ms + advice.valid_ms - fleet.settings.ticket_margin_ms
    for worker_id in event.workers:
        worker = fleet.workers.get(worker_id)
        ticket_text = event.tickets.get(worker_id)
        incarnation = step.requested_incarnations.get(worker_id, 0)
        if worker is not None:
            step.queried_workers[worker_id] = incarnation
        if ticket_text is None or worker is None:
            step.tickets.pop(worker_id, None)
        else:
            step.tickets[worker_id] = Ticket(ticket_text, until_ms, incarnation)
    step.requested_incarnations = {}
    step.fruitless_replies += 1
    fleet.needs_dispatch = True
    fleet.log(
        "advice_taken",
        job=event.job_id,
        step=(event.occurrence, event.step),
        queue=job.queue.name,
        asked=len(event.workers),
        renewed=renewed,
        approved=len(event.tickets),
        took_ms=round(fleet.now_ms - event.requested_ms),
    )


def _has_valid_ticket(fleet: Fleet, step: Step) -> bool:
    return any(ticket.until_ms > fleet.now_ms for ticket in step.tickets.values())


def _is_request_due(fleet: Fleet, step: Step) -> bool:
    if step.is_request_in_flight:
        return False
    return fleet.now_ms - step.requested_ms >= ADVICE_RETRY_MS


def _may_request(fleet: Fleet, step: Step) -> bool:
    if not _is_request_due(fleet, step):
        return False
    if not _is_slow(fleet, step):
        return True
    return len(fleet.slow_advice.in_flight) < request_limit(fleet)


def _send_request(fleet: Fleet, step: Step, workers: list[Worker]) -> None:
    advice = step.job.queue.advice
    assert advice is not None
    workers = workers[:MAX_WORKERS_PER_REQUEST]
    selected = tuple(worker.worker_id for worker in workers)
    step.requested_incarnations = {
        worker.worker_id: worker.incarnation for worker in workers
    }
    step.asked_workers.update(step.requested_incarnations)
    step.is_request_in_flight = True
    step.requested_ms = fleet.now_ms
    if _is_slow(fleet, step):
        fleet.slow_advice.in_flight[step.key] = selected
    fleet.emit(RequestAdvice(*step.key, selected, advice.cost_ms(len(selected))))


def _is_slow(fleet: Fleet, step: Step) -> bool:
    advice = step.job.queue.advice
    return advice is not None and advice.call_ms >= fleet.settings.slow_advice_ms


def _workers_to_add(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the workers to include in a request that were not requested for the step.

    Each worker in a request delays the reply. If there are many workers, the request
    includes those with the most free capacity, and only as many as the waiting tasks
    are expected to need after the service has refused some of the workers.
    """
    worker_ids = pools.get(step.job.queue.service).worker_ids
    if step.exhausted_pool_ids is worker_ids:
        return []
    needed = count_in_whole_quota(fleet, step) / _expected_approval_rate(fleet, step)
    selected: list[Worker] = []
    full: list[Worker] = []
    for worker in _unqueried_workers(fleet, pools, step):
        # The workers are in the order of their free capacity, so those that follow a
        # number of full ones are likely to be full too.
        has_enough = needed <= 0 or len(full) >= MIN_WORKERS_PER_REQUEST
        if len(selected) + len(full) >= MIN_WORKERS_PER_REQUEST and has_enough:
            break
        if len(selected) >= MAX_WORKERS_PER_REQUEST:
            break
        capacity = count_fitting_now(fleet, step, worker, False)
        (selected if capacity else full).append(worker)
        needed -= capacity
    if not selected and not full:
        step.exhausted_pool_ids = worker_ids
    if not selected and step.queried_workers and step.job.queue.priority > 1:
        # No unqueried worker has free capacity, so the step waits for capacity on the
        # workers that it has already requested.
        return []
    return selected + full[: max(0, MIN_WORKERS_PER_REQUEST - len(selected))]


def _unqueried_workers(fleet: Fleet, pools: Pools, step: Step) -> Iterator[Worker]:
    """Yield the workers not requested for the step, those of its zone first.

    Within the zone and outside of it, those in the rack of its data come first if that
    is known to matter, and then the workers with the most free capacity of the resource
    that is scarce for the step. If workers differ in speed, the capacity of fast ones
    counts more for urgent steps, and less for others.
    """
    service = step.job.queue.service
    order = _order_of_advice(fleet, pools, step)
    rack = step.spec.data_rack if fleet.speeds.remote_factor > 1 else ""
    near = pools.racks(service).get(rack, []) if rack else []
    zone = step.job.zone
    # The tickets of a job that is leaving its zone for its data are used after that.
    home_racks = {rack} if rack and step.job.zone_exit_requested else set()
    for is_home in (True, False) if zone else (True,):
        others = (each for each in order if not rack or each.entry.rack != rack)
        for worker in chain(near, others):
            entry = worker.entry
            if zone and (entry.zone == zone or entry.rack in home_racks) is not is_home:
                continue
            is_queried = step.has_queried(worker.worker_id, worker.incarnation)
            if not is_queried and has_label(step, worker):
                yield worker


def _order_of_advice(fleet: Fleet, pools: Pools, step: Step) -> Sequence[Worker]:
    service = step.job.queue.service
    if step.need.accelerators:
        return pools.get(service).by_free_accelerators
    if not fleet.speeds.differ:
        return pools.get(service).by_free_cpu
    return pools.by_speed(service, fast_first=step.job.queue.priority == 0)


def _count_approvals(fleet: Fleet, step: Step, event: AdviceReplied) -> None:
    name = step.job.queue.name
    queried, approved = fleet.approval_counts.get(name, (0, 0))
    assert event.tickets is not None
    fleet.approval_counts[name] = (
        queried + len(event.workers),
        approved + len(event.tickets),
    )


def _expected_approval_rate(fleet: Fleet, step: Step) -> float:
    """Return the fraction of the requested workers that is expected to be approved."""
    queried, approved = fleet.approval_counts.get(step.job.queue.name, (0, 0))
    expected = PRIOR_APPROVAL_RATE * PRIOR_WEIGHT_WORKERS
    return (approved + expected) / (queried + PRIOR_WEIGHT_WORKERS)


def _workers_to_renew(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the approved workers for which to request a new ticket.

    A step of priority 0 or 1 renews all expiring tickets. Any other step omits the
    workers in slow requests in flight, so that the steps of a backlog do not request
    the same worker. It also limits the requested capacity to a multiple of what its
    waiting tasks need.
    """
    expiring = _approved_workers(fleet, step)
    if step.job.queue.priority <= 1:
        return expiring
    capacities = [
        (count_fitting_now(fleet, step, worker, True), worker)
        for worker in expiring
        if worker.worker_id not in pools.requested_worker_ids
    ]
    capacities.sort(key=lambda each: -each[0])
    needed = RENEWAL_CAPACITY_FACTOR * count_in_whole_quota(fleet, step)
    chosen: list[Worker] = []
    for capacity, worker in capacities:
        if needed <= 0:
            break
        chosen.append(worker)
        needed -= max(1, capacity)
    return chosen


def _approved_workers(fleet: Fleet, step: Step) -> list[Worker]:
    """Return the approved workers that could run a task if they had a new ticket.

    Their ticket has expired, expires soon or belongs to an earlier incarnation.
    """
    advice = step.job.queue.advice
    assert advice is not None
    lead_ms = advice.call_ms
    limit = step.spec.max_per_worker
    placed = count_placed(step)
    expiring = []
    for worker_id, ticket in step.tickets.items():
        worker = fleet.workers.get(worker_id)
        if worker is None or not worker.is_usable(fleet.now_ms):
            continue
        if not has_label(step, worker):
            continue
        if limit and placed[worker_id] >= limit:
            continue
        expires_soon = ticket.until_ms < fleet.now_ms + lead_ms
        if (
            expires_soon or ticket.incarnation != worker.incarnation
        ) and _may_gain_capacity(fleet, step, worker):
            expiring.append(worker)
    return expiring


def _may_gain_capacity(fleet: Fleet, step: Step, worker: Worker) -> bool:
    """Return whether a task could get capacity while a new ticket is valid.

    Steps of priority 0 and 1 need no free capacity, because they can preempt runs. Nor
    does a large step on the worker that is held for it.
    """
    if worker.hold is not None and worker.hold.step is step:
        return True
    return step.job.queue.priority <= 1 or has_capacity(fleet, step, worker)


def _directly_unblocked_steps(step: Step) -> list[Step]:
    """Return the later steps whose only incomplete predecessor is this step."""
    job = step.job
    return [
        other
        for other in job.successors(step)
        if all(
            number == step.number
            or job.steps[step.occurrence, number].remaining_tasks == 0
            for number in other.spec.after
        )
    ]


def _remaining_ms(fleet: Fleet, step: Step) -> float:
    """Return the estimated time until the step is done; none of its tasks waits.

    The percentage of a run is as old as the last report of its worker.
    """
    remaining_ms = 0.0
    for task in step.known_tasks:
        if task.run is not None:
            task_ms = min(_remaining_run_ms(fleet, run) for run in task.runs)
            remaining_ms = max(remaining_ms, task_ms)
    return remaining_ms


def _remaining_run_ms(fleet: Fleet, run: Run) -> float:
    worker = fleet.workers.get(run.worker_id)
    report_age_ms = fleet.now_ms - worker.clock_read_ms if worker else 0.0
    run_ms = run.task.step.spec.estimate_ms * (1 - run.percent / 100)
    return run_ms - report_age_ms if run.percent else run_ms
