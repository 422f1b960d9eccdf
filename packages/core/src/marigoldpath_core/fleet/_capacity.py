"""Counts the tasks that fit into free resources."""

from marigoldpath_core.jobs import Resources, StepSpec


def count_fitting(spec: StepSpec, need: Resources, free: Resources) -> int:
    """Return how many tasks of a step fit on a worker with `free` resources."""
    fits = [have // want for have, want in zip(free, need) if want]
    if spec.max_per_worker:
        fits.append(spec.max_per_worker)
    return max(0, min(fits, default=spec.width))
