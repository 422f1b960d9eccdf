"""Renewal of task leases, and reconciliation with the reports of workers."""

from marigoldpath_core.leadership import parse_claim_name
from marigoldpath_core.messages import (
    EventsPolled,
    RenewLeases,
    RunningTask,
    StopTasks,
    TasksListed,
    Tick,
    WorkerReport,
)
from marigoldpath_core.request_state import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.requests import Request, parse_task_id

from ._dispatch import lease_expiry_ms
from ._tasks import mark_lost, mark_never_started, mark_running
from ._zone import WorkerObservation, Zone, event_handlers


def renew_leases(zone: Zone, now_ms: int) -> None:
    """Renew the leases of running tasks each time a third of the lease has passed."""
    lease_ms = zone.settings.leadership.task_lease_ms
    for worker in zone.request_index.workers_with_tasks():
        observation = zone.observation(worker)
        if (
            not observation.is_claimed
            or now_ms - observation.renewed_at_ms < lease_ms // 3
        ):
            continue
        to_renew = [
            task
            for _, task in zone.request_index.tasks_on(worker)
            if task.phase in (TaskPhase.RUNNING, TaskPhase.CHECKING)
        ]
        clock_ms = zone.leadership.worker_clock_ms(worker, now_ms)
        if not to_renew or clock_ms is None:
            continue
        observation.renewed_at_ms = now_ms
        # Extended now, because the renewal takes effect even if its reply is lost.
        expires_at_ms = lease_expiry_ms(zone, lease_ms, now_ms)
        for task in to_renew:
            task.lease_expires_at_ms = max(task.lease_expires_at_ms, expires_at_ms)
        tasks = tuple(task.task for task in to_renew)
        zone.effects.append(
            RenewLeases(worker, zone.settings.host, tasks, clock_ms + lease_ms)
        )


def expire_unreachable_tasks(zone: Zone, now_ms: int) -> None:
    """Mark the tasks on workers without a claim as lost if their lease has expired."""
    for worker in zone.request_index.workers_with_tasks():
        if zone.observation(worker).is_claimed:
            continue
        for state, task in zone.request_index.tasks_on(worker):
            if task.may_run and now_ms >= task.lease_expires_at_ms:
                mark_lost(zone, state, task, now_ms, f"{worker} is out of reach")


@event_handlers.register(TasksListed)
def on_tasks_listed(zone: Zone, event: TasksListed, now_ms: int) -> None:
    """Reconcile the tasks placed on a worker with its report."""
    observation = zone.observation(event.worker)
    if observation.is_claimed:
        reconcile(zone, event.worker, event.report, now_ms)


def reconcile(zone: Zone, worker: str, report: WorkerReport, now_ms: int) -> None:
    """Resolve every difference between the placed tasks and a worker's report."""
    observation = zone.observation(worker)
    if report.clock_ms < observation.clock_ms:
        # Replies on different connections can arrive out of order.
        return
    observation.clock_ms = report.clock_ms
    restarted = (
        bool(observation.incarnation) and observation.incarnation != report.incarnation
    )
    observation.incarnation = report.incarnation
    reported = {task.task: task for task in report.tasks}
    for state, task in zone.request_index.tasks_on(worker):
        entry = reported.pop(task.task, None)
        if entry is not None:
            _confirm_running(zone, (state, task), entry, report, now_ms)
        elif restarted and task.may_run and task.phase is not TaskPhase.STARTING:
            mark_lost(zone, state, task, now_ms, f"{worker} restarted")
        elif task.missing_since_clock_ms is None and _is_certainly_missing(
            task, report
        ):
            task.missing_since_clock_ms = report.clock_ms
    for entry in reported.values():
        if parse_claim_name(entry.task) is None:
            _handle_unplaced(zone, worker, entry, report, now_ms)
    _release_terminated(zone, worker, report)


@event_handlers.register(EventsPolled)
def on_events_polled(zone: Zone, event: EventsPolled, now_ms: int) -> None:
    """Resolve the tasks missing on a worker whose terminations are all known."""
    observation = zone.observation(event.worker)
    observation.polled_clock_ms = event.clock_ms
    observation.polled_incarnation = event.incarnation
    if not observation.is_claimed:
        return
    update_readiness(zone, event.worker, observation)
    for state, task in zone.request_index.tasks_on(event.worker):
        missing_since_ms = task.missing_since_clock_ms
        if (
            missing_since_ms is None
            or event.clock_ms < missing_since_ms
            or not task.may_run
        ):
            continue
        # If the worker restarted after the start was sent, it could have run the task
        # before the restart.
        if task.phase is TaskPhase.CHECKING and task.incarnation == event.incarnation:
            mark_never_started(zone, state, task, now_ms, "its worker never started it")
        else:
            mark_lost(zone, state, task, now_ms, f"{event.worker} does not run it")


