"""Renews leases and compares what is placed with what workers really run."""

from marigoldpath_core.leadership import parse_claim_name
from marigoldpath_core.ledger import (
    RequestPhase,
    RequestState,
    TaskPhase,
    TaskState,
)
from marigoldpath_core.messages import (
    EventsPolled,
    RenewLeases,
    RunningTask,
    StopTasks,
    TasksListed,
    Tick,
    WorkerReport,
)
from marigoldpath_core.requests import Request, parse_task_id

from ._dispatch import lease_over_at_ms
from ._tasks import mark_lost, mark_never_started, mark_running
from ._zone import WorkerWatch, Zone, handlers


def renew_leases(zone: Zone, now_ms: int) -> None:
    """Renew the leases of running tasks when a third of the lease has passed."""
    lease_ms = zone.settings.leadership.task_lease_ms
    for worker in zone.ledger.workers_with_tasks():
        watch = zone.watch(worker)
        if not watch.is_held or now_ms - watch.renewed_at_ms < lease_ms // 3:
            continue
        renewed = [
            task
            for _, task in zone.ledger.tasks_on(worker)
            if task.phase in (TaskPhase.RUNNING, TaskPhase.CHECKING)
        ]
        clock_ms = zone.leadership.worker_clock_ms(worker, now_ms)
        if not renewed or clock_ms is None:
            continue
        watch.renewed_at_ms = now_ms
        # The renewal may take effect although its reply is lost.
        over_at_ms = lease_over_at_ms(zone, lease_ms, now_ms)
        for task in renewed:
            task.lease_over_at_ms = max(task.lease_over_at_ms, over_at_ms)
        tasks = tuple(task.task for task in renewed)
        zone.effects.append(
            RenewLeases(worker, zone.settings.host, tasks, clock_ms + lease_ms)
        )


def expire_unreachable(zone: Zone, now_ms: int) -> None:
    """End the tasks whose lease is over on a worker that is out of reach."""
    for worker in zone.ledger.workers_with_tasks():
        if zone.watch(worker).is_held:
            continue
        for state, task in zone.ledger.tasks_on(worker):
            if task.may_run and now_ms >= task.lease_over_at_ms:
                mark_lost(zone, state, task, now_ms, f"{worker} is out of reach")


@handlers.register(TasksListed)
def on_tasks_listed(zone: Zone, event: TasksListed, now_ms: int) -> None:
    """Compare a worker's list with what is placed on it."""
    watch = zone.watch(event.worker)
    if watch.is_held:
        reconcile(zone, event.worker, event.report, now_ms)


def reconcile(zone: Zone, worker: str, report: WorkerReport, now_ms: int) -> None:
    """Mend every difference between the ledger and a worker's list."""
    watch = zone.watch(worker)
    if report.clock_ms < watch.clock_ms:
        # Replies on different connections can arrive in another order.
        return
    watch.clock_ms = report.clock_ms
    restarted = bool(watch.incarnation) and watch.incarnation != report.incarnation
    watch.incarnation = report.incarnation
    listed = {task.task: task for task in report.tasks}
    for state, task in zone.ledger.tasks_on(worker):
        entry = listed.pop(task.task, None)
        if entry is not None:
            _listed(zone, (state, task), entry, report, now_ms)
        elif restarted and task.may_run and task.phase is not TaskPhase.STARTING:
            mark_lost(zone, state, task, now_ms, f"{worker} restarted")
        elif task.missing_clock_ms is None and _is_missing(task, report):
            task.missing_clock_ms = report.clock_ms
    for entry in listed.values():
        if parse_claim_name(entry.task) is None:
            _unplaced(zone, worker, entry, report, now_ms)
    _release_ended(zone, worker, report)


@handlers.register(EventsPolled)
def on_events_polled(zone: Zone, event: EventsPolled, now_ms: int) -> None:
    """Settle the tasks that are missing although all ends are known."""
    watch = zone.watch(event.worker)
    watch.polled_clock_ms = event.clock_ms
    watch.polled_incarnation = event.incarnation
    if not watch.is_held:
        return
    make_placeable(zone, event.worker, watch)
    for state, task in zone.ledger.tasks_on(event.worker):
        missing_ms = task.missing_clock_ms
        if missing_ms is None or event.clock_ms < missing_ms or not task.may_run:
            continue
        # A worker that restarted since may have run the task before.
        if task.phase is TaskPhase.CHECKING and task.incarnation == event.incarnation:
            mark_never_started(zone, state, task, now_ms, "its worker never started it")
        else:
            mark_lost(zone, state, task, now_ms, f"{event.worker} does not run it")


