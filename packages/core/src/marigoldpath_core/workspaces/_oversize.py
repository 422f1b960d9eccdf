"""Finds steps that can never start within the quota of their workspace."""

from typing import NamedTuple

from marigoldpath_core.jobs import JobSpec, Resources


class QuotaRefusal(NamedTuple):
    """Why a job can never be completed: one step needs more than the whole quota.

    The step number `step` needs `needed` of `resource` at once, and the quota is
    `quota`.
    """

    cause: str
    step: int
    resource: str
    needed: int
    quota: int

    @property
    def message(self) -> str:
        """The reason for the caller."""
        return (
            f"steps[{self.step}] needs {self.needed} of {self.resource} at once, "
            f"and the quota of its workspace is {self.quota}"
        )


def refuse_if_oversize(spec: JobSpec, quota: Resources) -> QuotaRefusal | None:
    """Return a refusal if a step can never start within a quota.

    That is a step with one task that is larger than the quota, or with a gang that is,
    as all tasks of a gang run at the same time. An amount of 0 is no limit.
    """
    for number, step in enumerate(spec.steps):
        tasks = step.width if step.gang else 1
        for resource, amount, limit in zip(Resources._fields, step.need, quota):
            needed = tasks * amount
            if limit and needed > limit:
                return QuotaRefusal("quota", number, resource, needed, limit)
    return None
