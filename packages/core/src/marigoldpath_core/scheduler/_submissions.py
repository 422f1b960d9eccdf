"""Submission and cancellation of requests by callers."""

from result import Err

from marigoldpath_core.admission import Refusal
from marigoldpath_core.journal import Accepted, Cancelled
from marigoldpath_core.messages import (
    CancelRequested,
    OutcomeRefusedByOrigin,
    RequestSubmitted,
    StopTasks,
)
from marigoldpath_core.request_state import RequestPhase, RequestState
from marigoldpath_core.requests import Origin, Outcome, OutcomeKind, Request

from ._codes import OutcomeCode
from ._dispatch import enqueue_admitted, release_placement
from ._outcomes import RETRY_SOON_MS, end_request, refuse, reply
from ._tasks import finish_attempt_if_terminated, stop_partial_gang
from ._zone import PendingEntry, PendingEntryPurpose, Zone, event_handlers

PLATFORM_UNAVAILABLE_MESSAGE = (
    "the request has to be recorded and the platform does not answer"
)
RETRY_LATER_MS = 5_000


@event_handlers.register(RequestSubmitted)
def on_submitted(zone: Zone, event: RequestSubmitted, now_ms: int) -> None:
    """Admit a new request, add a call to a known one, or refuse the submission."""
    request, origin = event.request, event.origin
    state = zone.request_index.get(request.key)
    if not zone.is_serving(now_ms) or (zone.is_draining and state is None):
        refuse(zone, request, _not_serving_refusal(zone, request, now_ms), origin)
        return
    if state is not None and _may_be_resubmitted(state):
        zone.request_index.remove(request.key)
        state = None
    if state is None:
        _submit_new(zone, event, now_ms)
    elif state.is_placeholder:
        _fill_placeholder(zone, state, request, now_ms)
        _resubmit(zone, state, request, origin)
    elif _comparable_content(state.request) != _comparable_content(request):
        message = f"id {request.key.id!r} was used for a request of other content"
        refusal = _refusal(request, OutcomeCode.ID_CONFLICT, message, "id")
        refuse(zone, request, refusal, origin)
    else:
        _resubmit(zone, state, request, origin)


@event_handlers.register(CancelRequested)
def on_cancel(zone: Zone, event: CancelRequested, now_ms: int) -> None:
    """Cancel a request: at once while it waits, otherwise by stopping its tasks."""
    state = zone.request_index.get(event.key)
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
    end_not_started(zone, state, now_ms, code=OutcomeCode.CANCELLED)


@event_handlers.register(OutcomeRefusedByOrigin)
def on_outcome_refused(zone: Zone, event: OutcomeRefusedByOrigin, now_ms: int) -> None:
    """Count an undelivered outcome; the caller can still fetch the request's state."""
    zone.count("outcome.undelivered")


def end_not_started(
    zone: Zone,
    state: RequestState,
    now_ms: int,
    *,
    code: str,
    message: str = "",
    retry_after_ms: int = 0,
) -> None:
    """End a request for which no start was sent."""
    zone.queue.remove(state.request.key, now_ms)
    release_placement(zone, state)
    end_request(
        zone,
        state,
        OutcomeKind.NOT_RUN,
        now_ms,
        code=code,
        message=message,
        retry_after_ms=retry_after_ms,
    )


def refuse_unrecordable(zone: Zone, now_ms: int) -> None:
    """Refuse the requests that wait for the journal while the platform is unreachable.

    A start is sent only after its intent is durable. So a request that waits for that
    has not run, whether or not the intent is written later. A request whose acceptance
    could already be written stays open, because it cannot be withdrawn. An accepted
    request waits outside the queue, and is queued again when the platform is reachable.
    """
    if zone.can_record(now_ms):
        for waiting in zone.awaiting_platform:
            if waiting.phase is RequestPhase.WAITING:
                enqueue_admitted(zone, waiting, now_ms)
        zone.awaiting_platform.clear()
        return
    for sequence, entry in list(zone.pending_entries.items()):
        state = zone.request_index.get(entry.key)
        if state is None or state.may_run or state.phase is RequestPhase.ENDED:
            continue
        waits_for_acceptance = entry.purpose is PendingEntryPurpose.ACCEPT
        if waits_for_acceptance and not zone.journal.withdraw(sequence):
            continue
        del zone.pending_entries[sequence]
        if not waits_for_acceptance and is_asynchronous(zone, state.request):
            release_placement(zone, state)
            state.phase = RequestPhase.WAITING
            state.history.add(now_ms, "waiting", "for the platform to answer")
            zone.awaiting_platform.append(state)
            continue
        end_not_started(
            zone,
            state,
            now_ms,
            code=OutcomeCode.PLATFORM_UNAVAILABLE,
            message=PLATFORM_UNAVAILABLE_MESSAGE,
            retry_after_ms=RETRY_LATER_MS,
        )


