"""Starts and terminations of tasks, and their effect on requests."""

from marigoldpath_core.messages import (
    StartsFailed,
    StartsReplied,
    StartStatus,
    StopTasks,
    TaskStatus,
    TaskTerminated,
)
from marigoldpath_core.request_state import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.requests import (
    Answer,
    OutcomeKind,
    Request,
    Size,
    parse_task_id,
)

from ._codes import OutcomeCode
from ._dispatch import (
    STABLE_RUN_MS,
    is_long_running,
    release_placement,
    release_task,
    requeue,
    requeue_after_delay,
)
from ._outcomes import end_request
from ._statistics import record_task_termination
from ._zone import Zone, event_handlers

# Whether a terminated task is a success or a failure for the health of its worker. Any
# other status says nothing about the worker.
SUCCESS_BY_STATUS = {TaskStatus.DONE: True, TaskStatus.FAILED: False}


@event_handlers.register(StartsReplied)
def on_starts_replied(zone: Zone, event: StartsReplied, now_ms: int) -> None:
    """Mark the started tasks as running, and release those that started too late."""
    for task_name, status in event.statuses.items():
        found = zone.request_index.find_task(task_name)
        if found is None:
            continue
        state, task = found
        if task.phase is not TaskPhase.STARTING:
            continue
        if status is StartStatus.STARTED:
            mark_running(zone, state, task, event.clock_ms, now_ms)
        else:
            mark_never_started(zone, state, task, now_ms, "its start came too late")


@event_handlers.register(StartsFailed)
def on_starts_failed(zone: Zone, event: StartsFailed, now_ms: int) -> None:
    """Release the tasks if no start was sent, otherwise set them to CHECKING.

    A start whose reply was lost could have been executed; the worker's next reports
    show whether it was.
    """
    for task_name in event.tasks:
        found = zone.request_index.find_task(task_name)
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


@event_handlers.register(TaskTerminated)
def on_task_terminated(zone: Zone, event: TaskTerminated, now_ms: int) -> None:
    """Record the termination of a task, and continue or end its request."""
    zone.workers.release(event.worker, event.task)
    found = zone.request_index.find_task(event.task)
    if found is None:
        adopt_terminated_task(zone, event, now_ms)
        return
    state, task = found
    if task.worker != event.worker or not task.may_run:
        zone.log("end_ignored", worker=event.worker, task=event.task)
        return
    state.has_run = True
    task.status, task.answer = event.status, event.answer
    record_task_termination(zone, state, task, now_ms)
    release_task(zone, state, task, SUCCESS_BY_STATUS.get(event.status), now_ms)
    if task.started_at_ms and event.status is TaskStatus.DONE:
        ran_ms = now_ms - task.started_at_ms
        zone.estimates.observe_run(state.request.kind, state.request.run_ms, ran_ms)
    if len(state.tasks) > 1 and event.status is not TaskStatus.DONE:
        stop_other_tasks(zone, state, task)
    finish_attempt_if_terminated(zone, state, now_ms)


def adopt_terminated_task(zone: Zone, event: TaskTerminated, now_ms: int) -> None:
    """Add a terminated task that an earlier leader started to its request.

    If the request is not known, a placeholder is created for it.
    """
    try:
        key, attempt, _ = parse_task_id(event.task)
    except ValueError:
        return
    state = zone.request_index.get(key)
    if state is None:
        state = RequestState(Request(key, "", Size(), repeatable=False), now_ms)
        state.is_placeholder = True
        state.history.add(now_ms, "recovered", f"its end was known to {event.worker}")
        zone.request_index.add(state)
    elif not state.is_placeholder and key not in zone.unresolved:
        return
    if state.phase is RequestPhase.ENDED or attempt < state.attempt or state.may_run:
        return
    if attempt > state.attempt:
        release_placement(zone, state)
    state.attempt, state.phase, state.has_run = attempt, RequestPhase.PLACED, True
    task = TaskState(event.task, event.worker, Size())
    task.phase, task.status, task.answer = TaskPhase.ENDED, event.status, event.answer
    zone.request_index.add_task(state, task)
    finish_attempt_if_terminated(zone, state, now_ms)


def mark_running(
    zone: Zone, state: RequestState, task: TaskState, clock_ms: int, now_ms: int
) -> None:
    """Record that a task was running at `clock_ms` on its worker's clock."""
    task.running_clock_ms = clock_ms
    state.has_run = True
    task.phase = TaskPhase.RUNNING
    task.started_at_ms = now_ms
    task.missing_since_clock_ms = None
    state.history.add(now_ms, "running", f"on {task.worker}")
    if state.is_cancelled or state.requeue_reason:
        zone.effects.append(StopTasks(task.worker, (task.task,)))


def mark_never_started(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int, reason: str
) -> None:
    """Release a task that certainly was not started."""
    task.status = None
    release_task(zone, state, task, None, now_ms)
    state.requeue_reason = reason
    if len(state.tasks) > 1:
        stop_other_tasks(zone, state, task)
    finish_attempt_if_terminated(zone, state, now_ms)


