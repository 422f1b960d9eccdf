"""Begins the occurrences of jobs whose steps run several times.

A caller may submit a job with any number of occurrences, and very many of them may be
due at once, also after a long time without a leader. So only some occurrences of a job
are open at the same time, and the others begin as these make progress. A job that waits
for this is logged as `occurrences_waiting`. Its next occurrence begins once all tasks
of an open step have started or ended, or at once if none is open.
"""

from itertools import islice

from marigoldpath_core.jobs import Progress, TaskKey

from ._fleet import Fleet
from ._job import Job
from ._job_steps import begin_occurrence, finish_if_done
from ._work import Task

# The time between two lines about the waiting occurrences of one job.
LOG_INTERVAL_MS = 5_000


def begin_due_occurrences(fleet: Fleet) -> None:
    """Begin the occurrences whose start time has passed, as far as there is room."""
    for job in list(fleet.scheduled_jobs.values()):
        _begin_due(fleet, job)


def _begin_due(fleet: Fleet, job: Job) -> None:
    new_steps = len(job.spec.steps)
    waiting_steps: int | None = None
    # Those that workers reported have begun already.
    while not job.state.is_final and job.begun_occurrences < job.occurrences:
        if _due_ms(job, job.begun_occurrences) > fleet.wall_ms:
            return
        if waiting_steps is None:
            waiting_steps = _count_waiting(fleet, job)
        if job.open_occurrences and (
            waiting_steps >= fleet.settings.max_waiting_occurrence_steps
            or len(job.steps) + new_steps > fleet.settings.max_open_occurrence_steps
        ):
            _log_waiting(fleet, job, waiting_steps)
            return
        begin_occurrence(fleet, job, job.begun_occurrences)
        waiting_steps += new_steps


def _due_ms(job: Job, occurrence: int) -> int:
    return job.spec.start_ms + occurrence * job.spec.interval_ms


def _count_waiting(fleet: Fleet, job: Job) -> int:
    """Return how many steps of the job have tasks that could start with more room.

    The count ends at the limit to which it is compared.
    """
    limit = fleet.settings.max_waiting_occurrence_steps
    waiting = (
        step
        for step in job.steps.values()
        if step.waiting_tasks and step.key in fleet.open_steps
    )
    return sum(1 for _ in islice(waiting, limit))


def _log_waiting(fleet: Fleet, job: Job, waiting_steps: int) -> None:
    if fleet.now_ms - job.waiting_logged_ms < LOG_INTERVAL_MS:
        return
    job.waiting_logged_ms = fleet.now_ms
    fleet.log(
        "occurrences_waiting",
        job=job.spec.job_id,
        begun=job.begun_occurrences,
        occurrences=job.occurrences,
        open=len(job.open_occurrences),
        open_steps=len(job.steps),
        waiting_steps=waiting_steps,
    )


def restore_occurrences(fleet: Fleet, job: Job, progress: Progress) -> None:
    """Begin the occurrences that were open when the progress was stored."""
    if not progress.begun_occurrences and not progress.begun_early:
        # Earlier builds stored the progress of all occurrences that had begun.
        open_occurrences = tuple(range(progress.last_occurrence + 1))
    else:
        open_occurrences = progress.occurrences
        job.restore_begun(progress)
    if open_occurrences:
        _log_adopted(fleet, job, open_occurrences[0], open_occurrences[-1])
    for occurrence in open_occurrences:
        if occurrence < job.occurrences:
            begin_occurrence(fleet, job, occurrence)
    finish_if_done(fleet, job)


def _log_adopted(fleet: Fleet, job: Job, first: int, last: int) -> None:
    fleet.log("occurrences_adopted", job=job.spec.job_id, first=first, last=last)


def find_reported_task(fleet: Fleet, key: TaskKey) -> Task | None:
    """Return the task of a run that a worker reported, None if no open job has it.

    A run shows that a leader has begun its occurrence, so the occurrence begins here as
    well. This leader's clock may be behind, or its next Tick may not have come yet.
    """
    job = fleet.jobs.get(key.job_id)
    if job is None or job.state.is_final:
        return None
    if _has_task(job, key) and not job.is_begun(key.occurrence):
        _log_adopted(fleet, job, key.occurrence, key.occurrence)
        begin_occurrence(fleet, job, key.occurrence)
    return fleet.task(key)


def _has_task(job: Job, key: TaskKey) -> bool:
    steps = job.spec.steps
    return (
        key.occurrence < job.occurrences
        and key.step < len(steps)
        and key.task_index < steps[key.step].width
    )
