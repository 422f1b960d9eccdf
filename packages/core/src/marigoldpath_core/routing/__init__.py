"""Leader cache of an entry host, and its decisions on where to forward requests."""

from ._budget import RetryBudget
from ._decisions import (
    RecoveryAction,
    StateLookup,
    decide_recovery,
    follow_redirect,
    should_resubmit_to_next_leader,
)
from ._views import MAX_HOPS, LeaderCache, LeaderView, Route, RouteKind

__all__ = [
    "MAX_HOPS",
    "LeaderCache",
    "LeaderView",
    "RecoveryAction",
    "RetryBudget",
    "Route",
    "RouteKind",
    "StateLookup",
    "decide_recovery",
    "follow_redirect",
    "should_resubmit_to_next_leader",
]