@handlers.register(Tick)
def on_tick(zone: Zone, event: Tick, now_ms: int) -> None:
    """Renew and expire leases while this host leads."""
    if zone.leadership.epoch:
        renew_leases(zone, now_ms)
        expire_unreachable(zone, now_ms)


def make_placeable(zone: Zone, worker: str, watch: WorkerWatch) -> None:
    """Let tasks be placed on a worker once its state is fully known."""
    if watch.is_ready and worker in zone.workers:
        zone.workers.set_ready(worker, True)
        zone.has_work = True


def _release_ended(zone: Zone, worker: str, report: WorkerReport) -> None:
    """Free what unwanted tasks held that the worker no longer runs."""
    known = {task.task for _, task in zone.ledger.tasks_on(worker)}
    known.update(task.task for task in report.tasks)
    for held in zone.workers.tasks_on(worker):
        if held.task not in known:
            zone.workers.release(worker, held.task)


def _listed(
    zone: Zone,
    placed: tuple[RequestState, TaskState],
    entry: RunningTask,
    report: WorkerReport,
    now_ms: int,
) -> None:
    state, task = placed
    task.missing_clock_ms = None
    left_ms = max(0, entry.lease_until_ms - report.clock_ms)
    over_at_ms = lease_over_at_ms(zone, left_ms, now_ms)
    task.lease_over_at_ms = max(task.lease_over_at_ms, over_at_ms)
    if task.phase in (TaskPhase.STARTING, TaskPhase.CHECKING):
        mark_running(zone, state, task, report.clock_ms, now_ms)


def _is_missing(task: TaskState, report: WorkerReport) -> bool:
    """Return whether a task that is not listed can no longer be started."""
    if task.phase is TaskPhase.RUNNING:
        return report.clock_ms > task.started_clock_ms
    return (
        task.phase is TaskPhase.CHECKING
        and report.clock_ms > task.start_before_clock_ms
    )


def _unplaced(
    zone: Zone, worker: str, entry: RunningTask, report: WorkerReport, now_ms: int
) -> None:
    """Adopt a running task of an earlier leader, or stop one that is not wanted."""
    try:
        key, attempt, _ = parse_task_id(entry.task)
    except ValueError:
        return
    state = zone.ledger.get(key)
    unwanted = state is not None and (
        state.phase is RequestPhase.ENDED
        or (state.may_run and state.attempt != attempt)
        or state.is_cancelled
    )
    if unwanted:
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
        state.is_adopted = True
        zone.ledger.add(state)
    adopt(zone, state, worker, entry, now_ms)
    left_ms = max(0, entry.lease_until_ms - report.clock_ms)
    state.tasks[entry.task].lease_over_at_ms = lease_over_at_ms(zone, left_ms, now_ms)


def adopt(
    zone: Zone,
    state: RequestState,
    worker: str,
    entry: RunningTask,
    now_ms: int,
) -> None:
    """Count a task that runs already as a task of its request."""
    zone.queue.remove(state.request.key, now_ms)
    state.phase = RequestPhase.PLACED
    _, state.attempt, _ = parse_task_id(entry.task)
    task = TaskState(entry.task, worker, entry.size)
    task.phase = TaskPhase.RUNNING
    state.has_run = True
    task.started_clock_ms = zone.watch(worker).clock_ms
    zone.ledger.attach(state, task)
    kind, team = state.request.kind, state.request.key.team
    zone.workers.allocate(worker, entry.task, entry.size, kind, team)
    zone.queue.allocate(state.request, entry.size)
    zone.health.record_start(worker, state.request.key, kind)
    zone.unresolved.pop(state.request.key, None)
    state.history.add(now_ms, "adopted", f"it runs on {worker} already")
    zone.log("repair", action="adopt", task=entry.task, worker=worker)
