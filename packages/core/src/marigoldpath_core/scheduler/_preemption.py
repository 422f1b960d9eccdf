"""Makes room for an urgent request by stopping less urgent work."""

from marigoldpath_core.ledger import RequestState, TaskPhase, TaskState
from marigoldpath_core.messages import StopTasks
from marigoldpath_core.placement import PreemptionCandidate, choose_preemptions
from marigoldpath_core.requests import Request

from ._zone import Zone

# A stop takes effect and shows within this time; the same request asks no earlier.
PREEMPTION_INTERVAL_MS = 2_000


def running_work(
    zone: Zone, state: RequestState, task: TaskState
) -> PreemptionCandidate:
    """Return a running task with what decides whether it may make room."""
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
    """Stop the least urgent work on one worker for an urgent request.

    Only repeatable tasks are stopped, since a stopped task is started again. Tasks
    are not throttled for room: a throttled task keeps its declared size, so that the
    worker would be given more than it holds.
    """
    last_ms = zone.preempted_at_ms.get(request.key, -PREEMPTION_INTERVAL_MS)
    if request.tasks > 1 or now_ms - last_ms < PREEMPTION_INTERVAL_MS:
        return
    zone.preempted_at_ms[request.key] = now_ms
    running = []
    for worker in zone.ledger.workers_with_tasks():
        for state, task in zone.ledger.tasks_on(worker):
            is_plain = state.request.repeatable and state.request.tasks == 1
            if is_plain and not state.is_adopted and task.phase is TaskPhase.RUNNING:
                running.append(running_work(zone, state, task))
    kind = zone.kinds[request.kind]
    chosen = choose_preemptions(
        request.size, kind.priority, zone.workers, running, may_throttle=False
    )
    if chosen is None:
        return
    for victim in chosen[1]:
        stop_for(zone, victim.task, f"made room for {request.key}", now_ms)


def stop_for(zone: Zone, task_name: str, reason: str, now_ms: int) -> None:
    """Checkpoint or stop a task; its request is queued again when it has ended."""
    found = zone.ledger.find_task(task_name)
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


def forget_preemptions(zone: Zone, now_ms: int) -> None:
    """Drop the notes on requests that no longer wait."""
    zone.preempted_at_ms = {
        key: at_ms
        for key, at_ms in zone.preempted_at_ms.items()
        if now_ms - at_ms < PREEMPTION_INTERVAL_MS
    }
