"""Estimates from usage reports, and preemption on workers under pressure."""

from marigoldpath_core.estimates import select_pressure_preemptions
from marigoldpath_core.messages import ThrottleTasks, UsageReported
from marigoldpath_core.placement import (
    THROTTLED_CPU_PERCENT,
    Preemption,
    PreemptionCandidate,
)
from marigoldpath_core.request_state import RequestState, TaskPhase, TaskState
from marigoldpath_core.requests import Size

from ._preemption import preempt_task, preemption_candidate
from ._zone import Zone, event_handlers

PRESSURE_REASON = "its host was running full"


@event_handlers.register(UsageReported)
def on_usage(zone: Zone, event: UsageReported, now_ms: int) -> None:
    """Update the estimates, and preempt tasks if their worker runs out of resources.

    No task is preempted on a full worker whose tasks all stay within their sizes.
    """
    if event.worker not in zone.workers:
        return
    total = Size()
    any_exceeds_declared = False
    running: list[PreemptionCandidate] = []
    for usage in event.usages:
        found = zone.request_index.find_task(usage.task)
        if found is None or found[1].phase is not TaskPhase.RUNNING:
            continue
        state, task = found
        if not state.is_placeholder:
            kind = state.request.kind
            zone.estimates.observe_usage(kind, state.request.size, usage.size)
        total = total.plus(usage.size)
        running.append(
            preemption_candidate(zone, state, task)._replace(size=usage.size)
        )
        any_exceeds_declared |= _update_allocated_size(zone, state, task, usage.size)
    if not any_exceeds_declared:
        return
    capacity = zone.workers.view(event.worker).capacity
    for preemption in select_pressure_preemptions(capacity, total, running):
        _apply_preemption(zone, preemption, now_ms)


def _update_allocated_size(
    zone: Zone, state: RequestState, task: TaskState, used: Size
) -> bool:
    """Raise the size allocated to a task to its usage.

    Return whether the task uses more than its request declared.
    """
    size = task.size._replace(
        cpu_millis=max(task.size.cpu_millis, used.cpu_millis),
        memory_mb=max(task.size.memory_mb, used.memory_mb),
    )
    if size != task.size:
        task.size = size
        request = state.request
        zone.workers.allocate(
            task.worker, task.task, size, request.kind, request.key.team
        )
    declared = task.size if state.is_placeholder else state.request.size
    return used.cpu_millis > declared.cpu_millis or used.memory_mb > declared.memory_mb


def _apply_preemption(zone: Zone, preemption: Preemption, now_ms: int) -> None:
    if preemption.action == "throttle":
        zone.log(
            "throttled",
            task=preemption.task,
            worker=preemption.worker,
            reason=PRESSURE_REASON,
        )
        zone.effects.append(
            ThrottleTasks(preemption.worker, (preemption.task,), THROTTLED_CPU_PERCENT)
        )
        return
    found = zone.request_index.find_task(preemption.task)
    if found is not None and found[0].request.repeatable:
        preempt_task(zone, preemption.task, PRESSURE_REASON, now_ms)
