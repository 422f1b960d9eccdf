"""Orders to start and what their answers mean."""

from marigoldpath_core.registry import Registry

from ._fleet import Fleet, handlers
from ._messages import StartReplied, StartResult, StartRun, StopReplied
from ._reports import mark_started
from ._work import Run, RunState, Task
from ._worker import Worker

results: Registry = Registry("result of a start")
# A worker that refuses as unhealthy is left alone for this long.
REFUSED_PAUSE_MS = 1_000
# A clock that is this far behind its estimate belongs to another life of the worker.
OTHER_LIFE_MS = 300


def start(fleet: Fleet, worker: Worker, task: Task, number: int) -> None:
    """Hold resources on the worker and order the start."""
    step = task.step
    now_ms = fleet.now_ms
    settings = fleet.settings
    run = Run(task, number, worker.worker_id, step.need, now_ms)
    run.until_clock_ms = worker.estimated_clock_ms(now_ms) + settings.start_window_ms
    worker.extend_lease(settings, settings.start_window_ms, now_ms)
    task.run = run
    task.number = number
    worker.add(run)
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
        )
    )
    fleet.note(
        "run_starting",
        job=task.key.job_id,
        task=tuple(task.key[1:]),
        run=number,
        worker=worker.worker_id,
        free_cpu=worker.free.cpu_millis,
        look_age_ms=round(now_ms - worker.clock_read_ms),
    )


@handlers.register(StartReplied)
def take_answer(fleet: Fleet, event: StartReplied) -> None:
    """Settle an order to start."""
    worker = fleet.workers.get(event.worker_id)
    run = worker.runs.get(event.task) if worker is not None else None
    if worker is None or run is None or run.number != event.run:
        return
    if event.result is not StartResult.STARTED:
        fleet.note(
            "start_not_confirmed",
            job=event.task.job_id,
            task=tuple(event.task[1:]),
            run=event.run,
            worker=event.worker_id,
            result=event.result.value,
        )
    results.get(event.result)(fleet, worker, run, event)


@handlers.register(StopReplied)
def take_stop(fleet: Fleet, event: StopReplied) -> None:
    """Let the next list settle a run that cannot begin any more."""
    worker = fleet.workers.get(event.worker_id)
    run = worker.runs.get(event.task) if worker is not None else None
    if run is not None and run.number == event.run:
        run.seen_clock_ms = max(event.clock_ms, run.seen_clock_ms or 0)


@results.register(StartResult.STARTED)
def _started(fleet: Fleet, _worker: Worker, run: Run, event: StartReplied) -> None:
    if run.until_clock_ms is None:
        # The answer may come from an earlier life of the worker.
        return
    sent_clock_ms = run.until_clock_ms - fleet.settings.start_window_ms
    if event.clock_ms < sent_clock_ms - OTHER_LIFE_MS:
        # A later life answered; its lists settle the run.
        run.until_clock_ms = None
        return
    run.seen_clock_ms = event.clock_ms
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
    mark_started(run.task.step.job)


@results.register(StartResult.FENCED)
def _fenced(fleet: Fleet, _worker: Worker, _run: Run, _event: StartReplied) -> None:
    fleet.deposed = True


@results.register(StartResult.UNKNOWN)
def _unknown(_fleet: Fleet, _worker: Worker, _run: Run, _event: StartReplied) -> None:
    """The next list of the worker settles it."""


@results.register(StartResult.STALE_RUN)
@results.register(StartResult.EXPIRED)
@results.register(StartResult.NO_ROOM)
def _nothing_done(fleet: Fleet, _worker: Worker, run: Run, _event: object) -> None:
    fleet.abandon(run)


@results.register(StartResult.BAD_TICKET)
def _bad_ticket(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    step = run.task.step
    step.tickets.pop(worker.worker_id, None)
    step.asked.discard(worker.worker_id)
    step.covered = None
    fleet.abandon(run)


@results.register(StartResult.REFUSED)
def _refused(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    run.task.avoided.add(worker.worker_id)
    pause_until_ms = fleet.now_ms + REFUSED_PAUSE_MS
    worker.quarantined_until_ms = max(worker.quarantined_until_ms, pause_until_ms)
    fleet.abandon(run)


@results.register(StartResult.NOT_SENT)
@results.register(StartResult.INCARNATION_MISMATCH)
def _unreachable(fleet: Fleet, worker: Worker, run: Run, _event: object) -> None:
    worker.is_silent = True
    fleet.abandon(run)
