"""What workers tell of themselves, and what follows when they are silent."""

from marigoldpath_core.jobs import JobState, TaskKey

from ._ends import take_end
from ._fleet import Fleet, handlers
from ._messages import (
    RunningTask,
    StopRun,
    WorkerReport,
    WorkersListed,
    WorkerUnresponsive,
)
from ._roster import drop_from_roster
from ._work import Run, RunState
from ._worker import Worker

# An order that is refused from a time on is settled by a list a little after it.
SETTLE_MARGIN_MS = 50


@handlers.register(WorkersListed)
def take_list(fleet: Fleet, event: WorkersListed) -> None:
    """Take over the directory's entries."""
    listed = set()
    for entry in event.entries:
        listed.add(entry.worker_id)
        worker = fleet.workers.get(entry.worker_id)
        if worker is None:
            worker = fleet.workers[entry.worker_id] = Worker(entry)
            fleet.note("worker_listed", worker=entry.worker_id, zone=entry.zone)
        elif entry.draining and not worker.entry.draining:
            fleet.note("worker_draining", worker=entry.worker_id)
        worker.update_entry(entry)
        if entry.draining:
            worker.drain_read_ms = fleet.now_ms
        if worker.incarnation and entry.incarnation > worker.incarnation:
            _begin_life(fleet, worker, entry.incarnation)
    for worker in list(fleet.workers.values()):
        if worker.worker_id not in listed:
            worker.is_listed = False
            _forget_if_gone(fleet, worker)


@handlers.register(WorkerReport)
def take_report(fleet: Fleet, event: WorkerReport) -> None:
    """Take over what a worker lists."""
    worker = fleet.workers.get(event.worker_id)
    if worker is None or event.incarnation < worker.incarnation:
        return
    if event.incarnation > worker.incarnation:
        _begin_life(fleet, worker, event.incarnation)
    if worker.is_silent or worker.heard_ms is None:
        fleet.needs_dispatch = True
    if worker.heard_ms is None:
        # A predecessor may have renewed the lease until this look fenced it off.
        worker.extend_lease(fleet.settings, fleet.settings.lease_ms, fleet.now_ms)
    worker.heard_ms = fleet.now_ms
    worker.is_silent = False
    fleet.unheard.pop(event.worker_id, None)
    _note_majority(fleet)
    is_newest = event.clock_ms >= worker.clock_ms
    if is_newest:
        worker.clock_ms, worker.clock_read_ms = event.clock_ms, fleet.now_ms
        fleet.note_unknown_jobs(worker, _named_jobs(worker, event))
    are_ends_taken = _take_ends(fleet, worker, event)
    if is_newest:
        _take_running(fleet, worker, event, are_ends_taken)


@handlers.register(WorkerUnresponsive)
def note_silence(fleet: Fleet, event: WorkerUnresponsive) -> None:
    """Place nothing on a worker until it answers again."""
    worker = fleet.workers.get(event.worker_id)
    if worker is None:
        return
    if not worker.is_silent:
        fleet.note("worker_silent", worker=worker.worker_id, runs=len(worker.runs))
    worker.is_silent = True


def expire_leases(fleet: Fleet) -> None:
    """Give up the runs of workers whose lease is over on any clock."""
    for worker in list(fleet.workers.values()):
        if worker.is_silent and fleet.now_ms > worker.lease_end_ms:
            lose_runs(fleet, worker, "the worker's lease is over")
        if not worker.is_listed:
            _forget_if_gone(fleet, worker)
    if fleet.unheard and fleet.now_ms > fleet.unheard_until_ms:
        fleet.note("unheard_workers_given_up", workers=sorted(fleet.unheard))
        for worker_id in fleet.unheard:
            drop_from_roster(fleet, worker_id)
        fleet.unheard.clear()
        fleet.needs_dispatch = True


def retry_stops(fleet: Fleet) -> None:
    """Repeat stops whose run is still listed after the time that a stop takes."""
    for worker in fleet.workers.values():
        for run in worker.runs.values():
            if run.state is not RunState.STOPPING:
                continue
            if fleet.now_ms - run.stop_sent_ms > fleet.settings.retry_stop_ms:
                fleet.stop(run, "repeated")


def lose_runs(fleet: Fleet, worker: Worker, reason: str) -> None:
    """Let the tasks of a worker's runs wait again."""
    if worker.runs:
        fleet.note(
            "runs_lost", worker=worker.worker_id, runs=len(worker.runs), reason=reason
        )
    for run in list(worker.runs.values()):
        fleet.release(run)
    fleet.note_unknown_jobs(worker, set())


def _note_majority(fleet: Fleet) -> None:
    """Note when most of the workers that may run anything have answered."""
    if fleet.majority_heard_ms is not None:
        return
    listed = [each for each in fleet.workers.values() if each.is_listed]
    heard = sum(1 for each in listed if each.heard_ms is not None)
    if heard * 2 > len(listed):
        fleet.majority_heard_ms = fleet.now_ms
        fleet.note(
            "unheard_workers",
            workers=sorted(fleet.unheard),
            wait_ms=round(fleet.unheard_until_ms - fleet.now_ms),
        )


