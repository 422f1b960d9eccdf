"""Who leads an availability zone, and which workers the leader may place on."""

from ._changes import Change, Elected, SteppedDown, WorkerHeld, WorkerLost
from ._claims import ClaimPhase, claim_name, parse_claim_name
from ._leadership import Leadership, Step
from ._row import LeaderIdentity, LeaderRow, leader_row_key

__all__ = [
    "Change",
    "ClaimPhase",
    "Elected",
    "LeaderIdentity",
    "LeaderRow",
    "Leadership",
    "Step",
    "SteppedDown",
    "WorkerHeld",
    "WorkerLost",
    "claim_name",
    "leader_row_key",
    "parse_claim_name",
]
