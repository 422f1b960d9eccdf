"""The beginning and the end of a term of leadership."""

from marigoldpath_core.journal import Intent, RecoveredRequest
from marigoldpath_core.leadership import (
    Elected,
    SteppedDown,
    WorkerClaimed,
    WorkerClaimLost,
)
from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.request_state import RequestPhase, RequestState
from marigoldpath_core.requests import Outcome, OutcomeKind, Request, Size

from ._codes import OutcomeCode
from ._dispatch import enqueue_admitted
from ._leases import reconcile, update_readiness
from ._outcomes import RETRY_SOON_MS, end_request
from ._submissions import is_asynchronous
from ._tasks import finish_attempt_if_terminated, stop_partial_gang
from ._zone import (
    UnresolvedRequest,
    Zone,
    ZonePhase,
    leadership_change_handlers,
)

# Workers retain results for a minute (docs/design.md, 4.2). The margin covers the delay
# between polls.
RESULT_RETENTION_MS = 60_000
RESULT_RETENTION_MARGIN_MS = 5_000


@leadership_change_handlers.register(Elected)
def on_elected(zone: Zone, change: Elected, now_ms: int) -> None:
    """Begin a term: read the journal while the claims on workers take effect."""
    zone.clear()
    zone.phase = ZonePhase.RECOVERING
    zone.effects.extend(zone.journal.open(change.epoch, now_ms))
    zone.log("elected", epoch=change.epoch)


@leadership_change_handlers.register(SteppedDown)
def on_stepped_down(zone: Zone, change: SteppedDown, now_ms: int) -> None:
    """End a term: refer waiting callers to the next leader, and reset the state."""
    zone.log("stepped_down", "warning", epoch=change.epoch, reason=change.reason)
    for state in zone.request_index:
        may_have_started = state.has_run or state.may_run
        may_have_started = may_have_started or state.phase is RequestPhase.RECORDING
        kind = OutcomeKind.UNKNOWN if may_have_started else OutcomeKind.NOT_RUN
        outcome = Outcome(
            state.request.key,
            kind,
            OutcomeCode.LEADER_CHANGED,
            "the zone's leader changed; ask again with the same id",
            retry_after_ms=RETRY_SOON_MS,
        )
        zone.effects.extend(SendOutcome(origin, outcome) for origin in state.origins)
    zone.journal.close()
    zone.clear()
    zone.phase = ZonePhase.FOLLOWING


@leadership_change_handlers.register(WorkerClaimed)
def on_worker_claimed(zone: Zone, change: WorkerClaimed, now_ms: int) -> None:
    """Adopt the tasks on a worker on which only this host may now place tasks."""
    observation = zone.observation(change.worker)
    observation.is_claimed = True
    observation.claimed_clock_ms = change.report.clock_ms
    reconcile(zone, change.worker, change.report, now_ms)
    zone.statistics.host_restored(change.worker, "unreachable", now_ms)
    update_readiness(zone, change.worker, observation)


@leadership_change_handlers.register(WorkerClaimLost)
def on_worker_claim_lost(zone: Zone, change: WorkerClaimLost, now_ms: int) -> None:
    """Stop placements on a worker; its tasks stay placed until their leases expire."""
    zone.observation(change.worker).is_claimed = False
    zone.statistics.host_removed(change.worker, "unreachable", now_ms)
    if change.worker in zone.workers:
        zone.workers.set_ready(change.worker, False)
    zone.log("worker_lost", "warning", worker=change.worker, reason=change.reason)


def begin_serving_if_ready(zone: Zone, now_ms: int) -> None:
    """Begin to serve after the journal has been read and every worker is ready.

    If a worker is unreachable, the wait ends when no task that an earlier leader
    started there can still have a lease. That leader stops renewing leases one claim
    lease after it lost its quorum, and its last renewal is valid for one task lease.
    """
    if not zone.leadership.is_authorized(now_ms) or not zone.journal.ready:
        return
    if zone.quorum_since_ms is None:
        zone.quorum_since_ms = now_ms
        _load_recovered(zone, now_ms)
    not_ready = [
        name
        for name in zone.leadership.listed_workers
        if not zone.observation(name).is_ready
    ]
    leadership = zone.settings.leadership
    max_lease_ms = leadership.claim_lease_ms + leadership.task_lease_ms
    expired_at_ms = zone.quorum_since_ms + max_lease_ms * 102 // 100
    if not_ready and now_ms < expired_at_ms:
        return
    zone.phase = ZonePhase.SERVING
    zone.log(
        "serving",
        epoch=zone.leadership.epoch,
        workers=len(zone.leadership.listed_workers) - len(not_ready),
        unreachable=not_ready,
    )
    for unresolved in list(zone.unresolved.values()):
        _resolve_request(zone, unresolved, now_ms)
    for state in list(zone.request_index):
        stop_partial_gang(zone, state, now_ms)
    zone.needs_dispatch = True


