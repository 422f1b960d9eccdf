"""Ends of requests and what callers are told."""

from marigoldpath_core.journal import Finished
from marigoldpath_core.ledger import RequestPhase, RequestState
from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.requests import Answer, Origin, Outcome, OutcomeKind, Request

from ._codes import OutcomeCode
from ._day import note_ended, note_refused_at_intake
from ._zone import Zone

RETRY_SOON_MS = 500


def reply(zone: Zone, origin: Origin | None, outcome: Outcome) -> None:
    """Tell one waiting entry host an outcome."""
    if origin is not None:
        zone.effects.append(SendOutcome(origin, outcome))


def end_request(
    zone: Zone,
    state: RequestState,
    kind: OutcomeKind,
    now_ms: int,
    *,
    code: str = "",
    message: str = "",
    answer: Answer | None = None,
    retry_after_ms: int = 0,
) -> None:
    """Give a request its outcome and tell everyone who waits for it.

    A request of which an attempt was started did run, whatever `kind` says: when it
    was cancelled it is done without an answer, else its outcome is unknown.
    """
    if kind is OutcomeKind.NOT_RUN and state.has_run:
        is_cancelled = code == OutcomeCode.CANCELLED
        kind = OutcomeKind.DONE if is_cancelled else OutcomeKind.UNKNOWN
    state.outcome = Outcome(
        state.request.key,
        kind,
        code=code,
        message=message,
        answer=answer,
        retry_after_ms=retry_after_ms,
    )
    state.history.add(now_ms, str(kind), code or message)
    zone.count(f"outcome.{kind}")
    note_ended(zone, state, now_ms)
    if state.is_recorded:
        zone.journal.append(Finished(state.request.key, kind, answer, now_ms), now_ms)
    for origin in state.origins:
        zone.effects.append(SendOutcome(origin, state.outcome, state.traceparent))
    state.origins.clear()
    zone.unresolved.pop(state.request.key, None)
    is_refusal = kind is OutcomeKind.NOT_RUN and code != OutcomeCode.CANCELLED
    if is_refusal and not state.is_accepted:
        state.phase = RequestPhase.ENDED
        zone.ledger.forget(state.request.key)
    else:
        zone.ledger.ended(state, now_ms)


def refuse(
    zone: Zone, request: Request, outcome: Outcome, origin: Origin | None
) -> None:
    """Refuse a submission that left no trace in the ledger."""
    zone.count(f"refused.{outcome.code}")
    note_refused_at_intake(zone, request, outcome)
    reply(zone, origin, outcome)
