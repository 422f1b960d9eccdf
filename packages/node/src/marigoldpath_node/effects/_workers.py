"""Effects on workers."""

from collections.abc import Awaitable, Callable

from marigoldpath_core.messages import (
    ListTasks,
    RenewLeases,
    StartsFailed,
    StartTasks,
    StopTasks,
    TasksListed,
    ThrottleTasks,
    WorkerFailed,
    WorkerReport,
)

from ..observability import Span
from ..workers import WorkerError, WorkerUnreachableError
from ._context import EffectContext
from ._registry import performs


def _worker(effect: ListTasks) -> str:
    return effect.worker


@performs(StartTasks, limit=8, target=_worker)
async def start_tasks(context: EffectContext, effect: StartTasks) -> None:
    """Start tasks."""
    tasks = tuple(start.task for start in effect.starts)
    try:
        address = context.address_of(effect.worker)
    except KeyError:
        await context.feed(StartsFailed(effect.worker, tasks, sent=False))
        return
    traced, spans = _trace(context, effect)
    context.telemetry.metrics.count("worker.starts", len(tasks))
    try:
        replied = await context.workers.start(address, traced)
    except WorkerError as fault:
        sent = not isinstance(fault, WorkerUnreachableError)
        context.telemetry.metrics.count("worker.starts_failed", len(tasks))
        context.telemetry.log.warning(
            "starts_failed",
            worker=effect.worker,
            tasks=len(tasks),
            sent=sent,
            reason=str(fault),
        )
        _end(context, effect.worker, spans, str(fault))
        await context.feed(StartsFailed(effect.worker, tasks, sent))
        return
    _end(context, effect.worker, spans, "")
    await context.feed(replied)


@performs(RenewLeases, limit=4, target=_worker)
async def renew_leases(context: EffectContext, effect: RenewLeases) -> None:
    """Renew leases and list the tasks."""

    async def renew(address: str) -> WorkerReport:
        return await context.workers.renew(address, effect)

    await _report(context, effect.worker, renew)


@performs(ListTasks, limit=4, target=_worker)
async def list_tasks(context: EffectContext, effect: ListTasks) -> None:
    """List the tasks."""
    await _report(context, effect.worker, context.workers.tasks)


@performs(StopTasks, limit=4, target=_worker)
async def stop_tasks(context: EffectContext, effect: StopTasks) -> None:
    """Stop tasks."""
    try:
        await context.workers.stop(context.address_of(effect.worker), effect)
    except (WorkerError, KeyError) as fault:
        await context.feed(WorkerFailed(effect.worker, f"stop: {fault}"))


@performs(ThrottleTasks, limit=2, target=_worker)
async def throttle_tasks(context: EffectContext, effect: ThrottleTasks) -> None:
    """Limit the processor time of tasks."""
    try:
        await context.workers.throttle(context.address_of(effect.worker), effect)
    except (WorkerError, KeyError) as fault:
        context.telemetry.log.info(
            "tasks_not_throttled", worker=effect.worker, reason=str(fault)
        )


async def _report(
    context: EffectContext,
    worker: str,
    ask: Callable[[str], Awaitable[WorkerReport]],
) -> None:
    try:
        report = await ask(context.address_of(worker))
    except (WorkerError, KeyError) as fault:
        context.telemetry.metrics.count("worker.failed")
        await context.feed(WorkerFailed(worker, str(fault)))
        return
    await context.feed(TasksListed(worker, report))


def _trace(
    context: EffectContext, effect: StartTasks
) -> tuple[StartTasks, list[tuple[str, Span]]]:
    """Return the effect with a span of its own in each traced start."""
    starts = []
    spans = []
    for start in effect.starts:
        if not start.traceparent:
            starts.append(start)
            continue
        span = context.telemetry.spans.start("start", start.traceparent)
        spans.append((start.task, span))
        starts.append(start._replace(traceparent=span.traceparent))
    return effect._replace(starts=tuple(starts)), spans


def _end(
    context: EffectContext, worker: str, spans: list[tuple[str, Span]], error: str
) -> None:
    for task, span in spans:
        context.telemetry.spans.end(span, {"worker": worker, "task": task}, error)
