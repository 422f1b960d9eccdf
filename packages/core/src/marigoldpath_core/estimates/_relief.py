"""Relief of a host whose observed use approaches its capacity."""

from collections.abc import Iterable

from marigoldpath_core.placement import (
    THROTTLED_CPU_PERCENT,
    Preemption,
    PreemptionCandidate,
)
from marigoldpath_core.requests import Size

# Usage reports lag, so relief begins before the host is full and ends well below, or
# the next report would start it again.
RELIEF_STARTS = 0.92
RELIEF_ENDS = 0.85


def select_pressure_preemptions(
    capacity: Size, used: Size, running: Iterable[PreemptionCandidate]
) -> list[Preemption]:
    """Return the tasks to act on so that a host's observed use falls.

    `size` of the running work is what each task was seen to use. Processors are
    relieved by throttling. Memory is relieved by checkpoints, and by stops of
    repeatable tasks. The least urgent and youngest come first. A task that can neither
    be checkpointed nor repeated is not stopped.
    """
    order = sorted(
        running, key=lambda work: (-work.priority, -work.started_ms, work.task)
    )
    victims: list[Preemption] = []
    if used.memory_mb > capacity.memory_mb * RELIEF_STARTS:
        over = used.memory_mb - int(capacity.memory_mb * RELIEF_ENDS)
        for work in order:
            if over <= 0:
                break
            if work.size.memory_mb and (work.checkpoint or work.repeatable):
                action = "checkpoint" if work.checkpoint else "stop"
                victims.append(Preemption(work.task, work.worker, action, work.size))
                over -= work.size.memory_mb
    halted = {victim.task for victim in victims}
    freed = sum(victim.freed_size.cpu_millis for victim in victims)
    busy = used.cpu_millis - freed
    if busy > capacity.cpu_millis * RELIEF_STARTS:
        left = [work for work in order if work.task not in halted]
        over = busy - int(capacity.cpu_millis * RELIEF_ENDS)
        victims.extend(_throttled(over, left))
    return victims


def _throttled(over: int, order: list[PreemptionCandidate]) -> list[Preemption]:
    victims = []
    for work in order:
        if over <= 0:
            break
        freed = work.size.cpu_millis * (100 - THROTTLED_CPU_PERCENT) // 100
        if freed:
            freed_size = Size(cpu_millis=freed)
            victims.append(Preemption(work.task, work.worker, "throttle", freed_size))
            over -= freed
    return victims
