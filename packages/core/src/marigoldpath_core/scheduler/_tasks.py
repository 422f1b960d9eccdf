"""What workers say of starts and ends, and what follows for the requests."""

from marigoldpath_core.ledger import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.messages import (
    StartsFailed,
    StartsReplied,
    StartStatus,
    StopTasks,
    TaskStatus,
    TaskTerminated,
)
from marigoldpath_core.requests import (
    Answer,
    OutcomeKind,
    Request,
    Size,
    parse_task_id,
)

from ._codes import OutcomeCode
from ._day import note_task_ended
from ._dispatch import (
    STEADY_RUN_MS,
    free,
    is_standing,
    requeue,
    requeue_later,
    task_over,
)
from ._outcomes import end_request
from ._zone import Zone, handlers

# Whether an end speaks for its worker or against it; other ends say nothing of it.
WORKER_VERDICTS = {TaskStatus.DONE: True, TaskStatus.FAILED: False}


@handlers.register(StartsReplied)
def on_starts_replied(zone: Zone, event: StartsReplied, now_ms: int) -> None:
    """Note which starts a worker took."""
    for task_name, status in event.statuses.items():
        found = zone.ledger.find_task(task_name)
        if found is None:
            continue
        state, task = found
        if task.phase is not TaskPhase.STARTING:
            continue
        if status is StartStatus.STARTED:
            mark_running(zone, state, task, event.clock_ms, now_ms)
        else:
            mark_never_started(zone, state, task, now_ms, "its start came too late")


@handlers.register(StartsFailed)
def on_starts_failed(zone: Zone, event: StartsFailed, now_ms: int) -> None:
    """Take back starts that were not sent; look at the worker for the others."""
    for task_name in event.tasks:
        found = zone.ledger.find_task(task_name)
        if found is None or found[1].phase is not TaskPhase.STARTING:
            continue
        state, task = found
        if event.sent:
            task.phase = TaskPhase.CHECKING
            state.history.add(now_ms, "checking", "the reply to its start was lost")
        else:
            mark_never_started(
                zone, state, task, now_ms, "its worker was not reachable"
            )


@handlers.register(TaskTerminated)
def on_task_ended(zone: Zone, event: TaskTerminated, now_ms: int) -> None:
    """Note the end of a task; ends of tasks that are not placed are ignored."""
    zone.workers.release(event.worker, event.task)
    found = zone.ledger.find_task(event.task)
    if found is None:
        ended_before_this_term(zone, event, now_ms)
        return
    state, task = found
    if task.worker != event.worker or not task.may_run:
        zone.log("end_ignored", worker=event.worker, task=event.task)
        return
    state.has_run = True
    task.status, task.answer = event.status, event.answer
    note_task_ended(zone, state, task, now_ms)
    task_over(zone, state, task, WORKER_VERDICTS.get(event.status), now_ms)
    if task.started_at_ms and event.status is TaskStatus.DONE:
        ran_ms = now_ms - task.started_at_ms
        zone.estimates.observe_run(state.request.kind, state.request.run_ms, ran_ms)
    if len(state.tasks) > 1 and event.status is not TaskStatus.DONE:
        stop_others(zone, state, task)
    finish_if_ended(zone, state, now_ms)


def ended_before_this_term(zone: Zone, event: TaskTerminated, now_ms: int) -> None:
    """Note the end of a task of an earlier leader that a worker remembers."""
    try:
        key, attempt, _ = parse_task_id(event.task)
    except ValueError:
        return
    state = zone.ledger.get(key)
    if state is None:
        state = RequestState(Request(key, "", Size(), repeatable=False), now_ms)
        state.is_adopted = True
        state.history.add(now_ms, "recovered", f"its end was known to {event.worker}")
        zone.ledger.add(state)
    elif not state.is_adopted and key not in zone.unresolved:
        return
    if state.phase is RequestPhase.ENDED or attempt < state.attempt or state.may_run:
        return
    if attempt > state.attempt:
        free(zone, state)
    state.attempt, state.phase, state.has_run = attempt, RequestPhase.PLACED, True
    task = TaskState(event.task, event.worker, Size())
    task.phase, task.status, task.answer = TaskPhase.ENDED, event.status, event.answer
    zone.ledger.attach(state, task)
    finish_if_ended(zone, state, now_ms)


def mark_running(
    zone: Zone, state: RequestState, task: TaskState, clock_ms: int, now_ms: int
) -> None:
    """Note that a task was running at `clock_ms` on its worker's clock."""
    task.started_clock_ms = clock_ms
    state.has_run = True
    task.phase = TaskPhase.RUNNING
    task.started_at_ms = now_ms
    task.missing_clock_ms = None
    state.history.add(now_ms, "running", f"on {task.worker}")
    if state.is_cancelled or state.requeue_reason:
        zone.effects.append(StopTasks(task.worker, (task.task,)))


def mark_never_started(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int, reason: str
) -> None:
    """Take a task back that certainly was not started."""
    task.status = None
    task_over(zone, state, task, None, now_ms)
    state.requeue_reason = reason
    if len(state.tasks) > 1:
        stop_others(zone, state, task)
    finish_if_ended(zone, state, now_ms)


