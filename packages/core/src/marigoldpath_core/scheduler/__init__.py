"""The scheduler of one availability zone: what its leader decides."""

from ._codes import Code
from ._scheduler import ZoneScheduler

__all__ = ["Code", "ZoneScheduler"]
