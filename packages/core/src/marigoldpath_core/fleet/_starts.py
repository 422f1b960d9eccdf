"""Sends start commands and applies the replies to starts and stops."""

from marigoldpath_core.jobs import Progress, RecordedStart, TaskKey
from marigoldpath_core.registry import Registry

from ._crashes import must_record_start
from ._fleet import Fleet, handlers
from ._messages import StartReplied, StartResult, StartRun, StopReplied
from ._quotas import may_send
from ._reports import mark_started
from ._run import Run, RunState
from ._work import Task
from ._worker import Worker

result_handlers: Registry = Registry("start result")
# A worker that refused a start because it is unhealthy gets no starts for this time.
REFUSED_PAUSE_MS = 1_000
# The worker refuses the start of a copy after this time. It is shorter than for other
# starts, because the task can be done meanwhile (see `MAX_ROW_AGE_MS`).
COPY_START_WINDOW_MS = 400
# If the clock in a reply is further behind the estimated clock at the time of sending,
# the reply comes from another incarnation of the worker.
INCARNATION_CLOCK_GAP_MS = 300


def start_task(fleet: Fleet, worker: Worker, task: Task, number: int) -> None:
    """Allocate resources on the worker for run `number`, and send its start command.

    If the start must be recorded, the command is sent once that is stored.
    """
    is_recorded_first = must_record_start(fleet, task)
    clock_ms = worker.estimated_clock_ms(fleet.now_ms)
    run = Run(task, number, worker.worker_id, task.step.need, clock_ms)
    task.run = run
    task.number = number
    task.step.fruitless_replies = 0
    worker.add(run)
    if not is_recorded_first:
        _send_start(fleet, worker, run)
        return
    run.state = RunState.PLANNED
    task.recorded_start = RecordedStart(number, worker.worker_id, worker.incarnation)
    fleet.planned_runs[task.key] = run
    fleet.mark_dirty(task.step.job)


def start_copy(fleet: Fleet, worker: Worker, task: Task, number: int) -> None:
    """Allocate resources on the worker for a copy of the task's run, and start it.

    The start is not recorded in the store, so the task must be none whose starts are.
    """
    primary = task.run
    assert primary is not None and task.copy is None
    clock_ms = worker.estimated_clock_ms(fleet.now_ms)
    copy = Run(task, number, worker.worker_id, task.step.need, clock_ms)
    copy.started_as_copy = primary.had_copy = True
    task.copy = copy
    task.number = number
    worker.add(copy)
    fleet.copies.runs.add(copy)
    _send_start(fleet, worker, copy)


def record_stored_starts(fleet: Fleet, job_id: str, progress: Progress) -> None:
    """Note which recorded starts of a job are stored, so that they can be sent."""
    for key, start in progress.recorded_starts.items():
        run = fleet.planned_runs.get(TaskKey(job_id, *key))
        if run is not None and run.task.recorded_start == start:
            run.is_recorded = fleet.needs_dispatch = True


def send_recorded_starts(fleet: Fleet) -> None:
    """Send the start commands that are stored by now.

    If a worker may not get it any more, or has lost capacity, its task is placed again.
    So it is if the quota of its workspace was lowered.
    """
    for run in list(fleet.planned_runs.values()):
        # A run may be released while its gang is stopped.
        if not run.is_recorded or fleet.planned_runs.get(run.task.key) is not run:
            continue
        worker = fleet.workers.get(run.worker_id)
        start = run.task.recorded_start
        if (
            worker is None
            or start is None
            or worker.incarnation != start.incarnation
            or not fleet.is_startable(worker)
            or min(worker.free) < 0
            or not may_send(fleet, run.task.step)
        ):
            fleet.abandon(run)
            continue
        del fleet.planned_runs[run.task.key]
        worker.suspect_started_ms = fleet.now_ms
        _send_start(fleet, worker, run)


def _send_start(fleet: Fleet, worker: Worker, run: Run) -> None:
    task = run.task
    step = task.step
    now_ms = fleet.now_ms
    settings = fleet.settings
    number = run.number
    clock_ms = worker.estimated_clock_ms(now_ms)
    run.state = RunState.SENT
    run.progress_clock_ms = clock_ms
    is_copy = task.copy is run
    window_ms = COPY_START_WINDOW_MS if is_copy else settings.start_window_ms
    run.sent_clock_ms = clock_ms
    run.until_clock_ms = clock_ms + window_ms
    run.started_ms = now_ms
    worker.extend_lease(settings, window_ms, now_ms)
    if not task.checkpoint:
        run.measured_from_clock_ms = clock_ms
    fleet.start_limit.record_start(task.key, number)
    ticket = step.tickets.get(worker.worker_id)
    fleet.emit(
        StartRun(
            worker.worker_id,
            worker.entry.address,
            task.key,
            number,
            step.job.spec.payload,
            task.checkpoint,
            ticket.text if ticket else "",
            run.until_clock_ms,
            worker.incarnation,
            worker.restarts,
        )
    )
    fleet.log(
        "run_starting",
        job=task.key.job_id,
        task=tuple(task.key[1:]),
        run=number,
        worker=worker.worker_id,
        free_cpu=worker.free.cpu_millis,
        look_age_ms=round(now_ms - worker.clock_read_ms),
    )


