"""Outcomes of requests, and the replies to their callers."""

from marigoldpath_core.journal import Finished
from marigoldpath_core.messages import SendOutcome
from marigoldpath_core.request_state import RequestPhase, RequestState
from marigoldpath_core.requests import Answer, Origin, Outcome, OutcomeKind, Request

from ._codes import OutcomeCode
from ._statistics import record_outcome, record_refused_submission
from ._zone import Zone

RETRY_SOON_MS = 500


def reply(zone: Zone, origin: Origin | None, outcome: Outcome) -> None:
    """Send an outcome to the entry host that waits for it."""
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
    """Set the outcome of a request and send it to every call that waits for it.

    If an attempt of the request was started, NOT_RUN would be false. It is replaced
    by DONE without an answer if the request was cancelled, and by UNKNOWN otherwise.
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
    record_outcome(zone, state, now_ms)
    if state.is_recorded:
        zone.journal.append(Finished(state.request.key, kind, answer, now_ms), now_ms)
    for origin in state.origins:
        zone.effects.append(SendOutcome(origin, state.outcome, state.traceparent))
    state.origins.clear()
    zone.unresolved.pop(state.request.key, None)
    is_refusal = kind is OutcomeKind.NOT_RUN and code != OutcomeCode.CANCELLED
    if is_refusal and not state.is_accepted:
        state.phase = RequestPhase.ENDED
        zone.request_index.remove(state.request.key)
    else:
        zone.request_index.mark_ended(state, now_ms)


def refuse(
    zone: Zone, request: Request, outcome: Outcome, origin: Origin | None
) -> None:
    """Refuse a submission without any change to the request index."""
    zone.count(f"refused.{outcome.code}")
    record_refused_submission(zone, request, outcome)
    reply(zone, origin, outcome)
