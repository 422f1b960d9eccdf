"""Start, signal and stop the processes of a run."""

from ._fleet import Fleet, FleetError, ZoneLeader, free_base_port
from ._process import ManagedProcess

__all__ = ["Fleet", "FleetError", "ManagedProcess", "ZoneLeader", "free_base_port"]
