"""Questions to the advice service: which workers may run a step, and tickets."""

from ._fleet import Fleet, handlers
from ._messages import AdviceAnswered, AskAdvice
from ._placement import count_placed, has_room, may_run
from ._work import Step, Ticket
from ._worker import Worker

MAX_WORKERS = 100
# A question that was not answered is asked again after this time.
RETRY_MS = 150


def ask_if_needed(fleet: Fleet, step: Step) -> None:
    """Ask for tickets when tasks wait and a worker without a ticket could take one."""
    if step.job.queue.advice is None or not step.waiting or not _may_ask(fleet, step):
        return
    unknown = _unknown_workers(fleet, step)
    if unknown and not step.tickets:
        _ask(fleet, step, unknown)
        return
    wanted = _workers_to_renew(fleet, step)
    if wanted or unknown:
        _ask(fleet, step, [*wanted, *unknown])


def ask_ahead(fleet: Fleet) -> None:
    """Ask for steps whose predecessors are about to end."""
    for step in list(fleet.open_steps.values()):
        for follower in _followers(step):
            advice = follower.job.queue.advice
            if advice is None or follower.tickets or follower.denied:
                continue
            unknown = _unknown_workers(fleet, follower)
            lead_ms = advice.cost_ms(len(unknown)) + 100
            if unknown and _left_ms(step) <= lead_ms and _may_ask(fleet, follower):
                _ask(fleet, follower, unknown)


@handlers.register(AdviceAnswered)
def take_advice(fleet: Fleet, event: AdviceAnswered) -> None:
    """Keep approvals, refusals and tickets."""
    fleet.slow_questions.discard(event[:3])
    job = fleet.jobs.get(event.job_id)
    step = job.steps.get((event.occurrence, event.step)) if job is not None else None
    if job is None or step is None:
        return
    step.is_asking = False
    advice = job.queue.advice
    if event.tickets is None or advice is None:
        fleet.note("advice_failed", job=event.job_id, step=event.step)
        return
    until_ms = fleet.now_ms + advice.valid_ms - fleet.settings.ticket_margin_ms
    for worker_id in event.workers:
        worker = fleet.workers.get(worker_id)
        text = event.tickets.get(worker_id)
        if text is None or worker is None:
            step.denied.add(worker_id)
            step.tickets.pop(worker_id, None)
        else:
            step.tickets[worker_id] = Ticket(text, until_ms, worker.born)
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
    # The service takes one question of each host at a time.
    return len(fleet.slow_questions) < fleet.helpers


def _ask(fleet: Fleet, step: Step, workers: list[Worker]) -> None:
    advice = step.job.queue.advice
    assert advice is not None
    named = tuple(worker.worker_id for worker in workers[:MAX_WORKERS])
    step.is_asking = True
    step.asked_ms = fleet.now_ms
    if _is_slow(fleet, step):
        fleet.slow_questions.add(step.key)
    fleet.emit(AskAdvice(*step.key, named, advice.cost_ms(len(named))))


def _is_slow(fleet: Fleet, step: Step) -> bool:
    advice = step.job.queue.advice
    return advice is not None and advice.call_ms >= fleet.settings.slow_advice_ms


def _unknown_workers(fleet: Fleet, step: Step) -> list[Worker]:
    return [
        worker
        for worker in fleet.workers.values()
        if worker.worker_id not in step.tickets
        and worker.worker_id not in step.denied
        and may_run(fleet, step, worker)
    ]


def _workers_to_renew(fleet: Fleet, step: Step) -> list[Worker]:
    """Return approved workers with room whose ticket is over or about to be."""
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
        if limit and placed[worker_id] >= limit:
            continue
        is_over = ticket.until_ms < fleet.now_ms + lead_ms
        if (is_over or ticket.born != worker.born) and _is_promising(
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
