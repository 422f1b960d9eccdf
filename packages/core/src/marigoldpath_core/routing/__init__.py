"""An entry host's view of the zones' leaders and its forwarding decisions."""

from ._budget import RetryBudget
from ._decisions import (
    Recovery,
    RecoveryFacts,
    decide_recovery,
    follow_redirect,
    goes_to_next_leader,
)
from ._views import MAX_HOPS, LeaderView, Route, RouteKind, ZoneViews

__all__ = [
    "MAX_HOPS",
    "LeaderView",
    "Recovery",
    "RecoveryFacts",
    "RetryBudget",
    "Route",
    "RouteKind",
    "ZoneViews",
    "decide_recovery",
    "follow_redirect",
    "goes_to_next_leader",
]
