"""Leader election of an availability zone, and the leader's claims on workers."""

from ._changes import (
    Elected,
    LeadershipChange,
    SteppedDown,
    WorkerClaimed,
    WorkerClaimLost,
)
from ._claims import ClaimPhase, claim_name, parse_claim_name
from ._leadership import Leadership, LeadershipUpdate
from ._row import LeaderIdentity, LeaderRow, leader_row_key

__all__ = [
    "ClaimPhase",
    "Elected",
    "LeaderIdentity",
    "LeaderRow",
    "Leadership",
    "LeadershipChange",
    "LeadershipUpdate",
    "SteppedDown",
    "WorkerClaimLost",
    "WorkerClaimed",
    "claim_name",
    "leader_row_key",
    "parse_claim_name",
]
