"""Health rules, which decide when a worker should be removed from service."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import SchedulerSettings

from ._model import RuleResult, WorkerRecord

# A worker that fails every task receives at most this many tasks before its removal.
MAX_UNPROVEN_STARTS = 5

HealthRule = Callable[[WorkerRecord, SchedulerSettings], RuleResult]
health_rules: Registry[str, HealthRule] = Registry("health rule")
health_rule = health_rules.register


@health_rule("none")
def keep_all(record: WorkerRecord, settings: SchedulerSettings) -> RuleResult:
    """Keep every worker in service: a baseline for comparisons."""
    return RuleResult()


@health_rule("bounded_losses")
def remove_failing(record: WorkerRecord, settings: SchedulerSettings) -> RuleResult:
    """Propose to remove a worker if several requests failed without a later success.

    In any case, limit the unproven starts on a worker.
    """
    failed = record.failed_requests()
    if failed >= settings.worker_failures_before_removal:
        reason = f"{failed} requests failed here and none that started later succeeded"
        return RuleResult(reason, MAX_UNPROVEN_STARTS)
    return RuleResult(None, MAX_UNPROVEN_STARTS)