def mark_lost(
    zone: Zone, state: RequestState, task: TaskState, now_ms: int, reason: str
) -> None:
    """Record that a task certainly no longer runs and left no answer."""
    state.has_run = True
    task.status = TaskStatus.LEASE_EXPIRED
    record_task_termination(zone, state, task, now_ms)
    release_task(zone, state, task, None, now_ms)
    state.history.add(now_ms, "lost", reason)
    zone.log("task_lost", "warning", task=task.task, worker=task.worker, reason=reason)
    if len(state.tasks) > 1:
        stop_other_tasks(zone, state, task)
    finish_attempt_if_terminated(zone, state, now_ms)


def stop_other_tasks(zone: Zone, state: RequestState, terminated: TaskState) -> None:
    """Stop the other tasks of a gang after one of them did not complete."""
    for other in state.tasks.values():
        if other is not terminated and other.phase is TaskPhase.RUNNING:
            zone.effects.append(StopTasks(other.worker, (other.task,)))


def stop_partial_gang(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Stop a gang of which an earlier leader started only some tasks."""
    if state.phase is not RequestPhase.PLACED or state.is_placeholder:
        return
    if len(state.tasks) >= state.request.tasks or state.requeue_reason:
        return
    state.requeue_reason = "an earlier leader started only a part of its tasks"
    state.history.add(now_ms, "stopping", state.requeue_reason)
    for task in state.tasks.values():
        if task.may_run:
            zone.effects.append(StopTasks(task.worker, (task.task,)))


def finish_attempt_if_terminated(zone: Zone, state: RequestState, now_ms: int) -> None:
    """Finish or requeue a request if all tasks of its attempt have terminated."""
    if state.phase is not RequestPhase.PLACED or state.may_run:
        return
    if any(task.phase is not TaskPhase.ENDED for task in state.tasks.values()):
        return
    if state.is_placeholder and not state.is_recorded:
        # The number of its tasks is unknown until its caller submits it again.
        zone.queue.release(state.request.key)
        zone.placeholder_terminations.append((now_ms, state.request.key))
        return
    statuses = {task.status for task in state.tasks.values()}
    answers = [task.answer for task in state.tasks.values() if task.answer]
    repeatable = state.request.repeatable
    was_started = statuses != {None}
    has_all_tasks = len(state.tasks) >= state.request.tasks
    has_completed = has_all_tasks and statuses == {TaskStatus.DONE}
    is_restarted = repeatable and is_long_running(zone, state.request)
    if has_completed and not is_restarted:
        answer = answers[0] if answers else None
        _finish_request(zone, state, OutcomeKind.DONE, now_ms, answer=answer)
    elif state.is_cancelled:
        _finish_request(
            zone, state, OutcomeKind.NOT_RUN, now_ms, code=OutcomeCode.CANCELLED
        )
    elif not was_started:
        requeue(zone, state, now_ms, state.requeue_reason)
    elif is_restarted:
        started_ms = min(task.started_at_ms for task in state.tasks.values())
        reason = state.requeue_reason or "a standing request runs until cancelled"
        is_moving = bool(state.requeue_reason)
        ran_ms = STABLE_RUN_MS if is_moving else now_ms - started_ms
        state.requeue_reason = ""
        requeue_after_delay(zone, state, ran_ms, now_ms, reason)
    elif TaskStatus.FAILED in statuses:
        _handle_failure(zone, state, now_ms)
    elif repeatable or (state.requeue_reason and statuses <= {None}):
        requeue(zone, state, now_ms, state.requeue_reason or "its task was lost")
    else:
        message = "its task ended and no answer was received"
        _finish_request(
            zone,
            state,
            OutcomeKind.UNKNOWN,
            now_ms,
            code=OutcomeCode.OUTCOME_LOST,
            message=message,
        )


def remove_old_placeholders(zone: Zone, now_ms: int) -> None:
    """Remove the placeholders whose requests were not submitted again in time.

    That is within `finished_retention_ms` after their tasks terminated.
    """
    before_ms = now_ms - zone.settings.scheduler.finished_retention_ms
    while (
        zone.placeholder_terminations
        and zone.placeholder_terminations[0][0] < before_ms
    ):
        _, key = zone.placeholder_terminations.popleft()
        state = zone.request_index.get(key)
        if state is not None and state.is_placeholder and not state.may_run:
            release_placement(zone, state)
            zone.request_index.remove(key)


def _handle_failure(zone: Zone, state: RequestState, now_ms: int) -> None:
    state.failures += 1
    state.failed_workers.update(
        task.worker for task in state.tasks.values() if task.status is TaskStatus.FAILED
    )
    failure_cause = zone.health.request_fault(state.request.key)
    max_attempts = zone.settings.scheduler.max_attempts
    if state.request.repeatable and state.failures < max_attempts and not failure_cause:
        requeue(zone, state, now_ms, f"failed {state.failures} of {max_attempts} times")
        return
    message = failure_cause or f"its task failed {state.failures} times"
    _finish_request(
        zone,
        state,
        OutcomeKind.DONE,
        now_ms,
        code=OutcomeCode.TASK_FAILED,
        message=message,
    )


def _finish_request(
    zone: Zone,
    state: RequestState,
    kind: OutcomeKind,
    now_ms: int,
    *,
    code: str = "",
    message: str = "",
    answer: Answer | None = None,
) -> None:
    """Release the resources of a request and set its outcome."""
    release_placement(zone, state)
    end_request(zone, state, kind, now_ms, code=code, message=message, answer=answer)
