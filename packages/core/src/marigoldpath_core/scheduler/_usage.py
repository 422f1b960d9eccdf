"""Learns from usage reports and relieves hosts before they are overloaded."""

from marigoldpath_core.estimates import select_pressure_preemptions
from marigoldpath_core.ledger import RequestState, TaskPhase, TaskState
from marigoldpath_core.messages import ThrottleTasks, UsageReported
from marigoldpath_core.placement import (
    THROTTLED_CPU_PERCENT,
    Preemption,
    PreemptionCandidate,
)
from marigoldpath_core.requests import Size

from ._preemption import running_work, stop_for
from ._zone import Zone, handlers

RELIEF = "its host was running full"


@handlers.register(UsageReported)
def on_usage(zone: Zone, event: UsageReported, now_ms: int) -> None:
    """Correct estimates by what tasks use, and relieve their host if it fills up.

    A host that is full of tasks that keep to their sizes needs no relief.
    """
    if event.worker not in zone.workers:
        return
    total = Size()
    has_outgrown = False
    running: list[PreemptionCandidate] = []
    for usage in event.usages:
        found = zone.ledger.find_task(usage.task)
        if found is None or found[1].phase is not TaskPhase.RUNNING:
            continue
        state, task = found
        if not state.is_adopted:
            kind = state.request.kind
            zone.estimates.observe_usage(kind, state.request.size, usage.size)
        total = total.plus(usage.size)
        running.append(running_work(zone, state, task)._replace(size=usage.size))
        has_outgrown |= _count_growth(zone, state, task, usage.size)
    if not has_outgrown:
        return
    capacity = zone.workers.view(event.worker).capacity
    for victim in select_pressure_preemptions(capacity, total, running):
        _relieve(zone, victim, now_ms)


def _count_growth(zone: Zone, state: RequestState, task: TaskState, used: Size) -> bool:
    """Count a task that uses more than it was counted with by what it uses.

    Return whether it uses more than it declared.
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
    declared = task.size if state.is_adopted else state.request.size
    return used.cpu_millis > declared.cpu_millis or used.memory_mb > declared.memory_mb


def _relieve(zone: Zone, victim: Preemption, now_ms: int) -> None:
    if victim.action == "throttle":
        zone.log("throttled", task=victim.task, worker=victim.worker, reason=RELIEF)
        zone.effects.append(
            ThrottleTasks(victim.worker, (victim.task,), THROTTLED_CPU_PERCENT)
        )
        return
    found = zone.ledger.find_task(victim.task)
    if found is not None and found[0].request.repeatable:
        stop_for(zone, victim.task, RELIEF, now_ms)
