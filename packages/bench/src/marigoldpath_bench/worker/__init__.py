"""Stand-in for workers: it starts whatever it is given and records what ran."""

from ._machine import WorkerMachine
from ._messages import Behaviour, Record, StartItem, encode_record
from ._server import WorkerProcessSettings, WorkerServer, run_workers

__all__ = [
    "Behaviour",
    "Record",
    "StartItem",
    "WorkerMachine",
    "WorkerProcessSettings",
    "WorkerServer",
    "encode_record",
    "run_workers",
]