def _load_recovered(zone: Zone, now_ms: int) -> None:
    for recovered in zone.journal.recovered:
        _load_request(zone, recovered, now_ms)


def _load_request(zone: Zone, recovered: RecoveredRequest, now_ms: int) -> None:
    state = zone.request_index.get(recovered.key)
    if state is None:
        request = recovered.request or _placeholder(recovered)
        state = RequestState(request, recovered.accepted_ms or now_ms)
        state.is_placeholder = recovered.request is None
        zone.request_index.add(state)
    elif recovered.request is not None:
        state.request = recovered.request
        state.is_placeholder = False
    else:
        state.request = _placeholder(recovered)
    state.is_recorded = True
    state.is_accepted = is_asynchronous(zone, state.request)
    state.history.add(now_ms, "recovered", "from the journal")
    if recovered.outcome is not None:
        _load_finished_request(zone, state, recovered, now_ms)
    elif state.phase is not RequestPhase.ENDED:
        state.is_cancelled = recovered.cancelled
        zone.unresolved[recovered.key] = UnresolvedRequest(state, recovered.intents)


def _placeholder(recovered: RecoveredRequest) -> Request:
    """Return a placeholder for a request of which only intents were recorded."""
    tasks = sum(len(intent.tasks) for intent in recovered.intents) or 1
    return Request(recovered.key, "", Size(), repeatable=False, tasks=tasks)


def _load_finished_request(
    zone: Zone, state: RequestState, recovered: RecoveredRequest, now_ms: int
) -> None:
    state.outcome = Outcome(
        recovered.key,
        recovered.outcome or OutcomeKind.UNKNOWN,
        code=OutcomeCode.CANCELLED if recovered.cancelled else "",
        answer=recovered.answer,
    )
    zone.request_index.mark_ended(state, now_ms)


def _resolve_request(zone: Zone, unresolved: UnresolvedRequest, now_ms: int) -> None:
    """Requeue or end a recorded request whose outcome is not in the journal.

    Nothing is done while a worker reports one of its tasks as running.
    """
    state, intents = unresolved
    zone.unresolved.pop(state.request.key, None)
    if state.phase is RequestPhase.ENDED or state.may_run:
        return
    if state.tasks:
        finish_attempt_if_terminated(zone, state, now_ms)
        return
    may_have_run = not _never_started(zone, intents)
    if may_have_run and not state.request.repeatable:
        message = "a start was recorded and no worker knows its end"
        end_request(
            zone,
            state,
            OutcomeKind.UNKNOWN,
            now_ms,
            code=OutcomeCode.OUTCOME_LOST,
            message=message,
        )
    elif state.is_cancelled:
        end_request(
            zone, state, OutcomeKind.NOT_RUN, now_ms, code=OutcomeCode.CANCELLED
        )
    elif state.is_placeholder:
        zone.request_index.remove(state.request.key)
    else:
        enqueue_admitted(zone, state, now_ms)


def _never_started(zone: Zone, intents: tuple[Intent, ...]) -> bool:
    """Return whether none of the recorded starts took place.

    A ready worker no longer accepts starts of an earlier leader, and has reported
    every termination that it retains. So a task that it reports neither as running nor
    as terminated never started there, unless the worker has restarted or no longer
    retains results from the time of the intent.
    """
    for intent in intents:
        observation = zone.observation(intent.worker)
        elapsed_ms = observation.polled_clock_ms - intent.clock_ms
        if not observation.is_ready or observation.incarnation != intent.incarnation:
            return False
        if elapsed_ms >= RESULT_RETENTION_MS - RESULT_RETENTION_MARGIN_MS:
            return False
    return True


def on_acceptance_durable(zone: Zone, state: RequestState) -> None:
    """Send the callers of an asynchronous request the outcome ACCEPTED."""
    if not is_asynchronous(zone, state.request):
        return
    state.is_accepted = True
    accepted = Outcome(state.request.key, OutcomeKind.ACCEPTED)
    zone.effects.extend(SendOutcome(origin, accepted) for origin in state.origins)
    state.origins.clear()