@handlers.register(StartReplied)
def apply_start_reply(fleet: Fleet, event: StartReplied) -> None:
    """Apply the result of a start."""
    if fleet.start_limit.is_reached:
        fleet.needs_dispatch = True
    fleet.start_limit.record_reply(event.task, event.run)
    worker = fleet.workers.get(event.worker_id)
    run = worker.runs.get(event.task) if worker is not None else None
    if worker is None or run is None or run.number != event.run:
        return
    if event.result is not StartResult.STARTED:
        fleet.log(
            "start_not_confirmed",
            job=event.task.job_id,
            task=tuple(event.task[1:]),
            run=event.run,
            worker=event.worker_id,
            result=event.result.value,
        )
    if event.restarts == worker.restarts:
        result_handlers.get(event.result)(fleet, worker, run, event)
    elif event.result not in (StartResult.STARTED, StartResult.UNKNOWN):
        # It was meant for a previous incarnation and has not been executed. The result
        # says nothing about the present one.
        fleet.abandon(run)


@handlers.register(StopReplied)
def apply_stop_reply(fleet: Fleet, event: StopReplied) -> None:
    """Record the clock of an acknowledged stop.

    If a report from after that time does not include the run, the run does not exist.
    """
    worker = fleet.workers.get(event.worker_id)
    run = worker.runs.get(event.task) if worker is not None else None
    if worker is None or event.restarts != worker.restarts:
        # It may be the reply of an incarnation that has ended, with its clock.
        return
    if run is not None and run.number == event.run:
        run.confirmed_clock_ms = max(event.clock_ms, run.confirmed_clock_ms or 0)


@result_handlers.register(StartResult.STARTED)
def _on_started(fleet: Fleet, _worker: Worker, run: Run, event: StartReplied) -> None:
    if run.until_clock_ms is None:
        # The worker has restarted since the start was sent, so this reply could come
        # from the earlier incarnation.
        return
    if event.clock_ms < run.sent_clock_ms - INCARNATION_CLOCK_GAP_MS:
        # A later incarnation replied. Its reports will show whether the run exists.
        run.until_clock_ms = None
        return
    run.confirmed_clock_ms = event.clock_ms
    run.started_ms = fleet.now_ms
    if not run.task.checkpoint:
        run.began_clock_ms = event.clock_ms
    if run.measured_from_clock_ms is not None and not run.was_reported:
        run.measured_from_clock_ms = event.clock_ms
    fleet.start_limit.record_started(fleet.now_ms)
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
    mark_started(run.task.step.job)


@result_handlers.register(StartResult.FENCED)
def _on_fenced(fleet: Fleet, _worker: Worker, _run: Run, _event: StartReplied) -> None:
    fleet.superseded = True


@result_handlers.register(StartResult.UNKNOWN)
def _on_unknown(
    _fleet: Fleet, _worker: Worker, _run: Run, _event: StartReplied
) -> None:
    """Do nothing: the worker's next report shows whether the run exists."""


@result_handlers.register(StartResult.EXPIRED)
def _on_expired(fleet: Fleet, _worker: Worker, run: Run, _event: object) -> None:
    fleet.start_limit.record_expired()
    fleet.abandon(run)


@result_handlers.register(StartResult.STALE_RUN)
@result_handlers.register(StartResult.NO_FREE_CAPACITY)
def _on_not_started(fleet: Fleet, _worker: Worker, run: Run, _event: object) -> None:
    fleet.abandon(run)


@result_handlers.register(StartResult.BAD_TICKET)
def _on_bad_ticket(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    step = run.task.step
    step.tickets.pop(worker.worker_id, None)
    step.queried_workers.pop(worker.worker_id, None)
    step.exhausted_pool_ids = None
    fleet.abandon(run)


@result_handlers.register(StartResult.REFUSED)
def _on_refused(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    run.task.avoided_workers.add(worker.worker_id)
    worker.paused_until_ms = fleet.now_ms + REFUSED_PAUSE_MS
    fleet.abandon(run)


@result_handlers.register(StartResult.NOT_SENT)
@result_handlers.register(StartResult.INCARNATION_MISMATCH)
def _on_unreachable(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    if not worker.is_unresponsive:
        worker.silent_since_ms = fleet.now_ms
    worker.is_unresponsive = True
    fleet.abandon(run)
