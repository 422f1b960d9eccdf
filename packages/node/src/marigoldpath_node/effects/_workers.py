"""Handlers of effects on workers."""

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
from ._registry import handles


def _target_worker(effect: ListTasks) -> str:
    return effect.worker


@handles(StartTasks, limit=8, target=_target_worker)
async def start_tasks(context: EffectContext, effect: StartTasks) -> None:
    """Start tasks and feed back which starts the worker accepted."""
    tasks = tuple(start.task for start in effect.starts)
    try:
        address = context.address_of(effect.worker)
    except KeyError:
        await context.feed(StartsFailed(effect.worker, tasks, sent=False))
        return
    traced, spans = _add_spans(context, effect)
    context.telemetry.metrics.count("worker.starts", len(tasks))
    try:
        replied = await context.workers.start(address, traced)
    except WorkerError as error:
        sent = not isinstance(error, WorkerUnreachableError)
        context.telemetry.metrics.count("worker.starts_failed", len(tasks))
        context.telemetry.log.warning(
            "starts_failed",
            worker=effect.worker,
            tasks=len(tasks),
            sent=sent,
            reason=str(error),
        )
        _end_spans(context, effect.worker, spans, str(error))
        await context.feed(StartsFailed(effect.worker, tasks, sent))
        return
    _end_spans(context, effect.worker, spans, "")
    await context.feed(replied)


@handles(RenewLeases, limit=4, target=_target_worker)
async def renew_leases(context: EffectContext, effect: RenewLeases) -> None:
    """Renew leases and feed back the worker's task list."""

    async def renew(address: str) -> WorkerReport:
        return await context.workers.renew(address, effect)

    await _fetch_report(context, effect.worker, renew)


@handles(ListTasks, limit=4, target=_target_worker)
async def list_tasks(context: EffectContext, effect: ListTasks) -> None:
    """Read a worker's task list and feed it back."""
    await _fetch_report(context, effect.worker, context.workers.tasks)


@handles(StopTasks, limit=4, target=_target_worker)
async def stop_tasks(context: EffectContext, effect: StopTasks) -> None:
    """Stop tasks; feed back only failures."""
    try:
        await context.workers.stop(context.address_of(effect.worker), effect)
    except (WorkerError, KeyError) as error:
        await context.feed(WorkerFailed(effect.worker, f"stop: {error}"))


@handles(ThrottleTasks, limit=2, target=_target_worker)
async def throttle_tasks(context: EffectContext, effect: ThrottleTasks) -> None:
    """Limit the CPU time of tasks."""
    try:
        await context.workers.throttle(context.address_of(effect.worker), effect)
    except (WorkerError, KeyError) as error:
        context.telemetry.log.info(
            "tasks_not_throttled", worker=effect.worker, reason=str(error)
        )


async def _fetch_report(
    context: EffectContext,
    worker: str,
    fetch: Callable[[str], Awaitable[WorkerReport]],
) -> None:
    try:
        report = await fetch(context.address_of(worker))
    except (WorkerError, KeyError) as error:
        context.telemetry.metrics.count("worker.failed")
        await context.feed(WorkerFailed(worker, str(error)))
        return
    await context.feed(TasksListed(worker, report))


def _add_spans(
    context: EffectContext, effect: StartTasks
) -> tuple[StartTasks, list[tuple[str, Span]]]:
    """Return the effect with a new span for each traced start, and the spans."""
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


def _end_spans(
    context: EffectContext, worker: str, spans: list[tuple[str, Span]], error: str
) -> None:
    for task, span in spans:
        context.telemetry.spans.end(span, {"worker": worker, "task": task}, error)
