"""Submissions and cancellations of callers."""

from result import Err

from marigoldpath_core.admission import Refusal
from marigoldpath_core.journal import Accepted, Cancelled
from marigoldpath_core.ledger import RequestPhase, RequestState
from marigoldpath_core.messages import (
    CancelRequested,
    OutcomeRefusedByOrigin,
    RequestSubmitted,
    StopTasks,
)
from marigoldpath_core.requests import Origin, Outcome, OutcomeKind, Request

from ._codes import OutcomeCode
from ._dispatch import free, restore
from ._outcomes import RETRY_SOON_MS, end_request, refuse, reply
from ._tasks import finish_if_ended, stop_partial
from ._zone import Ticket, TicketPurpose, Zone, handlers

UNRECORDED = "the request has to be recorded and the platform does not answer"
RETRY_LATER_MS = 5_000


@handlers.register(RequestSubmitted)
def on_submitted(zone: Zone, event: RequestSubmitted, now_ms: int) -> None:
    """Take a request in, answer it from the ledger, or refuse it."""
    request, origin = event.request, event.origin
    state = zone.ledger.get(request.key)
    if not zone.is_serving(now_ms) or (zone.is_draining and state is None):
        refuse(zone, request, _not_serving(zone, request, now_ms), origin)
        return
    if state is not None and _may_be_tried_again(state):
        zone.ledger.forget(request.key)
        state = None
    if state is None:
        _submit_new(zone, event, now_ms)
    elif state.is_adopted:
        _learn_request(zone, state, request, now_ms)
        _submit_again(zone, state, request, origin)
    elif _content(state.request) != _content(request):
        message = f"id {request.key.id!r} was used for a request of other content"
        refusal = _refusal(request, OutcomeCode.ID_CONFLICT, message, "id")
        refuse(zone, request, refusal, origin)
    else:
        _submit_again(zone, state, request, origin)


@handlers.register(CancelRequested)
def on_cancel(zone: Zone, event: CancelRequested, now_ms: int) -> None:
    """Cancel a request: at once if it waits, else by stopping its tasks."""
    state = zone.ledger.get(event.key)
    if not zone.is_serving(now_ms) or state is None:
        code = (
            OutcomeCode.NOT_FOUND if zone.is_serving(now_ms) else OutcomeCode.NOT_LEADER
        )
        reply(zone, event.origin, Outcome(event.key, OutcomeKind.UNKNOWN, code))
        return
    if state.phase is RequestPhase.ENDED:
        assert state.outcome is not None
        reply(zone, event.origin, state.outcome)
        return
    state.origins.append(event.origin)
    if state.is_cancelled:
        return
    state.is_cancelled = True
    state.history.add(now_ms, "cancel", "requested by its caller")
    if state.is_recorded:
        zone.journal.append(Cancelled(event.key, now_ms), now_ms)
    if state.may_run:
        for task in state.tasks.values():
            zone.effects.append(StopTasks(task.worker, (task.task,)))
        return
    end_unsent(zone, state, now_ms, code=OutcomeCode.CANCELLED)


@handlers.register(OutcomeRefusedByOrigin)
def on_outcome_refused(zone: Zone, event: OutcomeRefusedByOrigin, now_ms: int) -> None:
    """Count an outcome that no one takes; the caller can ask again for its state."""
    zone.count("outcome.undelivered")