def mark_lost(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int, reason: str
) -> None:
    """Note that a task certainly does not run any more and left no answer."""
    state.has_run = True
    task.status = TaskStatus.LEASE_EXPIRED
    note_task_ended(zone, state, task, now_ms)
    task_over(zone, state, task, None, now_ms)
    state.history.add(now_ms, "lost", reason)
    zone.log("task_lost", "warning", task=task.task, worker=task.worker, reason=reason)
    if len(state.tasks) > 1:
        stop_others(zone, state, task)
    finish_if_ended(zone, state, now_ms)


def stop_others(zone: Zone, state: RequestState, ended: TaskState) -> None:
    """Stop the other tasks of an all-at-once job of which one ended badly."""
    for other in state.tasks.values():
        if other is not ended and other.phase is TaskPhase.RUNNING:
            zone.effects.append(StopTasks(other.worker, (other.task,)))


def stop_partial(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Stop an all-at-once job of which an earlier leader started only a part."""
    if state.phase is not RequestPhase.PLACED or state.is_adopted:
        return
    if len(state.tasks) >= state.request.tasks or state.requeue_reason:
        return
    state.requeue_reason = "an earlier leader started only a part of its tasks"
    state.history.add(now_ms, "stopping", state.requeue_reason)
    for task in state.tasks.values():
        if task.may_run:
            zone.effects.append(StopTasks(task.worker, (task.task,)))


def finish_if_ended(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Decide what becomes of a request when all its tasks have ended."""
    if state.phase is not RequestPhase.PLACED or state.may_run:
        return
    if any(task.phase is not TaskPhase.ENDED for task in state.tasks.values()):
        return
    if state.is_adopted and not state.is_recorded:
        # How many tasks belong to it is known only when its caller comes back.
        zone.queue.release(state.request.key)
        zone.unmatched_ends.append((now_ms, state.request.key))
        return
    statuses = {task.status for task in state.tasks.values()}
    answers = [task.answer for task in state.tasks.values() if task.answer]
    repeatable = state.request.repeatable
    was_started = statuses != {None}
    is_whole = len(state.tasks) >= state.request.tasks
    is_done = is_whole and statuses == {TaskStatus.DONE}
    runs_again = repeatable and is_standing(zone, state.request)
    if is_done and not runs_again:
        answer = answers[0] if answers else None
        _end(zone, state, OutcomeKind.DONE, now_ms, answer=answer)
    elif state.is_cancelled:
        _end(zone, state, OutcomeKind.NOT_RUN, now_ms, code=OutcomeCode.CANCELLED)
    elif not was_started:
        requeue(zone, state, now_ms, state.requeue_reason)
    elif runs_again:
        started_ms = min(task.started_at_ms for task in state.tasks.values())
        reason = state.requeue_reason or "a standing request runs until cancelled"
        moves = bool(state.requeue_reason)
        ran_ms = STEADY_RUN_MS if moves else now_ms - started_ms
        state.requeue_reason = ""
        requeue_later(zone, state, ran_ms, now_ms, reason)
    elif TaskStatus.FAILED in statuses:
        _failed(zone, state, now_ms)
    elif repeatable or (state.requeue_reason and statuses <= {None}):
        requeue(zone, state, now_ms, state.requeue_reason or "its task was lost")
    else:
        message = "its task ended and no answer was received"
        _end(
            zone,
            state,
            OutcomeKind.UNKNOWN,
            now_ms,
            code=OutcomeCode.OUTCOME_LOST,
            message=message,
        )


def forget_unmatched_ends(zone: Zone, now_ms: int) -> None:
    """Forget the ends of requests whose callers did not come back."""
    before_ms = now_ms - zone.settings.scheduler.finished_retention_ms
    while zone.unmatched_ends and zone.unmatched_ends[0][0] < before_ms:
        _, key = zone.unmatched_ends.popleft()
        state = zone.ledger.get(key)
        if state is not None and state.is_adopted and not state.may_run:
            free(zone, state)
            zone.ledger.forget(key)


def _failed(zone: Zone, state: RequestState, now_ms: int) -> None:
    state.failures += 1
    state.failed_on.update(
        task.worker for task in state.tasks.values() if task.status is TaskStatus.FAILED
    )
    fault = zone.health.request_fault(state.request.key)
    limit = zone.settings.scheduler.max_attempts
    if state.request.repeatable and state.failures < limit and not fault:
        requeue(zone, state, now_ms, f"failed {state.failures} of {limit} times")
        return
    message = fault or f"its task failed {state.failures} times"
    _end(
        zone,
        state,
        OutcomeKind.DONE,
        now_ms,
        code=OutcomeCode.TASK_FAILED,
        message=message,
    )


def _end(
    zone: Zone,
    state: RequestState,
    kind: OutcomeKind,
    now_ms: int,
    *,
    code: str = "",
    message: str = "",
    answer: Answer | None = None,
) -> None:
    """Free what a request held and give it its outcome."""
    free(zone, state)
    end_request(zone, state, kind, now_ms, code=code, message=message, answer=answer)
