"""How many tasks fit into what is free."""

from marigoldpath_core.jobs import Resources, StepSpec


def count_fitting(spec: StepSpec, need: Resources, room: Resources) -> int:
    """Return how many tasks of a step, each with `need`, one worker's room takes."""
    fits = [have // want for have, want in zip(room, need) if want]
    if spec.max_per_worker:
        fits.append(spec.max_per_worker)
    return max(0, min(fits, default=spec.width))