def end_unsent(
    zone: Zone,
    state: RequestState,
    now_ms: int,
    *,
    code: str,
    message: str = "",
    retry_after_ms: int = 0,
) -> None:
    """End a request of which no start was sent."""
    zone.queue.remove(state.request.key, now_ms)
    free(zone, state)
    end_request(
        zone,
        state,
        OutcomeKind.NOT_RUN,
        now_ms,
        code=code,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def refuse_unrecorded(zone: Zone, now_ms: int) -> None:
    """Refuse what waits for the journal while the platform does not answer.

    A start is sent only after its intent is confirmed, so a request that waits for
    that has not run, whether the row is written in the end or not. A request whose
    acceptance may be written already stays open, and one that is accepted goes on
    waiting outside the queue.
    """
    if zone.can_record(now_ms):
        for waiting in zone.held_back:
            if waiting.phase is RequestPhase.WAITING:
                restore(zone, waiting, now_ms)
        zone.held_back.clear()
        return
    for number, ticket in list(zone.tickets.items()):
        state = zone.ledger.get(ticket.key)
        if state is None or state.may_run or state.phase is RequestPhase.ENDED:
            continue
        is_accept = ticket.purpose is TicketPurpose.ACCEPT
        if is_accept and not zone.journal.withdraw(number):
            continue
        del zone.tickets[number]
        if not is_accept and is_accepted_to_wait(zone, state.request):
            free(zone, state)
            state.phase = RequestPhase.WAITING
            state.history.add(now_ms, "waiting", "for the platform to answer")
            zone.held_back.append(state)
            continue
        end_unsent(
            zone,
            state,
            now_ms,
            code=OutcomeCode.PLATFORM_UNAVAILABLE,
            message=UNRECORDED,
            retry_after_ms=RETRY_LATER_MS,
        )


def is_accepted_to_wait(zone: Zone, request: Request) -> bool:
    """Return whether a request is recorded and answered before it has run."""
    kind = zone.kinds.get(request.kind)
    return not request.wait or (kind is not None and kind.standing)


def enqueue(zone: Zone, state: RequestState, now_ms: int) -> bool:
    """Queue a request; on refusal its caller is told and False is returned."""
    origin = state.origins[0] if state.origins else None
    offered = zone.queue.offer(state.request, origin, now_ms)
    if isinstance(offered, Err):
        _refuse_queued(zone, state, offered.err_value, now_ms)
        return False
    state.phase = RequestPhase.WAITING
    zone.has_work = True
    return True


def _refuse_queued(
    zone: Zone, state: RequestState, refusal: Refusal, now_ms: int
) -> None:
    zone.count(f"refused.{refusal.code}")
    end_request(
        zone,
        state,
        OutcomeKind.NOT_RUN,
        now_ms,
        code=refusal.code,
        message=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
    )


def _submit_new(zone: Zone, event: RequestSubmitted, now_ms: int) -> None:
    request, origin = event.request, event.origin
    refusal = _check(zone, request, now_ms)
    if refusal is not None:
        refuse(zone, request, refusal, origin)
        return
    zone.day.count_submitted(request.kind)
    state = RequestState(request, now_ms)
    state.traceparent = event.traceparent
    state.history.add(now_ms, "submitted", f"through {origin.host}")
    state.origins.append(origin)
    zone.ledger.add(state)
    if is_accepted_to_wait(zone, request):
        turned_away = zone.queue.refusal(request)
        if turned_away is not None:
            _refuse_queued(zone, state, turned_away, now_ms)
            return
        state.phase = RequestPhase.RECORDING
        state.is_recorded = True
        ticket = zone.journal.append(Accepted(request, now_ms), now_ms)
        zone.tickets[ticket] = Ticket(TicketPurpose.ACCEPT, request.key, 0)
        return
    state.is_recorded = not request.repeatable
    enqueue(zone, state, now_ms)


def _may_be_tried_again(state: RequestState) -> bool:
    """Return whether a request ended without a run and was not cancelled."""
    outcome = state.outcome
    return (
        outcome is not None
        and outcome.kind is OutcomeKind.NOT_RUN
        and outcome.code != OutcomeCode.CANCELLED
    )


def _learn_request(
    zone: Zone, state: RequestState, request: Request, now_ms: int
) -> None:
    """Take over the content of a request that was known only from a worker."""
    state.request = request
    state.is_adopted = False
    stop_partial(zone, state, now_ms)
    finish_if_ended(zone, state, now_ms)


def _submit_again(
    zone: Zone, state: RequestState, request: Request, origin: Origin
) -> None:
    """Answer a request that is known already."""
    if state.outcome is not None:
        reply(zone, origin, state.outcome)
    elif is_accepted_to_wait(zone, request) and state.phase is not (
        RequestPhase.RECORDING
    ):
        reply(zone, origin, Outcome(request.key, OutcomeKind.ACCEPTED))
    else:
        state.origins.append(origin)


def _check(zone: Zone, request: Request, now_ms: int) -> Outcome | None:
    """Return the refusal of a request that cannot be taken at all."""
    if request.kind not in zone.kinds:
        known = ", ".join(sorted(zone.kinds)) or "none"
        message = f"kind {request.kind!r} is not configured; known: {known}"
        return _refusal(request, "unknown_kind", message, "kind")
    unfit = zone.workers.unsatisfiable_dimensions(request.size)
    if unfit:
        message = f"no worker of the zone has as much {', '.join(unfit)}"
        return _refusal(request, OutcomeCode.NEVER_FITS, message, f"size.{unfit[0]}")
    most = zone.workers.max_concurrent_tasks(request.size)
    if len(zone.workers) and request.tasks > most:
        message = f"the zone holds at most {most} tasks of this size at once"
        return _refusal(request, OutcomeCode.NEVER_FITS, message, "tasks")
    needs_journal = not request.repeatable or is_accepted_to_wait(zone, request)
    if needs_journal and not zone.can_record(now_ms):
        return _refusal(
            request,
            OutcomeCode.PLATFORM_UNAVAILABLE,
            UNRECORDED,
            retry_after_ms=RETRY_LATER_MS,
        )
    return None


def _not_serving(zone: Zone, request: Request, now_ms: int) -> Outcome:
    if zone.is_draining:
        code, message = OutcomeCode.DRAINING, "this entry host is stopping"
    elif zone.leadership.epoch:
        code, message = (
            OutcomeCode.ZONE_RECOVERING,
            "the zone's new leader is not ready yet",
        )
    else:
        code, message = OutcomeCode.NOT_LEADER, "this entry host does not lead the zone"
    return _refusal(request, code, message, retry_after_ms=RETRY_SOON_MS)


def _refusal(
    request: Request,
    code: str,
    message: str,
    field: str = "",
    retry_after_ms: int = 0,
) -> Outcome:
    return Outcome(
        request.key,
        OutcomeKind.NOT_RUN,
        code=code,
        message=message,
        field=field,
        retry_after_ms=retry_after_ms,
    )


def _content(request: Request) -> Request:
    """Return a request without what a caller may change when it comes back."""
    return request._replace(wait=True, deadline_ms=0)