def is_asynchronous(zone: Zone, request: Request) -> bool:
    """Return whether the caller gets ACCEPTED instead of waiting for the outcome.

    The journal records such a request before it is accepted and queued.
    """
    kind = zone.kinds.get(request.kind)
    return not request.wait or (kind is not None and kind.standing)


def enqueue(zone: Zone, state: RequestState, now_ms: int) -> bool:
    """Queue a new request and return True, or refuse it and return False."""
    origin = state.origins[0] if state.origins else None
    offered = zone.queue.offer(state.request, origin, now_ms)
    if isinstance(offered, Err):
        _refuse_admission(zone, state, offered.err_value, now_ms)
        return False
    state.phase = RequestPhase.WAITING
    zone.needs_dispatch = True
    return True


def _refuse_admission(
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
    refusal = _check_admissible(zone, request, now_ms)
    if refusal is not None:
        refuse(zone, request, refusal, origin)
        return
    zone.statistics.count_submitted(request.kind)
    state = RequestState(request, now_ms)
    state.traceparent = event.traceparent
    state.history.add(now_ms, "submitted", f"through {origin.host}")
    state.origins.append(origin)
    zone.request_index.add(state)
    if is_asynchronous(zone, request):
        queue_refusal = zone.queue.refusal(request)
        if queue_refusal is not None:
            _refuse_admission(zone, state, queue_refusal, now_ms)
            return
        state.phase = RequestPhase.RECORDING
        state.is_recorded = True
        sequence = zone.journal.append(Accepted(request, now_ms), now_ms)
        zone.pending_entries[sequence] = PendingEntry(
            PendingEntryPurpose.ACCEPT, request.key, 0
        )
        return
    state.is_recorded = not request.repeatable
    enqueue(zone, state, now_ms)


def _may_be_resubmitted(state: RequestState) -> bool:
    """Return whether a request ended without running and was not cancelled."""
    outcome = state.outcome
    return (
        outcome is not None
        and outcome.kind is OutcomeKind.NOT_RUN
        and outcome.code != OutcomeCode.CANCELLED
    )


def _fill_placeholder(
    zone: Zone, state: RequestState, request: Request, now_ms: int
) -> None:
    """Replace a placeholder by the request that its caller submitted again."""
    state.request = request
    state.is_placeholder = False
    stop_partial_gang(zone, state, now_ms)
    finish_attempt_if_terminated(zone, state, now_ms)


def _resubmit(
    zone: Zone, state: RequestState, request: Request, origin: Origin
) -> None:
    """Reply to a resubmission, or let its call wait for the outcome or acceptance."""
    if state.outcome is not None:
        reply(zone, origin, state.outcome)
    elif is_asynchronous(zone, request) and state.phase is not (RequestPhase.RECORDING):
        reply(zone, origin, Outcome(request.key, OutcomeKind.ACCEPTED))
    else:
        state.origins.append(origin)


def _check_admissible(zone: Zone, request: Request, now_ms: int) -> Outcome | None:
    """Return the refusal of a request that cannot be admitted, or None."""
    if request.kind not in zone.kinds:
        known = ", ".join(sorted(zone.kinds)) or "none"
        message = f"kind {request.kind!r} is not configured; known: {known}"
        return _refusal(request, "unknown_kind", message, "kind")
    unsatisfiable = zone.workers.unsatisfiable_dimensions(request.size)
    if unsatisfiable:
        message = f"no worker of the zone has as much {', '.join(unsatisfiable)}"
        return _refusal(
            request, OutcomeCode.NEVER_FITS, message, f"size.{unsatisfiable[0]}"
        )
    max_tasks = zone.workers.max_concurrent_tasks(request.size)
    if len(zone.workers) and request.tasks > max_tasks:
        message = f"the zone holds at most {max_tasks} tasks of this size at once"
        return _refusal(request, OutcomeCode.NEVER_FITS, message, "tasks")
    needs_journal = not request.repeatable or is_asynchronous(zone, request)
    if needs_journal and not zone.can_record(now_ms):
        return _refusal(
            request,
            OutcomeCode.PLATFORM_UNAVAILABLE,
            PLATFORM_UNAVAILABLE_MESSAGE,
            retry_after_ms=RETRY_LATER_MS,
        )
    return None


def _not_serving_refusal(zone: Zone, request: Request, now_ms: int) -> Outcome:
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


def _comparable_content(request: Request) -> Request:
    """Return a request without the fields that a caller may change on resubmission."""
    return request._replace(wait=True, deadline_ms=0)
