"""Worker capacity and the choice of workers for tasks."""

from ._model import HeldTask, RunningWork, UnknownWorkerError, Victim, WorkerView
from ._policies import placement_policies, placement_policy
from ._preemption import THROTTLE_PERCENT, choose_victims
from ._workers import Workers

__all__ = [
    "THROTTLE_PERCENT",
    "HeldTask",
    "RunningWork",
    "UnknownWorkerError",
    "Victim",
    "WorkerView",
    "Workers",
    "choose_victims",
    "placement_policies",
    "placement_policy",
]
