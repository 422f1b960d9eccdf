"""Counts how many tasks of a step fit into given resources."""

from marigoldpath_core.jobs import Resources, StepSpec


def count_fitting(spec: StepSpec, need: Resources, free: Resources) -> int:
    """Return how many tasks that each use `need` fit on a worker with `free` resources.

    The result is at most the step's `max_per_worker`. A task that needs no resources is
    limited by that or, without such a limit, by the width of the step.
    """
    fits = [have // want for have, want in zip(free, need) if want]
    if spec.max_per_worker:
        fits.append(spec.max_per_worker)
    return max(0, min(fits, default=spec.width))
