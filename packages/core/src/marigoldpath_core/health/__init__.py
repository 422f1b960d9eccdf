"""Workers that fail what they start, and requests that fail wherever they run."""

from ._health import WorkerHealth
from ._model import Failure, Verdict, WorkerRecord
from ._rules import UNPROVEN_STARTS, health_rule, health_rules

__all__ = [
    "UNPROVEN_STARTS",
    "Failure",
    "Verdict",
    "WorkerHealth",
    "WorkerRecord",
    "health_rule",
    "health_rules",
]
