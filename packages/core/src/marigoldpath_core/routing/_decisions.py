"""Decisions after a peer has answered, or has not."""

from enum import StrEnum
from typing import NamedTuple

from marigoldpath_core.requests import Outcome, OutcomeKind
from marigoldpath_core.scheduler import Code

from ._budget import RetryBudget
from ._views import MAX_HOPS, LeaderView, Route, RouteKind


class Recovery(StrEnum):
    """What to do about a submission whose fate is not known."""

    ANSWER = "answer"
    WAIT = "wait"
    RESUBMIT = "resubmit"
    UNKNOWN = "unknown"


class RecoveryFacts(NamedTuple):
    """What is known of a submission whose reply was lost or whose leader changed.

    `asked` tells whether the zone's leader answered the question for the state,
    `known` whether it knows the request, `ended` whether the state has the outcome.
    `attached` means that the leader that answered had received the submission, so
    that it sends the outcome by itself.
    """

    asked: bool
    known: bool = False
    ended: bool = False
    attached: bool = False


def goes_to_next_leader(outcome: Outcome, moving: bool) -> bool:
    """Return whether an outcome leaves the request to the zone's next leader.

    A leader that gives up leadership tells so to all who wait. `moving` means that
    this has happened to the request, so that a leader that is not ready yet is asked
    again. Such submissions are outside the retry budget: the old leader has dropped
    the request, so the load does not grow, and the caller must not be cut off.
    """
    if outcome.code == Code.LEADER_CHANGED:
        return True
    is_early = outcome.code in (Code.NOT_LEADER, Code.ZONE_RECOVERING, Code.DRAINING)
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


def decide_recovery(facts: RecoveryFacts, budget: RetryBudget, now_ms: int) -> Recovery:
    """Return how to go on with a submission whose fate is not known.

    A decision to submit again is taken from the retry budget.
    Submitting the same id again is safe, since the leader that knows the id joins
    the submissions, and a later leader knows every id that must not run twice.
    """
    if not facts.asked:
        return Recovery.UNKNOWN
    if facts.ended:
        return Recovery.ANSWER
    if facts.known and facts.attached:
        return Recovery.WAIT
    if budget.take(now_ms):
        return Recovery.RESUBMIT
    return Recovery.UNKNOWN
