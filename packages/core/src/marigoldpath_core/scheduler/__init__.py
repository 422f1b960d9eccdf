"""The scheduler of one availability zone, run by its leader."""

from ._codes import OutcomeCode
from ._scheduler import ZoneScheduler

__all__ = ["OutcomeCode", "ZoneScheduler"]