def _begin_life(fleet: Fleet, worker: Worker, incarnation: int) -> None:
    """Give up what an earlier life of a worker ran.

    An order that no list of that life showed may still reach the new one, whose clock
    is behind the order's limit. Only a stop settles such a run.
    """
    settings = fleet.settings
    under_way = [] if not worker.incarnation else list(worker.runs.values())
    worker.begin_life(incarnation)
    fleet.note_unknown_jobs(worker, set())
    for run in under_way:
        if run.is_listed:
            fleet.release(run)
            continue
        run.seen_clock_ms = run.until_clock_ms = None
        late_ms = settings.late_order_ms + settings.longest_lease_ms
        worker.extend_lease(settings, late_ms, fleet.now_ms)
        fleet.stop(run, "the worker restarted while the order was under way")
    if under_way:
        fleet.note("worker_restarted", worker=worker.worker_id, runs=len(under_way))


def _take_ends(fleet: Fleet, worker: Worker, event: WorkerReport) -> bool:
    """Take the ends that are new; return whether none had to be left for later.

    An end of a job that is not known yet stays unacknowledged, and with it all that
    follow; but those that can be taken are, as their tasks must not start again.
    """
    is_complete = True
    for ended in sorted(event.ended):
        if ended.number <= worker.seen_end:
            continue
        if ended.number not in worker.taken_ends:
            if _may_become_known(fleet, worker, ended.task.job_id):
                is_complete = False
                continue
            take_end(fleet, worker, ended)
            worker.taken_ends.add(ended.number)
        if is_complete:
            worker.taken_ends.discard(ended.number)
            worker.seen_end = ended.number
            fleet.needs_commit = True
    return is_complete


def _take_running(
    fleet: Fleet, worker: Worker, event: WorkerReport, are_ends_taken: bool
) -> None:
    listed = set()
    strays: set[tuple[TaskKey, int]] = set()
    for row in event.running:
        run = worker.runs.get(row.task)
        if run is None or run.number != row.run:
            run = _adopt(fleet, worker, row, strays)
        if run is not None:
            listed.add(row.task)
            _update(fleet, run, row, event.clock_ms)
    worker.strays = strays
    if not are_ends_taken:
        return
    for run in list(worker.runs.values()):
        if run.task.key not in listed and _is_absent(run, event.clock_ms):
            fleet.note(
                "run_absent",
                job=run.task.key.job_id,
                task=tuple(run.task.key[1:]),
                run=run.number,
                worker=worker.worker_id,
            )
            fleet.abandon(run)


def _is_absent(run: Run, clock_ms: int) -> bool:
    if run.seen_clock_ms is not None:
        return clock_ms > run.seen_clock_ms
    if run.until_clock_ms is None:
        return False
    return clock_ms > run.until_clock_ms + SETTLE_MARGIN_MS


def _adopt(
    fleet: Fleet,
    worker: Worker,
    row: RunningTask,
    strays: set[tuple[TaskKey, int]],
) -> Run | None:
    """Return the run of a listed task, or stop it when it must not run here."""
    task = fleet.task(row.task)
    is_open = task is not None and not task.step.job.state.is_final
    if task is not None and is_open and not task.done and task.run is None:
        run = Run(task, row.run, worker.worker_id, task.step.need, fleet.now_ms)
        run.state = RunState.RUNNING
        task.run = run
        task.number = max(task.number, row.run)
        worker.add(run)
        return run
    strays.add((row.task, row.run))
    job_id = row.task.job_id
    if not _may_become_known(fleet, worker, job_id):
        fleet.note(
            "stray_run_stopping",
            job=job_id,
            task=tuple(row.task[1:]),
            run=row.run,
            worker=worker.worker_id,
            job_known=fleet.is_known(job_id),
        )
        fleet.emit(StopRun(worker.worker_id, worker.entry.address, row.task, row.run))
    return None


def _update(fleet: Fleet, run: Run, row: RunningTask, clock_ms: int) -> None:
    task = run.task
    run.seen_clock_ms = clock_ms
    run.is_listed = True
    task.step.was_running = True
    run.load = row.load
    if run.state is RunState.SENT:
        run.state = RunState.RUNNING
    if row.percent > run.percent:
        run.progressed_ms = fleet.now_ms
        run.still_reports = 0
    else:
        run.still_reports += 1
        if row.percent < run.percent:
            run.progressed_ms = fleet.now_ms
    run.percent = row.percent
    if row.checkpoint:
        task.checkpoint = row.checkpoint
    mark_started(task.step.job)


def mark_started(job) -> None:
    """Note that a task of the job has started."""
    job.has_started = True
    if job.state is JobState.QUEUED:
        job.state = JobState.RUNNING


def _named_jobs(worker: Worker, event: WorkerReport) -> set[str]:
    """Return the jobs of listed runs and of ends that are new."""
    named = {row.task.job_id for row in event.running}
    named.update(
        ended.task.job_id for ended in event.ended if ended.number > worker.seen_end
    )
    return named


def _may_become_known(fleet: Fleet, worker: Worker, job_id: str) -> bool:
    """Return whether a job that a worker names may still be read from the store."""
    if fleet.is_known(job_id):
        return False
    since_ms = worker.unknown_jobs.get(job_id, fleet.now_ms)
    return fleet.jobs_read_ms < since_ms + fleet.settings.stray_grace_ms


def _forget_if_gone(fleet: Fleet, worker: Worker) -> None:
    if worker.runs or not worker.is_silent or fleet.now_ms < worker.lease_end_ms:
        return
    fleet.note_unknown_jobs(worker, set())
    del fleet.workers[worker.worker_id]
    drop_from_roster(fleet, worker.worker_id)
    fleet.note("worker_gone", worker=worker.worker_id)
