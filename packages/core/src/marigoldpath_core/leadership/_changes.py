"""Changes of leadership and claims that the scheduler handles."""

from typing import NamedTuple

from marigoldpath_core.messages import WorkerReport


class Elected(NamedTuple):
    """This host wrote the leader row with a new epoch."""

    epoch: int


class SteppedDown(NamedTuple):
    """This host no longer leads."""

    epoch: int
    reason: str


class WorkerClaimed(NamedTuple):
    """The claim on a worker is held now; `report` lists the tasks that run there."""

    worker: str
    report: WorkerReport


class WorkerClaimLost(NamedTuple):
    """The claim on a worker is gone or was not renewed in time."""

    worker: str
    reason: str


LeadershipChange = Elected | SteppedDown | WorkerClaimed | WorkerClaimLost
