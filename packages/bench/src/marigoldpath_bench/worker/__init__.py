"""Stand-in for workers: it starts whatever it is given and records what ran."""

from ._messages import Record, RunFaults, StartItem, encode_record
from ._server import WorkerProcessSettings, WorkerServer, run_workers
from ._state_machine import WorkerStateMachine

__all__ = [
    "Record",
    "RunFaults",
    "StartItem",
    "WorkerProcessSettings",
    "WorkerServer",
    "WorkerStateMachine",
    "encode_record",
    "run_workers",
]
