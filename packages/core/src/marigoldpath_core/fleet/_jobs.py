"""Acceptance and cancellation of jobs, and changes of the queues."""

from marigoldpath_core.jobs import JobState, StepSpec

from ._capacity import count_fitting
from ._fleet import Fleet, handlers
from ._job import Job
from ._job_steps import begin_occurrence, finish_job
from ._messages import JobAccepted, JobCancelled, JobsRead, QueuesChanged
from ._occurrences import restore_occurrences
from ._pools import current_pools
from ._quotas import record_ended_job, update_workspaces
from ._shares import record_new_job
from ._worker import Worker


@handlers.register(JobAccepted)
def accept(fleet: Fleet, event: JobAccepted) -> None:
    """Open a job and its first steps, unless it is open or final already.

    A job of a later epoch shows that this leader has been superseded.
    """
    accepted, progress = event
    job_id = accepted.spec.job_id
    if job_id in fleet.jobs or job_id in fleet.final_states:
        return
    if accepted.epoch > fleet.epoch:
        fleet.log("deposed", reason="job of a later epoch", epoch=accepted.epoch)
        fleet.superseded = True
        return
    if progress is not None and progress.state.is_final:
        fleet.record_final_state(job_id, progress.state)
        record_ended_job(fleet, accepted, progress.state)
        record_new_job(fleet, accepted, None)
        return
    queue = fleet.queues.get(accepted.queue.name, accepted.queue)
    job = Job(accepted._replace(queue=queue), progress)
    fleet.jobs[job_id] = job
    fleet.directory.job_services.add(queue.service)
    if progress is not None:
        job.state = progress.state
        job.has_started = progress.state is JobState.RUNNING
    job.accepted_at_ms = fleet.now_ms - _age_ms(fleet, job)
    job.due_ms = job.accepted_at_ms + _allowed_ms(job)
    record_new_job(fleet, accepted, job)
    fleet.log(
        "job_known",
        job=job_id,
        queue=queue.name,
        age_ms=_age_ms(fleet, job),
        steps=[step.width for step in job.spec.steps],
        occurrences=job.occurrences,
        accepted_epoch=accepted.epoch,
    )
    has_majority = fleet.earlier_leaders.majority_reported_ms is not None
    if job.zone and has_majority and not _suits_home_zone(fleet, job):
        # Requested now, so that the permission is stored while the advice request is in
        # flight and causes no further delay.
        fleet.request_zone_exit(job)
    if job_id in fleet.cancelled:
        finish_job(fleet, job, JobState.CANCELLED, "cancelled before it was read")
    elif job.spec.occurrences:
        fleet.scheduled_jobs[job_id] = job
        if progress is not None:
            # A commit replaces the stored progress, so it has to include that of all
            # open occurrences.
            restore_occurrences(fleet, job, progress)
    else:
        begin_occurrence(fleet, job, 0)


@handlers.register(JobCancelled)
def cancel(fleet: Fleet, event: JobCancelled) -> None:
    """Finish a job whose cancellation is stored, or do so when the job is read."""
    if event.job_id in fleet.cancelled or event.job_id in fleet.final_states:
        return
    fleet.cancelled.add(event.job_id)
    job = fleet.jobs.get(event.job_id)
    if job is not None and not job.state.is_final:
        finish_job(fleet, job, JobState.CANCELLED, "cancelled by the caller")


@handlers.register(JobsRead)
def record_jobs_read(fleet: Fleet, event: JobsRead) -> None:
    """Record that every job stored before `began_ms` is known now."""
    fleet.jobs_read_ms = max(fleet.jobs_read_ms, event.began_ms)


@handlers.register(QueuesChanged)
def apply_queues(fleet: Fleet, event: QueuesChanged) -> None:
    """Apply the queue policies of a new configuration, also to open jobs."""
    fleet.queues = event.queues
    fleet.directory.configured_services = {
        queue.service for queue in event.queues.values()
    }
    update_workspaces(fleet, event)
    fleet.priority_classes = {
        queue.priority_class: queue for queue in event.queues.values()
    }
    for job in fleet.jobs.values():
        queue = event.queues.get(job.queue.name)
        if queue is not None:
            job.accepted = job.accepted._replace(queue=queue)
    fleet.needs_dispatch = True


def _suits_home_zone(fleet: Fleet, job: Job) -> bool:
    return _has_data_in_home_zone(fleet, job) and _fits_in_home_zone(fleet, job)


def _has_data_in_home_zone(fleet: Fleet, job: Job) -> bool:
    """Return whether no step has its data in a rack of another zone.

    It does not matter if the cost of the wrong rack is not known, or if no worker of
    the rack is usable.
    """
    if fleet.speeds.remote_factor <= 1:
        return True
    racks = current_pools(fleet).racks(job.queue.service)
    near = [racks.get(spec.data_rack, []) for spec in job.spec.steps if spec.data_rack]
    # All workers of a rack are in one zone.
    return all(workers[0].entry.zone == job.zone for workers in near if workers)


def _fits_in_home_zone(fleet: Fleet, job: Job) -> bool:
    """Return whether every step fits into a part of the zone's free capacity.

    The part is `home_zone_fraction`.
    """
    usable = current_pools(fleet).get(job.queue.service).zones.get(job.zone, [])
    fraction = fleet.settings.home_zone_fraction
    return all(
        _has_room_for(spec, usable, spec.width / fraction) for spec in job.spec.steps
    )


def _has_room_for(spec: StepSpec, workers: list[Worker], tasks: float) -> bool:
    """Return whether this number of tasks of a step fits on the workers now."""
    capacity = 0
    for worker in workers:
        capacity += count_fitting(spec, spec.need, worker.free)
        if capacity >= tasks:
            return True
    return False


def _allowed_ms(job: Job) -> float:
    return job.queue.allowed_ms(job.spec.critical_path_ms)


def _age_ms(fleet: Fleet, job: Job) -> int:
    # The clocks of hosts differ, so `accepted_ms` can be later than this host's time.
    return max(0, fleet.wall_ms - job.accepted.accepted_ms) if fleet.wall_ms else 0
