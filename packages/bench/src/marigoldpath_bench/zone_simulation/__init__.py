"""Simulate a zone: schedulers, workers and the platform's table on one clock.

The simulation delivers messages to the scheduler core in an exact or a seeded order,
without sockets.
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
