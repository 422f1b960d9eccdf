"""Jobs of random shape."""

from random import Random

from marigoldpath_core.jobs import JobSpec, Resources, StepSpec


def random_job(random: Random, job_id: str, gangs: float) -> JobSpec:
    """Return a job of 1 to 3 steps, each after the one before it.

    `gangs` is the share of first steps whose tasks work only together.
    """
    steps = []
    for number in range(random.choice([1, 1, 2, 3])):
        gang = gangs > 0 and random.random() < gangs
        steps.append(
            StepSpec(
                width=random.randint(1, 8),
                need=Resources(random.randint(500, 8_000), random.randint(500, 16_000)),
                estimate_ms=random.randint(100, 4_000),
                after=(number - 1,) if number else (),
                gang=gang and number == 0,
                checkpointable=random.random() < 0.5,
            )
        )
    return JobSpec(job_id, f"payload of {job_id}", tuple(steps))
