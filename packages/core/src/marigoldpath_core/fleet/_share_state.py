"""The state by which the capacity is shared between workspaces."""

from typing import NamedTuple

from marigoldpath_core.jobs import Resources

from ._arrivals import Arrivals
from ._job import Job


class ShareLevel(NamedTuple):
    """The fair share of each workspace with waiting tasks, as a part of `capacity`."""

    capacity: Resources
    limits: dict[str, float]


class NewJob(NamedTuple):
    """A job that has not been counted for the rate of its workspace.

    `job` is None if it was final when this leader read it.
    """

    accepted_ms: int
    job_id: str
    workspace: str
    job: Job | None


class TokenBucket(NamedTuple):
    """The jobs that a workspace may still send at the time `updated_ms`."""

    tokens: float
    updated_ms: float

    def refilled(self, weight: float, now_ms: float) -> "TokenBucket":
        """Return the bucket at a later time; an earlier time changes nothing."""
        now_ms = max(now_ms, self.updated_ms)
        added = weight * (now_ms - self.updated_ms) / 1_000
        return TokenBucket(min(burst_of(weight), self.tokens + added), now_ms)


class ShareState:
    """What the leader keeps about the rates and shares of the workspaces."""

    def __init__(self) -> None:
        # The jobs that have not been counted for the rates of their workspaces.
        self.new_jobs: list[NewJob] = []
        self.buckets: dict[str, TokenBucket] = {}
        self.arrivals = Arrivals()
        # The fair shares that limit the starts of a scheduling pass now.
        self.level: ShareLevel | None = None
        # What the workspaces with waiting tasks used at the end of the last pass.
        self.last_shares: dict[str, float] = {}


def burst_of(weight: float) -> float:
    """Return how many jobs a workspace may send at once.

    That is one second's worth, but at least one job, as a lower rate than one job per
    second could never be used otherwise.
    """
    return max(1.0, weight)
