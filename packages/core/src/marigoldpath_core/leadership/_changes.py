"""Changes of leadership that the scheduler acts on."""

from typing import NamedTuple

from marigoldpath_core.messages import WorkerReport


class Elected(NamedTuple):
    """This host wrote the leader row with a new epoch."""

    epoch: int


class SteppedDown(NamedTuple):
    """This host no longer leads."""

    epoch: int
    reason: str


class WorkerHeld(NamedTuple):
    """The claim on a worker has settled; `report` is what the worker runs."""

    worker: str
    report: WorkerReport


class WorkerLost(NamedTuple):
    """The claim on a worker is gone or can no longer be relied on."""

    worker: str
    reason: str


Change = Elected | SteppedDown | WorkerHeld | WorkerLost
