"""A cell in simulated time: leaders, workers and a store, with faults between them."""

from ._jobs import random_job
from ._oracle import Answer, Fault, Oracle
from ._search import FleetSearch
from ._store import SimulatedStore
from ._worker import SimulatedWorker
from ._world import FleetWorld, WorldSettings

__all__ = [
    "Answer",
    "Fault",
    "FleetSearch",
    "FleetWorld",
    "Oracle",
    "SimulatedStore",
    "SimulatedWorker",
    "WorldSettings",
    "random_job",
]
