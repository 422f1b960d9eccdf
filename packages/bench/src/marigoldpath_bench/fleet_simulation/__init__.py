"""Simulate a cell: leaders, workers and a store on one clock, with faults."""

from ._jobs import random_job, schedule_job
from ._oracle import Oracle, SubmissionReply, Violation
from ._search import FleetSearch
from ._simulation import FleetSimulation, FleetSimulationSettings
from ._store import SimulatedStore
from ._worker import SimulatedWorker

__all__ = [
    "FleetSearch",
    "FleetSimulation",
    "FleetSimulationSettings",
    "Oracle",
    "SimulatedStore",
    "SimulatedWorker",
    "SubmissionReply",
    "Violation",
    "random_job",
    "schedule_job",
]
