"""Zone schedulers, workers and a table that exchange messages on one passed-in clock.

It drives the core through exact or seeded orders of messages, without sockets.
"""

from ._callers import Call, Callers
from ._faults import MessageFaults
from ._served_zone import ServedZone
from ._simulation import KINDS, ZoneSimulation, ZoneSimulationSettings

__all__ = [
    "KINDS",
    "Call",
    "Callers",
    "MessageFaults",
    "ServedZone",
    "ZoneSimulation",
    "ZoneSimulationSettings",
]
