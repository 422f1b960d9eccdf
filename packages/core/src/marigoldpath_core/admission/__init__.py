"""Admission queue: which requests wait and in which order they start."""

from ._drain import DrainRate
from ._model import QueuedRequest, Refusal
from ._policies import queue_policies, queue_policy
from ._queue import AdmissionQueue

__all__ = [
    "AdmissionQueue",
    "DrainRate",
    "QueuedRequest",
    "Refusal",
    "queue_policies",
    "queue_policy",
]
