"""Who leads an availability zone, and which workers the leader may place on."""

from ._changes import Change, Elected, SteppedDown, WorkerHeld, WorkerLost
from ._claims import ClaimPhase, claim_name, parse_claim
from ._leadership import Leadership, Step
from ._row import LeaderRow, LeaderView, leader_row_key

__all__ = [
    "Change",
    "ClaimPhase",
    "Elected",
    "LeaderRow",
    "LeaderView",
    "Leadership",
    "Step",
    "SteppedDown",
    "WorkerHeld",
    "WorkerLost",
    "claim_name",
    "leader_row_key",
    "parse_claim",
]
