"""The scheduler of one availability zone: what its leader decides."""

from ._codes import OutcomeCode
from ._scheduler import ZoneScheduler

__all__ = ["OutcomeCode", "ZoneScheduler"]
