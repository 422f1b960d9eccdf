"""Health rules: when a worker is taken out of service."""

from collections.abc import Callable

from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import SchedulerSettings

from ._model import Verdict, WorkerRecord

# The most tasks that may be lost on a worker which fails everything it starts.
UNPROVEN_STARTS = 5

HealthRule = Callable[[WorkerRecord, SchedulerSettings], Verdict]
health_rules: Registry[str, HealthRule] = Registry("health rule")
health_rule = health_rules.register


@health_rule("none")
def never(record: WorkerRecord, settings: SchedulerSettings) -> Verdict:
    """Keep every worker in service; the baseline."""
    return Verdict()


@health_rule("bounded_losses")
def bounded_losses(record: WorkerRecord, settings: SchedulerSettings) -> Verdict:
    """Remove a worker after several requests failed there without a later success."""
    failed = record.failed_requests()
    if failed >= settings.worker_failures_before_removal:
        reason = f"{failed} requests failed here and none that started later succeeded"
        return Verdict(reason, UNPROVEN_STARTS)
    return Verdict(None, UNPROVEN_STARTS)
