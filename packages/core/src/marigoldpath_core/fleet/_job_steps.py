"""Opens the steps of jobs, and completes tasks, steps and jobs."""

from marigoldpath_core.jobs import JobState

from ._fleet import Fleet
from ._job import Job
from ._quotas import record_ended_job
from ._sizes import record_need
from ._work import Step, Task


def begin_occurrence(fleet: Fleet, job: Job, occurrence: int) -> None:
    """Open the steps of an occurrence that have no incomplete predecessor."""
    for step in job.begin_occurrence(occurrence):
        is_open = job.is_open(occurrence) and step.remaining_tasks
        if is_open and job.predecessors_done(step):
            _open_step(fleet, step)
    if job.begun_occurrences >= job.occurrences:
        fleet.scheduled_jobs.pop(job.spec.job_id, None)
    finish_if_done(fleet, job)


def complete_task(fleet: Fleet, task: Task) -> None:
    """Mark a task as done; with its step's last task, open the steps that waited."""
    if task.done:
        return
    step = task.step
    job = step.job
    task.done = True
    task.checkpoint = ""
    step.remaining_tasks -= 1
    fleet.mark_dirty(job)
    if step.remaining_tasks:
        return
    fleet.open_steps.pop(step.key, None)
    for other in job.successors(step):
        if other.remaining_tasks and job.predecessors_done(other):
            predecessors = [
                job.steps[step.occurrence, number] for number in other.spec.after
            ]
            other.is_new_in_epoch = any(
                each.seen_running or each.is_new_in_epoch for each in predecessors
            )
            _open_step(fleet, other)
    job.complete_step(step)
    finish_if_done(fleet, job)


def finish_job(fleet: Fleet, job: Job, state: JobState, reason: str) -> None:
    """Set the final state of a job, stop its runs and queue the state for storage."""
    job.state = state
    record_ended_job(fleet, job.accepted, state)
    fleet.scheduled_jobs.pop(job.spec.job_id, None)
    for step in job.steps.values():
        fleet.open_steps.pop(step.key, None)
        for task in step.known_tasks:
            for run in () if task.done else task.runs:
                fleet.stop(run, state.value)
    fleet.mark_dirty(job)
    fleet.log(
        "job_ended",
        job=job.spec.job_id,
        queue=job.queue.name,
        state=state.value,
        reason=reason,
        late_ms=round(fleet.now_ms - job.last_due_ms),
    )


def _open_step(fleet: Fleet, step: Step) -> None:
    step.opened_ms = fleet.now_ms
    fleet.open_steps[step.key] = step
    record_need(fleet, step)
    if step.allows_copies:
        fleet.copies.steps.append(step)
    fleet.needs_dispatch = True


def finish_if_done(fleet: Fleet, job: Job) -> None:
    """Finish a job if all its occurrences are done."""
    if not job.state.is_final and job.is_done:
        finish_job(fleet, job, JobState.DONE, "all tasks are done")
