"""Worker capacity, and the choice of workers for tasks."""

from ._model import (
    Preemption,
    PreemptionCandidate,
    TaskAllocation,
    UnknownWorkerError,
    WorkerView,
)
from ._policies import placement_policies, placement_policy
from ._preemption import THROTTLED_CPU_PERCENT, choose_preemptions
from ._workers import Workers

__all__ = [
    "THROTTLED_CPU_PERCENT",
    "Preemption",
    "PreemptionCandidate",
    "TaskAllocation",
    "UnknownWorkerError",
    "WorkerView",
    "Workers",
    "choose_preemptions",
    "placement_policies",
    "placement_policy",
]
