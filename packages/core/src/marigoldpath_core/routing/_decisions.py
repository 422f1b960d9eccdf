"""Decisions of an entry host after a peer's reply has arrived or has been lost."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Outcome, OutcomeKind
from marigoldpath_core.scheduler import OutcomeCode

from ._budget import RetryBudget
from ._views import MAX_HOPS, LeaderView, Route, RouteKind


class RecoveryAction(StrEnum):
    """How to proceed with a submission whose outcome is unknown.

    ANSWER sends the caller the outcome that was read, WAIT waits for the leader to send
    it, RESUBMIT submits the request again, and UNKNOWN reports an unknown outcome.
    """

    ANSWER = "answer"
    WAIT = "wait"
    RESUBMIT = "resubmit"
    UNKNOWN = "unknown"


class StateLookup(NamedTuple):
    """The result of reading a request's state from the leader of its zone.

    The state is read if the reply to a submission was lost or the leader changed.
    `answered` is False if the leader did not reply. `found` means that the leader has
    the request, and `finished` that the state includes the outcome. `subscribed` means
    that this leader received the submission itself, so it will send the outcome.
    """

    answered: bool
    found: bool = False
    finished: bool = False
    subscribed: bool = False


def should_resubmit_to_next_leader(outcome: Outcome, handed_over: bool) -> bool:
    """Return whether to submit the request to the zone's next leader.

    A leader that releases leadership sends an outcome with the code LEADER_CHANGED to
    every entry host that waits for an outcome from it. `handed_over` means that the
    request has already had such an outcome, so it is also submitted again if the next
    leader is not ready yet. These submissions are not counted against the retry budget:
    the previous leader has dropped the request, so the load does not grow, and the
    caller's request must not fail because of a change of leader.
    """
    if outcome.code == OutcomeCode.LEADER_CHANGED:
        return True
    is_not_ready = outcome.code in (
        OutcomeCode.NOT_LEADER,
        OutcomeCode.ZONE_RECOVERING,
        OutcomeCode.DRAINING,
    )
    return handed_over and is_not_ready and outcome.kind is not OutcomeKind.DONE


def follow_redirect(redirect: LeaderView | None, address: str, hops: int) -> Route:
    """Return the route after the peer at `address` replied that it is not the leader.

    `redirect` is the leader named in that reply, or None, and `hops` the number of hops
    already made. Forwarding the request cannot run it twice, because the peer has not
    run it.
    """
    if redirect is None or not redirect.host or redirect.address == address:
        return Route(RouteKind.NO_LEADER)
    if hops + 1 > MAX_HOPS:
        return Route(RouteKind.NO_LEADER)
    return Route(RouteKind.FORWARD, redirect)


def decide_recovery(
    lookup: StateLookup, budget: RetryBudget, now_ms: int
) -> RecoveryAction:
    """Return how to proceed with a submission whose outcome is unknown.

    A resubmission is counted against the retry budget. Submitting the same id again is
    safe: a leader that has the id attaches the submission to the existing request, and
    a new leader recovers every id that must not run twice.
    """
    if not lookup.answered:
        return RecoveryAction.UNKNOWN
    if lookup.finished:
        return RecoveryAction.ANSWER
    if lookup.found and lookup.subscribed:
        return RecoveryAction.WAIT
    if budget.try_acquire(now_ms):
        return RecoveryAction.RESUBMIT
    return RecoveryAction.UNKNOWN
