"""Begins and ends a term of leadership."""

from marigoldpath_core.journal import Intent, RecoveredRequest
from marigoldpath_core.leadership import (
    Elected,
    SteppedDown,
    WorkerHeld,
    WorkerLost,
)
from marigoldpath_core.ledger import RequestPhase, RequestState
from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.requests import Outcome, OutcomeKind, Request, Size

from ._codes import OutcomeCode
from ._dispatch import restore
from ._intake import is_accepted_to_wait
from ._leases import make_placeable, reconcile
from ._outcomes import RETRY_SOON_MS, end_request
from ._tasks import finish_if_ended, stop_partial
from ._zone import Unresolved, Zone, ZonePhase, change_handlers

# Workers keep answers for a minute (docs/design.md, 4.2); the margin covers the lag
# of polls.
KEPT_ANSWERS_MS = 60_000
KEPT_MARGIN_MS = 5_000


@change_handlers.register(Elected)
def on_elected(zone: Zone, change: Elected, now_ms: int) -> None:
    """Begin a term: read the journal while the claims settle."""
    zone.clear()
    zone.phase = ZonePhase.RECOVERING
    zone.effects.extend(zone.journal.open(change.epoch, now_ms))
    zone.log("elected", epoch=change.epoch)


@change_handlers.register(SteppedDown)
def on_stepped_down(zone: Zone, change: SteppedDown, now_ms: int) -> None:
    """End a term: tell who waits to ask the next leader, and forget all else."""
    zone.log("stepped_down", "warning", epoch=change.epoch, reason=change.reason)
    for state in zone.ledger:
        sent = state.has_run or state.may_run
        sent = sent or state.phase is RequestPhase.RECORDING
        kind = OutcomeKind.UNKNOWN if sent else OutcomeKind.NOT_RUN
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


@change_handlers.register(WorkerHeld)
def on_worker_held(zone: Zone, change: WorkerHeld, now_ms: int) -> None:
    """Adopt what a worker runs, now that only this host may place on it."""
    watch = zone.watch(change.worker)
    watch.is_held = True
    watch.held_clock_ms = change.report.clock_ms
    reconcile(zone, change.worker, change.report, now_ms)
    zone.day.host_restored(change.worker, "unreachable", now_ms)
    make_placeable(zone, change.worker, watch)


@change_handlers.register(WorkerLost)
def on_worker_lost(zone: Zone, change: WorkerLost, now_ms: int) -> None:
    """Place nothing more on a worker; its tasks count until their leases are over."""
    zone.watch(change.worker).is_held = False
    zone.day.host_removed(change.worker, "unreachable", now_ms)
    if change.worker in zone.workers:
        zone.workers.set_ready(change.worker, False)
    zone.log("worker_lost", "warning", worker=change.worker, reason=change.reason)


def begin_serving(zone: Zone, now_ms: int) -> None:
    """Serve once the journal is read and every worker's state is known.

    A worker out of reach is waited for until no task that an earlier leader started
    there can still hold a lease: that leader stops renewing one claim lease after it
    lost its quorum, and the longest task lease follows.
    """
    if not zone.leadership.is_authorized(now_ms) or not zone.journal.ready:
        return
    if zone.quorum_at_ms is None:
        zone.quorum_at_ms = now_ms
        _load_recovered(zone, now_ms)
    waiting = [name for name in zone.leadership.listed if not zone.watch(name).is_ready]
    leadership = zone.settings.leadership
    longest_ms = leadership.claim_lease_ms + leadership.task_lease_ms
    over_at_ms = zone.quorum_at_ms + longest_ms * 102 // 100
    if waiting and now_ms < over_at_ms:
        return
    zone.phase = ZonePhase.SERVING
    zone.log(
        "serving",
        epoch=zone.leadership.epoch,
        workers=len(zone.leadership.listed) - len(waiting),
        unreachable=waiting,
    )
    for unresolved in list(zone.unresolved.values()):
        _resolve(zone, unresolved, now_ms)
    for state in list(zone.ledger):
        stop_partial(zone, state, now_ms)
    zone.has_work = True


def _load_recovered(zone: Zone, now_ms: int) -> None:
    for recovered in zone.journal.recovered:
        _load(zone, recovered, now_ms)


def _load(zone: Zone, recovered: RecoveredRequest, now_ms: int) -> None:
    state = zone.ledger.get(recovered.key)
    if state is None:
        request = recovered.request or _placeholder(recovered)
        state = RequestState(request, recovered.accepted_ms or now_ms)
        state.is_adopted = recovered.request is None
        zone.ledger.add(state)
    elif recovered.request is not None:
        state.request = recovered.request
        state.is_adopted = False
    else:
        state.request = _placeholder(recovered)
    state.is_recorded = True
    state.is_accepted = is_accepted_to_wait(zone, state.request)
    state.history.add(now_ms, "recovered", "from the journal")
    if recovered.outcome is not None:
        _load_finished(zone, state, recovered, now_ms)
    elif state.phase is not RequestPhase.ENDED:
        state.is_cancelled = recovered.cancelled
        zone.unresolved[recovered.key] = Unresolved(state, recovered.intents)


def _placeholder(recovered: RecoveredRequest) -> Request:
    """Return what the intents of a request tell of its content."""
    tasks = sum(len(intent.tasks) for intent in recovered.intents) or 1
    return Request(recovered.key, "", Size(), repeatable=False, tasks=tasks)


def _load_finished(
    zone: Zone, state: RequestState, recovered: RecoveredRequest, now_ms: int
) -> None:
    state.outcome = Outcome(
        recovered.key,
        recovered.outcome or OutcomeKind.UNKNOWN,
        code=OutcomeCode.CANCELLED if recovered.cancelled else "",
        answer=recovered.answer,
    )
    zone.ledger.ended(state, now_ms)


def _resolve(zone: Zone, unresolved: Unresolved, now_ms: int) -> None:
    """Decide on a recorded request that no worker runs or remembers."""
    state, intents = unresolved
    zone.unresolved.pop(state.request.key, None)
    if state.phase is RequestPhase.ENDED or state.may_run:
        return
    if state.tasks:
        finish_if_ended(zone, state, now_ms)
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
    elif state.is_adopted:
        zone.ledger.forget(state.request.key)
    else:
        restore(zone, state, now_ms)


def _never_started(zone: Zone, intents: tuple[Intent, ...]) -> bool:
    """Return whether no intended start took place.

    A worker that is ready runs no start of an earlier leader any more, and has told
    of every end that it keeps. So a task that it neither runs nor remembers never
    started there, unless it restarted or the end is older than what it keeps.
    """
    for intent in intents:
        watch = zone.watch(intent.worker)
        passed_ms = watch.polled_clock_ms - intent.clock_ms
        if not watch.is_ready or watch.incarnation != intent.incarnation:
            return False
        if passed_ms >= KEPT_ANSWERS_MS - KEPT_MARGIN_MS:
            return False
    return True


def accepted_is_durable(zone: Zone, state: RequestState) -> None:
    """Tell the callers of a request that it is accepted to wait."""
    if not is_accepted_to_wait(zone, state.request):
        return
    state.is_accepted = True
    accepted = Outcome(state.request.key, OutcomeKind.ACCEPTED)
    zone.effects.extend(SendOutcome(origin, accepted) for origin in state.origins)
    state.origins.clear()