@event_handlers.register(Tick)
def on_tick(zone: Zone, event: Tick, now_ms: int) -> None:
    """Renew and expire task leases while this host leads."""
    if zone.leadership.epoch:
        renew_leases(zone, now_ms)
        expire_unreachable_tasks(zone, now_ms)


def update_readiness(zone: Zone, worker: str, observation: WorkerObservation) -> None:
    """Allow placements on a worker if all of its tasks and terminations are known."""
    if observation.is_ready and worker in zone.workers:
        zone.workers.set_ready(worker, True)
        zone.needs_dispatch = True


def _release_terminated(zone: Zone, worker: str, report: WorkerReport) -> None:
    """Release the resources of orphaned tasks that are no longer in the report."""
    known = {task.task for _, task in zone.request_index.tasks_on(worker)}
    known.update(task.task for task in report.tasks)
    for allocation in zone.workers.tasks_on(worker):
        if allocation.task not in known:
            zone.workers.release(worker, allocation.task)


def _confirm_running(
    zone: Zone,
    placed: tuple[RequestState, TaskState],
    entry: RunningTask,
    report: WorkerReport,
    now_ms: int,
) -> None:
    state, task = placed
    task.missing_since_clock_ms = None
    remaining_ms = max(0, entry.lease_until_ms - report.clock_ms)
    expires_at_ms = lease_expiry_ms(zone, remaining_ms, now_ms)
    task.lease_expires_at_ms = max(task.lease_expires_at_ms, expires_at_ms)
    if task.phase in (TaskPhase.STARTING, TaskPhase.CHECKING):
        mark_running(zone, state, task, report.clock_ms, now_ms)


def _is_certainly_missing(task: TaskState, report: WorkerReport) -> bool:
    """Return whether a task absent from a report can neither run nor start."""
    if task.phase is TaskPhase.RUNNING:
        return report.clock_ms > task.running_clock_ms
    return (
        task.phase is TaskPhase.CHECKING
        and report.clock_ms > task.start_before_clock_ms
    )


def _handle_unplaced(
    zone: Zone, worker: str, entry: RunningTask, report: WorkerReport, now_ms: int
) -> None:
    """Adopt a reported task that is not placed there, or stop it if it is orphaned.

    An earlier leader started it. It is orphaned if its request ended, was cancelled or
    runs in another attempt.
    """
    try:
        key, attempt, _ = parse_task_id(entry.task)
    except ValueError:
        return
    state = zone.request_index.get(key)
    is_orphaned = state is not None and (
        state.phase is RequestPhase.ENDED
        or (state.may_run and state.attempt != attempt)
        or state.is_cancelled
    )
    if is_orphaned:
        zone.log(
            "repair",
            "warning",
            action="stop",
            task=entry.task,
            worker=worker,
            reason="the request has ended or runs elsewhere",
        )
        zone.effects.append(StopTasks(worker, (entry.task,)))
        zone.workers.allocate(worker, entry.task, entry.size, "", key.team)
        return
    if state is None:
        state = RequestState(Request(key, "", entry.size), now_ms)
        state.is_placeholder = True
        zone.request_index.add(state)
    adopt(zone, state, worker, entry, now_ms)
    remaining_ms = max(0, entry.lease_until_ms - report.clock_ms)
    state.tasks[entry.task].lease_expires_at_ms = lease_expiry_ms(
        zone, remaining_ms, now_ms
    )


def adopt(
    zone: Zone,
    state: RequestState,
    worker: str,
    entry: RunningTask,
    now_ms: int,
) -> None:
    """Place a request on the worker that is already running its task."""
    zone.queue.remove(state.request.key, now_ms)
    state.phase = RequestPhase.PLACED
    _, state.attempt, _ = parse_task_id(entry.task)
    task = TaskState(entry.task, worker, entry.size)
    task.phase = TaskPhase.RUNNING
    state.has_run = True
    task.running_clock_ms = zone.observation(worker).clock_ms
    zone.request_index.add_task(state, task)
    kind, team = state.request.kind, state.request.key.team
    zone.workers.allocate(worker, entry.task, entry.size, kind, team)
    zone.queue.allocate(state.request, entry.size)
    zone.health.record_start(worker, state.request.key, kind)
    zone.unresolved.pop(state.request.key, None)
    state.history.add(now_ms, "adopted", f"it runs on {worker} already")
    zone.log("repair", action="adopt", task=entry.task, worker=worker)
