"""Acceptance, cancellation and the end of jobs."""

from marigoldpath_core.jobs import JobState

from ._fleet import Fleet, handlers
from ._messages import JobAccepted, JobCancelled, JobsRead, QueuesChanged
from ._room import count_fitting
from ._work import Job, Step, Task


@handlers.register(JobAccepted)
def accept(fleet: Fleet, event: JobAccepted) -> None:
    """Open a job that is not known yet."""
    accepted, progress = event
    job_id = accepted.spec.job_id
    if job_id in fleet.jobs or job_id in fleet.final:
        return
    if accepted.epoch > fleet.epoch:
        fleet.note("deposed", reason="job of a later epoch", epoch=accepted.epoch)
        fleet.deposed = True
        return
    if progress is not None and progress.state.is_final:
        fleet.close(job_id, progress.state)
        return
    queue = fleet.queues.get(accepted.queue.name, accepted.queue)
    job = Job(accepted._replace(queue=queue), progress)
    fleet.jobs[job_id] = job
    if progress is not None:
        job.state = progress.state
        job.has_started = progress.state is JobState.RUNNING
    job.due_ms = fleet.now_ms + _objective_ms(job) - _age_ms(fleet, job)
    fleet.note(
        "job_known",
        job=job_id,
        queue=queue.name,
        age_ms=_age_ms(fleet, job),
        steps=[step.width for step in job.spec.steps],
        accepted_epoch=accepted.epoch,
    )
    if job.zone and fleet.majority_heard_ms and not _has_room_at_home(fleet, job):
        # It is stored while the advice service is asked.
        fleet.spread(job)
    if job_id in fleet.cancelled:
        finish(fleet, job, JobState.CANCELLED, "cancelled before it was known")
    elif job.spec.occurrences:
        fleet.future_jobs[job_id] = job
    else:
        begin_occurrence(fleet, job, 0)


@handlers.register(JobCancelled)
def cancel(fleet: Fleet, event: JobCancelled) -> None:
    """Stop a job whose cancellation is stored."""
    if event.job_id in fleet.cancelled or event.job_id in fleet.final:
        return
    fleet.cancelled.add(event.job_id)
    job = fleet.jobs.get(event.job_id)
    if job is not None and not job.state.is_final:
        finish(fleet, job, JobState.CANCELLED, "cancelled by the caller")


@handlers.register(JobsRead)
def note_jobs_read(fleet: Fleet, event: JobsRead) -> None:
    """Note that a job which is not known now was not stored at `began_ms`."""
    fleet.jobs_read_ms = max(fleet.jobs_read_ms, event.began_ms)


@handlers.register(QueuesChanged)
def change_queues(fleet: Fleet, event: QueuesChanged) -> None:
    """Apply the policies of a new configuration to open jobs too."""
    fleet.queues = event.queues
    for job in fleet.jobs.values():
        queue = event.queues.get(job.queue.name)
        if queue is not None:
            job.accepted = job.accepted._replace(queue=queue)
    fleet.needs_dispatch = True


def begin_due_occurrences(fleet: Fleet) -> None:
    """Begin the occurrences whose time has come."""
    for job in list(fleet.future_jobs.values()):
        spec = job.spec
        while job.begun_occurrences < spec.occurrences:
            due_ms = spec.start_ms + job.begun_occurrences * spec.interval_ms
            if due_ms > fleet.wall_ms:
                break
            job.due_ms = fleet.now_ms + _objective_ms(job)
            begin_occurrence(fleet, job, job.begun_occurrences)
        if job.begun_occurrences >= spec.occurrences:
            del fleet.future_jobs[spec.job_id]


def begin_occurrence(fleet: Fleet, job: Job, occurrence: int) -> None:
    """Open the steps of an occurrence that wait for nothing."""
    for step in job.begin_occurrence(occurrence):
        if step.left and job.predecessors_done(step):
            _open(fleet, step)
    _finish_if_done(fleet, job)


def complete_task(fleet: Fleet, task: Task) -> None:
    """Note a task as done and open what waited for its step."""
    if task.done:
        return
    step = task.step
    job = step.job
    task.done = True
    task.checkpoint = ""
    step.left -= 1
    fleet.mark_dirty(job)
    if step.left:
        return
    fleet.open_steps.pop(step.key, None)
    for (occurrence, _), other in job.steps.items():
        if occurrence != step.occurrence or not other.left:
            continue
        if step.number in other.spec.after and job.predecessors_done(other):
            before = [job.steps[occurrence, number] for number in other.spec.after]
            other.is_fresh = any(each.was_running or each.is_fresh for each in before)
            _open(fleet, other)
    _finish_if_done(fleet, job)


def finish(fleet: Fleet, job: Job, state: JobState, reason: str) -> None:
    """End a job, stop what runs of it and store the outcome."""
    job.state = state
    fleet.future_jobs.pop(job.spec.job_id, None)
    for step in job.steps.values():
        fleet.open_steps.pop(step.key, None)
        for task in step.tasks:
            if task.run is not None and not task.done:
                fleet.stop(task.run, state.value)
    fleet.mark_dirty(job)
    fleet.note(
        "job_ended",
        job=job.spec.job_id,
        queue=job.queue.name,
        state=state.value,
        reason=reason,
        late_ms=round(fleet.now_ms - job.due_ms),
    )


def _open(fleet: Fleet, step: Step) -> None:
    fleet.open_steps[step.key] = step
    fleet.needs_dispatch = True


def _finish_if_done(fleet: Fleet, job: Job) -> None:
    if job.state.is_final or job.begun_occurrences < job.occurrences:
        return
    if all(step.left == 0 for step in job.steps.values()):
        finish(fleet, job, JobState.DONE, "all tasks are done")


def _has_room_at_home(fleet: Fleet, job: Job) -> bool:
    """Return whether the widest step is likely to fit into the job's zone now."""
    usable = [
        worker
        for worker in fleet.workers.values()
        if worker.entry.zone == job.zone
        and worker.entry.service == job.queue.service
        and worker.is_usable(fleet.now_ms)
    ]
    for spec in job.spec.steps:
        room = sum(count_fitting(spec, spec.need, worker.free) for worker in usable)
        if room * fleet.settings.home_share < spec.width:
            return False
    return True


def _objective_ms(job: Job) -> float:
    return job.queue.stretch * job.longest_chain_ms() + job.queue.target_ms


def _age_ms(fleet: Fleet, job: Job) -> int:
    # Clocks of two hosts differ; a job is never younger than known here.
    return max(0, fleet.wall_ms - job.accepted.accepted_ms) if fleet.wall_ms else 0
