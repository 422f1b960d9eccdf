"""Questions to the advice service: which workers may run a step, and tickets."""

import math

from ._fleet import Fleet, handlers
from ._messages import AdviceReplied, RequestAdvice
from ._placement import count_placed, has_room, room_for
from ._pools import Pools, has_label
from ._work import Step, Ticket
from ._worker import Worker

MAX_WORKERS = 100
# A question that names no more workers is cheap enough to name all.
FEW_WORKERS = 30
# Share of the named workers that is expected to be approved, and the number of workers
# after which the share of the queue counts as much.
EXPECTED_APPROVAL = 0.4
EXPECTED_WEIGHT = 20
# A question that was not answered is asked again after this time.
RETRY_MS = 150
# A question for a later step is sent so much earlier than its expected cost.
AHEAD_MS = 100
# Tickets are renewed for so many times the room that the waiting tasks need, as more
# urgent ones may take it meanwhile.
RENEWED_ROOM = 2


def ask_if_needed(fleet: Fleet, pools: Pools, step: Step) -> None:
    """Ask for tickets when tasks wait and a worker without a ticket could take one."""
    if step.job.queue.advice is None or not _may_ask(fleet, step) or not step.waiting:
        return
    wanted = _workers_to_renew(fleet, pools, step) if step.tickets else []
    named = [*wanted, *_workers_to_add(fleet, pools, step)]
    if named:
        _ask(fleet, step, named)
        if _is_slow(fleet, step):
            pools.claimed.update(worker.worker_id for worker in named)


def ask_ahead(fleet: Fleet, pools: Pools) -> None:
    """Ask for steps whose predecessors are about to end."""
    for step in list(fleet.open_steps.values()):
        followers = _followers(step)
        left_ms = _left_ms(step) if followers else 0.0
        for follower in followers:
            advice = follower.job.queue.advice
            if advice is None or follower.asked or not _may_ask(fleet, follower):
                continue
            if left_ms > advice.cost_ms(MAX_WORKERS) + AHEAD_MS:
                continue
            named = _workers_to_add(fleet, pools, follower)
            if named and left_ms <= advice.cost_ms(len(named)) + AHEAD_MS:
                _ask(fleet, follower, named)


@handlers.register(AdviceReplied)
def take_advice(fleet: Fleet, event: AdviceReplied) -> None:
    """Keep approvals, refusals and tickets."""
    fleet.slow_questions.pop(event[:3], None)
    job = fleet.jobs.get(event.job_id)
    step = job.steps.get((event.occurrence, event.step)) if job is not None else None
    if job is None or step is None:
        return
    step.is_asking = False
    advice = job.queue.advice
    if event.tickets is None or advice is None:
        fleet.note("advice_failed", job=event.job_id, step=event.step)
        return
    step.asked.update(event.workers)
    _count_approvals(fleet, step, event)
    until_ms = fleet.now_ms + advice.valid_ms - fleet.settings.ticket_margin_ms
    for worker_id in event.workers:
        worker = fleet.workers.get(worker_id)
        text = event.tickets.get(worker_id)
        if text is None or worker is None:
            step.tickets.pop(worker_id, None)
        else:
            step.tickets[worker_id] = Ticket(text, until_ms, worker.incarnation)
    fleet.needs_dispatch = True
    fleet.note(
        "advice_taken",
        job=event.job_id,
        step=(event.occurrence, event.step),
        asked=len(event.workers),
        approved=len(event.tickets),
        took_ms=round(fleet.now_ms - event.asked_ms),
    )


def _may_ask(fleet: Fleet, step: Step) -> bool:
    if step.is_asking or fleet.now_ms - step.asked_ms < RETRY_MS:
        return False
    if not _is_slow(fleet, step):
        return True
    # The service takes one question of each host at a time, and some hosts are kept
    # for quick ones: all of these do not fit through the leader alone.
    most = math.ceil(fleet.settings.slow_advice_share * fleet.advice_hosts)
    return len(fleet.slow_questions) < most


def _ask(fleet: Fleet, step: Step, workers: list[Worker]) -> None:
    advice = step.job.queue.advice
    assert advice is not None
    named = tuple(worker.worker_id for worker in workers[:MAX_WORKERS])
    step.is_asking = True
    step.asked_ms = fleet.now_ms
    if _is_slow(fleet, step):
        fleet.slow_questions[step.key] = named
    fleet.emit(RequestAdvice(*step.key, named, advice.cost_ms(len(named))))


def _is_slow(fleet: Fleet, step: Step) -> bool:
    advice = step.job.queue.advice
    return advice is not None and advice.call_ms >= fleet.settings.slow_advice_ms


