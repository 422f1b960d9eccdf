"""Converts the state of a job to the progress that is stored, and back."""

from typing import TYPE_CHECKING, Any, NamedTuple

from marigoldpath_core.jobs import Progress, RecordedStart

from ._work import Step, Task

if TYPE_CHECKING:
    from ._job import Job


class TaskProgress(NamedTuple):
    """The stored state of a task that is not done, with the fields of `Progress`."""

    failures: tuple[int, ...] = ()
    crashes: tuple[int, ...] = ()
    recorded_start: RecordedStart | None = None
    checkpoint: str = ""


class StepProgress(NamedTuple):
    """The stored state of a step: a bit mask of done tasks, and tasks by index."""

    done: int
    tasks: dict[int, TaskProgress]


def group_by_step(progress: Progress) -> dict[tuple[int, int], StepProgress]:
    """Return the progress of each step that has any, by occurrence and step."""
    steps = {key: StepProgress(mask, {}) for key, mask in progress.done.items()}
    tables: dict[str, dict[tuple[int, int, int], Any]] = {
        "failures": progress.failures,
        "crashes": progress.crashes,
        "recorded_start": progress.recorded_starts,
        "checkpoint": progress.checkpoints,
    }
    for field, table in tables.items():
        for (occurrence, step, task_index), value in table.items():
            tasks = steps.setdefault((occurrence, step), StepProgress(0, {})).tasks
            task = tasks.get(task_index, TaskProgress())
            tasks[task_index] = task._replace(**{field: value})
    return steps


def restore_step(step: Step, stored: StepProgress) -> None:
    """Restore the stored progress of a step that was just created."""
    step.restore_done(stored.done)
    for task_index, values in stored.tasks.items():
        if task_index >= step.spec.width or step.is_done(task_index):
            continue
        task = step.task(task_index)
        task.failed_runs = set(values.failures)
        task.crashed_runs = set(values.crashes)
        task.recorded_start = values.recorded_start
        step.has_unsettled_starts |= values.recorded_start is not None
        task.checkpoint = values.checkpoint


def progress_of(job: "Job") -> Progress:
    """Return the progress of a job to store.

    That of a job with several occurrences has an entry in `done` for each open one.
    """
    if job.state.is_final:
        return Progress(job.state)
    progress = Progress(job.state, {}, {}, {}, job.zone_exit_requested, {}, {})
    for key, step in job.steps.items():
        mask = step.done_mask
        if mask:
            progress.done[key] = mask
        _add_tasks(progress, step)
    if not job.spec.occurrences:
        return progress
    for occurrence in job.open_occurrences:
        progress.done.setdefault((occurrence, 0), 0)
    return progress._replace(
        begun_occurrences=job.begun_occurrences,
        begun_early=tuple(sorted(job.begun_early)),
    )


def _add_tasks(progress: Progress, step: Step) -> None:
    for task in step.known_tasks:
        if task.done:
            continue
        key = (step.occurrence, step.number, task.key.task_index)
        if task.crashed_runs:
            progress.crashes[key] = tuple(sorted(task.crashed_runs))
        if task.recorded_start is not None:
            progress.recorded_starts[key] = task.recorded_start
        if task.failed_runs:
            progress.failures[key] = tuple(sorted(task.failed_runs))
        if task.run is None and _has_own_checkpoint(task):
            progress.checkpoints[key] = task.checkpoint


def _has_own_checkpoint(task: Task) -> bool:
    """Return whether a task has a checkpoint; one task has that of a whole gang."""
    is_first = task.key.task_index == 0
    return bool(task.checkpoint) and (is_first or not task.step.spec.gang)
