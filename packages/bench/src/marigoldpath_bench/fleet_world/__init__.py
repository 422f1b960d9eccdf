"""A cell in simulated time: leaders, workers and a store, with faults between them."""

from ._oracle import Oracle
from ._search import FleetSearch
from ._store import StandInStore
from ._worker import StandInWorker
from ._world import FleetWorld, WorldSettings

__all__ = [
    "FleetSearch",
    "FleetWorld",
    "Oracle",
    "StandInStore",
    "StandInWorker",
    "WorldSettings",
]
