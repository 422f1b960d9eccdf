"""Health rules, which decide when a worker is removed from service."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import SchedulerSettings

from ._model import RuleResult, WorkerRecord

# The maximum number of tasks that fail on a worker which fails every task.
MAX_UNPROVEN_STARTS = 5

HealthRule = Callable[[WorkerRecord, SchedulerSettings], RuleResult]
health_rules: Registry[str, HealthRule] = Registry("health rule")
health_rule = health_rules.register


@health_rule("none")
def never(record: WorkerRecord, settings: SchedulerSettings) -> RuleResult:
    """Keep every worker in service: the baseline."""
    return RuleResult()


@health_rule("bounded_losses")
def bounded_losses(record: WorkerRecord, settings: SchedulerSettings) -> RuleResult:
    """Remove a worker on which several requests failed without a later success."""
    failed = record.failed_requests()
    if failed >= settings.worker_failures_before_removal:
        reason = f"{failed} requests failed here and none that started later succeeded"
        return RuleResult(reason, MAX_UNPROVEN_STARTS)
    return RuleResult(None, MAX_UNPROVEN_STARTS)