def _workers_to_add(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return the workers to be asked about, of many only the most promising.

    Each worker named makes the answer later, so of many only as many are named as are
    expected to have room for the tasks that wait once some of them are refused.
    """
    unknown = _unknown_workers(pools, step)
    if len(unknown) <= FEW_WORKERS:
        return unknown
    zone = step.job.zone
    rooms = [(room_for(fleet, step, worker, False), worker) for worker in unknown]
    rooms.sort(key=lambda each: (zone not in ("", each[1].entry.zone), -each[0]))
    needed = len(step.waiting) / _approval_share(fleet, step)
    named: list[Worker] = []
    for room, worker in rooms[:MAX_WORKERS]:
        if len(named) >= FEW_WORKERS and (needed <= 0 or not room):
            break
        named.append(worker)
        needed -= room
    if step.asked and not rooms[0][0] and step.job.queue.priority > 1:
        # It can wait for room on the workers that it has asked about.
        return []
    return named


def _unknown_workers(pools: Pools, step: Step) -> list[Worker]:
    names = pools.get(step.job.queue.service).names
    if step.covered is names:
        return []
    unknown = [
        worker for worker in pools.usable(step) if worker.worker_id not in step.asked
    ]
    if not unknown:
        step.covered = names
    return unknown


def _count_approvals(fleet: Fleet, step: Step, event: AdviceReplied) -> None:
    name = step.job.queue.name
    asked, approved = fleet.approvals.get(name, (0, 0))
    assert event.tickets is not None
    fleet.approvals[name] = (
        asked + len(event.workers),
        approved + len(event.tickets),
    )


def _approval_share(fleet: Fleet, step: Step) -> float:
    """Return the share of named workers that is expected to be approved."""
    asked, approved = fleet.approvals.get(step.job.queue.name, (0, 0))
    expected = EXPECTED_APPROVAL * EXPECTED_WEIGHT
    return (approved + expected) / (asked + EXPECTED_WEIGHT)


def _workers_to_renew(fleet: Fleet, pools: Pools, step: Step) -> list[Worker]:
    """Return approved workers with room whose ticket is over or about to be.

    Of a backlog of background steps only the first asks for the room of a worker, and
    for no more room than its tasks may take.
    """
    renewed = _approved_workers(fleet, step)
    if step.job.queue.priority <= 1:
        return renewed
    rooms = [
        (room_for(fleet, step, worker, True), worker)
        for worker in renewed
        if worker.worker_id not in pools.claimed
    ]
    rooms.sort(key=lambda each: -each[0])
    needed = RENEWED_ROOM * len(step.waiting)
    chosen: list[Worker] = []
    for room, worker in rooms:
        if needed <= 0:
            break
        chosen.append(worker)
        needed -= max(1, room)
    return chosen


def _approved_workers(fleet: Fleet, step: Step) -> list[Worker]:
    """Return the promising approved workers whose ticket must be renewed."""
    advice = step.job.queue.advice
    assert advice is not None
    lead_ms = advice.call_ms
    limit = step.spec.max_per_worker
    placed = count_placed(step)
    renewed = []
    for worker_id, ticket in step.tickets.items():
        worker = fleet.workers.get(worker_id)
        if worker is None or not worker.is_usable(fleet.now_ms):
            continue
        if not has_label(step, worker):
            continue
        if limit and placed[worker_id] >= limit:
            continue
        is_over = ticket.until_ms < fleet.now_ms + lead_ms
        if (is_over or ticket.incarnation != worker.incarnation) and _is_promising(
            fleet, step, worker
        ):
            renewed.append(worker)
    return renewed


def _is_promising(fleet: Fleet, step: Step, worker: Worker) -> bool:
    """Return whether the worker may have room before the answer's tickets end."""
    return step.job.queue.priority <= 1 or has_room(fleet, step, worker)


def _followers(step: Step) -> list[Step]:
    """Return the steps that wait for this one alone."""
    job = step.job
    return [
        other
        for (occurrence, _), other in job.steps.items()
        if occurrence == step.occurrence
        and step.number in other.spec.after
        and all(
            number == step.number or job.steps[occurrence, number].left == 0
            for number in other.spec.after
        )
    ]


def _left_ms(step: Step) -> float:
    """Return the estimated time until the step is done, infinite while tasks wait."""
    left_ms = 0.0
    for task in step.tasks:
        if task.done:
            continue
        if task.run is None:
            return float("inf")
        left_ms = max(left_ms, step.spec.estimate_ms * (1 - task.run.percent / 100))
    return left_ms
