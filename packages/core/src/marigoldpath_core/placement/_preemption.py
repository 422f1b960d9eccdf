"""Chooses running tasks to preempt for an urgent request."""

from collections.abc import Iterable

from marigoldpath_core.requests import Size

from ._model import Preemption, PreemptionCandidate, WorkerView

# A throttled task keeps half of its CPU time, so that it still makes progress.
THROTTLED_CPU_PERCENT = 50


def choose_preemptions(
    size: Size,
    priority: int,
    workers: Iterable[WorkerView],
    running: Iterable[PreemptionCandidate],
    may_throttle: bool = True,
) -> tuple[str, list[Preemption]] | None:
    """Return a worker and the tasks to preempt on it, or None if none is possible.

    Only tasks less urgent than `priority` are preempted, the least urgent and most
    recently started first. A worker on which throttling suffices is preferred, then
    the one with the fewest tasks to preempt. If a worker lacks only CPU and
    `may_throttle` is set, its tasks are throttled if that frees enough. Otherwise tasks
    are checkpointed, or stopped if they are repeatable. A task that can neither be
    checkpointed nor repeated is never stopped.
    """
    by_worker: dict[str, list[PreemptionCandidate]] = {}
    for candidate in running:
        if candidate.priority > priority:
            by_worker.setdefault(candidate.worker, []).append(candidate)
    best: tuple[tuple[bool, int, int, str], str, list[Preemption]] | None = None
    for view in workers:
        if not view.is_schedulable or view.reserved_for or not size.fits(view.capacity):
            continue
        candidates = by_worker.get(view.name, [])
        preemptions = _preemptions_on(size, view, candidates, may_throttle)
        if preemptions is None:
            continue
        throttles = all(preemption.action == "throttle" for preemption in preemptions)
        priority_sum = sum(
            candidate.priority
            for candidate in by_worker.get(view.name, [])
            if any(preemption.task == candidate.task for preemption in preemptions)
        )
        cost = not throttles, len(preemptions), -priority_sum, view.name
        if best is None or cost < best[0]:
            best = cost, view.name, preemptions
    return None if best is None else best[1:]


def _preemptions_on(
    size: Size, view: WorkerView, running: list[PreemptionCandidate], may_throttle: bool
) -> list[Preemption] | None:
    running.sort(
        key=lambda candidate: (
            -candidate.priority,
            -candidate.started_ms,
            candidate.task,
        )
    )
    if may_throttle and size.dimensions_exceeding(view.free) == ["cpu_millis"]:
        preemptions = _select(
            size, view.free, [_throttle(candidate) for candidate in running]
        )
        if preemptions is not None:
            return preemptions
    return _select(
        size,
        view.free,
        [
            _checkpoint_or_stop(candidate)
            for candidate in running
            if candidate.checkpoint or candidate.repeatable
        ],
    )


def _select(
    size: Size, free: Size, preemptions: list[Preemption]
) -> list[Preemption] | None:
    selected: list[Preemption] = []
    for preemption in preemptions:
        exceeded = size.dimensions_exceeding(free)
        if not exceeded:
            break
        if any(getattr(preemption.freed_size, dimension) for dimension in exceeded):
            selected.append(preemption)
            free = free.plus(preemption.freed_size)
    if not size.fits(free):
        return None
    return _drop_unneeded(size, free, selected)


def _drop_unneeded(
    size: Size, free: Size, selected: list[Preemption]
) -> list[Preemption]:
    kept = []
    for preemption in reversed(selected):
        without = free.minus(preemption.freed_size)
        if size.fits(without):
            free = without
        else:
            kept.append(preemption)
    return kept[::-1]


def _throttle(candidate: PreemptionCandidate) -> Preemption:
    freed = candidate.size.cpu_millis * (100 - THROTTLED_CPU_PERCENT) // 100
    return Preemption(
        candidate.task, candidate.worker, "throttle", Size(cpu_millis=freed)
    )


def _checkpoint_or_stop(candidate: PreemptionCandidate) -> Preemption:
    action = "checkpoint" if candidate.checkpoint else "stop"
    return Preemption(candidate.task, candidate.worker, action, candidate.size)
