"""Choice of running tasks that make room for an urgent request."""

from collections.abc import Iterable

from marigoldpath_core.requests import Size

from ._model import Preemption, PreemptionCandidate, WorkerView

# A throttled task keeps half of its processor time, so that it still ends.
THROTTLED_CPU_PERCENT = 50


def choose_victims(
    size: Size,
    priority: int,
    workers: Iterable[WorkerView],
    running: Iterable[PreemptionCandidate],
    may_throttle: bool = True,
) -> tuple[str, list[Preemption]] | None:
    """Return a worker and the tasks to act on there, or None if there is no way.

    Only tasks less urgent than `priority` are acted on, the least urgent and youngest
    first, and of the workers the one where fewest are. Where only processors lack,
    tasks are throttled, if that is allowed. Otherwise they are checkpointed, or
    stopped when they are repeatable. A task that is neither is never stopped.
    """
    by_worker: dict[str, list[PreemptionCandidate]] = {}
    for work in running:
        if work.priority > priority:
            by_worker.setdefault(work.worker, []).append(work)
    best: tuple[tuple[bool, int, int, str], str, list[Preemption]] | None = None
    for view in workers:
        if not view.is_schedulable or view.reserved_for or not size.fits(view.capacity):
            continue
        on_worker = by_worker.get(view.name, [])
        victims = _victims_on(size, view, on_worker, may_throttle)
        if victims is None:
            continue
        throttles = all(victim.action == "throttle" for victim in victims)
        urgency = sum(
            work.priority
            for work in by_worker.get(view.name, [])
            if any(victim.task == work.task for victim in victims)
        )
        cost = not throttles, len(victims), -urgency, view.name
        if best is None or cost < best[0]:
            best = cost, view.name, victims
    return None if best is None else best[1:]


def _victims_on(
    size: Size, view: WorkerView, running: list[PreemptionCandidate], may_throttle: bool
) -> list[Preemption] | None:
    running.sort(key=lambda work: (-work.priority, -work.started_ms, work.task))
    if may_throttle and size.dimensions_exceeding(view.free) == ["cpu_millis"]:
        victims = _take(size, view.free, [_throttle(work) for work in running])
        if victims is not None:
            return victims
    return _take(
        size,
        view.free,
        [_halt(work) for work in running if work.checkpoint or work.repeatable],
    )


def _take(size: Size, free: Size, victims: list[Preemption]) -> list[Preemption] | None:
    taken: list[Preemption] = []
    for victim in victims:
        lacking = size.dimensions_exceeding(free)
        if not lacking:
            break
        if any(getattr(victim.freed_size, dimension) for dimension in lacking):
            taken.append(victim)
            free = free.plus(victim.freed_size)
    if not size.fits(free):
        return None
    return _without_superfluous(size, free, taken)


def _without_superfluous(
    size: Size, free: Size, taken: list[Preemption]
) -> list[Preemption]:
    kept = []
    for victim in reversed(taken):
        without = free.minus(victim.freed_size)
        if size.fits(without):
            free = without
        else:
            kept.append(victim)
    return kept[::-1]


def _throttle(work: PreemptionCandidate) -> Preemption:
    freed = work.size.cpu_millis * (100 - THROTTLED_CPU_PERCENT) // 100
    return Preemption(work.task, work.worker, "throttle", Size(cpu_millis=freed))


def _halt(work: PreemptionCandidate) -> Preemption:
    action = "checkpoint" if work.checkpoint else "stop"
    return Preemption(work.task, work.worker, action, work.size)
