"""Decisions after a peer has answered, or has not."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Outcome, OutcomeKind
from marigoldpath_core.scheduler import OutcomeCode

from ._budget import RetryBudget
from ._views import MAX_HOPS, LeaderView, Route, RouteKind


class RecoveryAction(StrEnum):
    """What to do about a submission whose fate is not known."""

    ANSWER = "answer"
    WAIT = "wait"
    RESUBMIT = "resubmit"
    UNKNOWN = "unknown"


class StateLookup(NamedTuple):
    """What is known of a submission whose reply was lost or whose leader changed.

    `answered` tells whether the zone's leader answered the question for the state,
    `found` whether it knows the request, `finished` whether the state has the outcome.
    `subscribed` means that the leader that answered had received the submission, so
    that it sends the outcome by itself.
    """

    answered: bool
    found: bool = False
    finished: bool = False
    subscribed: bool = False


def should_resubmit_to_next_leader(outcome: Outcome, moving: bool) -> bool:
    """Return whether an outcome leaves the request to the zone's next leader.

    A leader that gives up leadership tells so to all who wait. `moving` means that
    this has happened to the request, so that a leader that is not ready yet is asked
    again. Such submissions are outside the retry budget: the old leader has dropped
    the request, so the load does not grow, and the caller must not be cut off.
    """
    if outcome.code == OutcomeCode.LEADER_CHANGED:
        return True
    is_early = outcome.code in (
        OutcomeCode.NOT_LEADER,
        OutcomeCode.ZONE_RECOVERING,
        OutcomeCode.DRAINING,
    )
    return moving and is_early and outcome.kind is not OutcomeKind.DONE


def follow_redirect(redirect: LeaderView | None, address: str, hops: int) -> Route:
    """Return the route after the peer at `address` said that it does not lead.

    `hops` counts the hops already made. The peer has run nothing.
    """
    if redirect is None or not redirect.host or redirect.address == address:
        return Route(RouteKind.NO_LEADER)
    if hops + 1 > MAX_HOPS:
        return Route(RouteKind.NO_LEADER)
    return Route(RouteKind.FORWARD, redirect)


def decide_recovery(
    facts: StateLookup, budget: RetryBudget, now_ms: int
) -> RecoveryAction:
    """Return how to go on with a submission whose fate is not known.

    A decision to submit again is taken from the retry budget.
    Submitting the same id again is safe, since the leader that knows the id joins
    the submissions, and a later leader knows every id that must not run twice.
    """
    if not facts.answered:
        return RecoveryAction.UNKNOWN
    if facts.finished:
        return RecoveryAction.ANSWER
    if facts.found and facts.subscribed:
        return RecoveryAction.WAIT
    if budget.try_acquire(now_ms):
        return RecoveryAction.RESUBMIT
    return RecoveryAction.UNKNOWN
