"""Detection of failing workers, and of requests that fail on any worker."""

from ._health import WorkerHealth
from ._model import Failure, RuleResult, WorkerRecord
from ._rules import MAX_UNPROVEN_STARTS, health_rule, health_rules

__all__ = [
    "MAX_UNPROVEN_STARTS",
    "Failure",
    "RuleResult",
    "WorkerHealth",
    "WorkerRecord",
    "health_rule",
    "health_rules",
]
