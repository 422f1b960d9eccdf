"""Random jobs."""

from random import Random

from marigoldpath_core.jobs import JobSpec, Resources, StepSpec

# The first occurrence of a job is due, and the next ones follow, within these times.
MAX_START_DELAY_MS = 2_000
INTERVAL_MS = (300, 6_000)


def schedule_job(random: Random, spec: JobSpec, now_ms: float) -> JobSpec:
    """Return the job with one to three occurrences, which may overlap.

    `now_ms` is the time of the caller's clock.
    """
    return spec._replace(
        occurrences=random.randint(1, 3),
        start_ms=int(now_ms) + random.randint(0, MAX_START_DELAY_MS),
        interval_ms=random.randint(*INTERVAL_MS),
    )


def random_job(random: Random, job_id: str, gang_share: float) -> JobSpec:
    """Return a job of 1 to 3 steps, each of which depends on the step before it.

    `gang_share` is the probability that the tasks of the first step form a gang.
    """
    steps = []
    for number in range(random.choice([1, 1, 2, 3])):
        gang = gang_share > 0 and random.random() < gang_share
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
