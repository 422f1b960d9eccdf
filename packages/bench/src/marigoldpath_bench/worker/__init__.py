"""A fake worker that starts every task it is sent and records all runs."""

from ._messages import RunFaults, StartItem, WorkerRecord, encode_record
from ._server import WorkerProcessSettings, WorkerServer, run_workers
from ._state_machine import WorkerStateMachine

__all__ = [
    "RunFaults",
    "StartItem",
    "WorkerProcessSettings",
    "WorkerRecord",
    "WorkerServer",
    "WorkerStateMachine",
    "encode_record",
    "run_workers",
]
