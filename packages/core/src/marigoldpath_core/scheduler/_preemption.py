"""Preemption of less urgent tasks for an urgent request."""

from marigoldpath_core.messages import StopTasks
from marigoldpath_core.placement import PreemptionCandidate, choose_preemptions
from marigoldpath_core.request_state import RequestState, TaskPhase, TaskState
from marigoldpath_core.requests import Request

from ._zone import Zone

# Minimum time between two preemptions for the same request. A stop usually takes effect
# and is reported within this time.
PREEMPTION_INTERVAL_MS = 2_000


def preemption_candidate(
    zone: Zone, state: RequestState, task: TaskState
) -> PreemptionCandidate:
    """Return the properties of a running task that decide whether it is preempted."""
    kind = zone.kinds.get(state.request.kind)
    return PreemptionCandidate(
        task.task,
        task.worker,
        task.size,
        kind.priority if kind else 1,
        task.started_at_ms,
        state.request.repeatable,
        kind.checkpoint if kind else False,
    )


def preempt_for(zone: Zone, request: Request, now_ms: int) -> None:
    """Stop the least urgent tasks on one worker for an urgent request.

    Only repeatable tasks are stopped, because a stopped task is started again. Tasks
    are not throttled, because a throttled task keeps its allocated size, so the urgent
    task would overcommit the worker.
    """
    last_ms = zone.preempted_at_ms.get(request.key, -PREEMPTION_INTERVAL_MS)
    if request.tasks > 1 or now_ms - last_ms < PREEMPTION_INTERVAL_MS:
        return
    zone.preempted_at_ms[request.key] = now_ms
    running = []
    for worker in zone.request_index.workers_with_tasks():
        for state, task in zone.request_index.tasks_on(worker):
            is_preemptible = state.request.repeatable and state.request.tasks == 1
            if (
                is_preemptible
                and not state.is_placeholder
                and task.phase is TaskPhase.RUNNING
            ):
                running.append(preemption_candidate(zone, state, task))
    kind = zone.kinds[request.kind]
    chosen = choose_preemptions(
        request.size, kind.priority, zone.workers, running, may_throttle=False
    )
    if chosen is None:
        return
    for preemption in chosen[1]:
        preempt_task(zone, preemption.task, f"made room for {request.key}", now_ms)


def preempt_task(zone: Zone, task_name: str, reason: str, now_ms: int) -> None:
    """Stop a task, with a checkpoint if its kind saves them.

    Its request is queued again after the task has terminated.
    """
    found = zone.request_index.find_task(task_name)
    if found is None:
        return
    state, task = found
    kind = zone.kinds.get(state.request.kind)
    state.requeue_reason = reason
    state.history.add(now_ms, "stopping", reason)
    zone.count("preempted")
    zone.log("preempted", task=task_name, worker=task.worker, reason=reason)
    checkpoint = kind is not None and kind.checkpoint
    zone.effects.append(StopTasks(task.worker, (task_name,), checkpoint))


def remove_old_preemptions(zone: Zone, now_ms: int) -> None:
    """Drop the preemption times that no longer delay another preemption."""
    zone.preempted_at_ms = {
        key: at_ms
        for key, at_ms in zone.preempted_at_ms.items()
        if now_ms - at_ms < PREEMPTION_INTERVAL_MS
    }
