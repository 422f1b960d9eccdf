"""Selection of tasks to preempt on a host whose usage approaches its capacity."""

from collections.abc import Iterable

from marigoldpath_core.placement import (
    THROTTLED_CPU_PERCENT,
    Preemption,
    PreemptionCandidate,
)
from marigoldpath_core.requests import Size

# Fractions of a host's capacity. Preemption starts when the usage exceeds the high
# watermark, before the host is full, because usage reports arrive with a delay. It
# lowers the usage to the low watermark, because if the usage stayed close to the high
# one, the next report would start preemption again.
HIGH_WATERMARK = 0.92
LOW_WATERMARK = 0.85


def select_pressure_preemptions(
    capacity: Size, used: Size, running: Iterable[PreemptionCandidate]
) -> list[Preemption]:
    """Return the preemptions that lower the measured usage of a host.

    The `size` of a candidate is its measured usage. CPU usage is lowered by throttling
    tasks; memory usage is lowered by checkpointing tasks or stopping repeatable ones.
    The least urgent and, among these, most recently started tasks are chosen first. A
    task that can neither be checkpointed nor repeated is throttled but never stopped.
    """
    order = sorted(
        running,
        key=lambda candidate: (
            -candidate.priority,
            -candidate.started_ms,
            candidate.task,
        ),
    )
    preemptions: list[Preemption] = []
    if used.memory_mb > capacity.memory_mb * HIGH_WATERMARK:
        excess = used.memory_mb - int(capacity.memory_mb * LOW_WATERMARK)
        for candidate in order:
            if excess <= 0:
                break
            if candidate.size.memory_mb and (
                candidate.checkpoint or candidate.repeatable
            ):
                action = "checkpoint" if candidate.checkpoint else "stop"
                preemptions.append(
                    Preemption(candidate.task, candidate.worker, action, candidate.size)
                )
                excess -= candidate.size.memory_mb
    preempted = {preemption.task for preemption in preemptions}
    freed_cpu_millis = sum(
        preemption.freed_size.cpu_millis for preemption in preemptions
    )
    remaining_cpu_millis = used.cpu_millis - freed_cpu_millis
    if remaining_cpu_millis > capacity.cpu_millis * HIGH_WATERMARK:
        remaining = [
            candidate for candidate in order if candidate.task not in preempted
        ]
        excess = remaining_cpu_millis - int(capacity.cpu_millis * LOW_WATERMARK)
        preemptions.extend(_throttle(excess, remaining))
    return preemptions


def _throttle(excess: int, order: list[PreemptionCandidate]) -> list[Preemption]:
    preemptions = []
    for candidate in order:
        if excess <= 0:
            break
        freed_cpu_millis = (
            candidate.size.cpu_millis * (100 - THROTTLED_CPU_PERCENT) // 100
        )
        if freed_cpu_millis:
            freed_size = Size(cpu_millis=freed_cpu_millis)
            preemptions.append(
                Preemption(candidate.task, candidate.worker, "throttle", freed_size)
            )
            excess -= freed_cpu_millis
    return preemptions
