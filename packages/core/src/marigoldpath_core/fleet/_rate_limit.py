"""Refuses a part of the new jobs of workspaces that exceed their rate limit."""

from hashlib import blake2b
from typing import NamedTuple

# A refused job gets another decision in the next period.
DECISION_PERIOD_MS = 5_000
# The share of admitted jobs, in thousandths, that is no limit.
ADMIT_ALL = 1_000
# Refused callers return after 1 s to this many seconds.
MAX_RETRY_AFTER_S = 5
# The leader names at most this many workspaces in its status, which each host requests
# several times a second.
MAX_LIMITED_WORKSPACES = 64


class RateRefusal(NamedTuple):
    """Why a job of a rate-limited workspace is refused, and when to submit it again.

    Of 1,000 new jobs of the workspace, `admitted_per_mille` are accepted now.
    """

    cause: str
    admitted_per_mille: int
    retry_after_s: int

    @property
    def message(self) -> str:
        """The reason for the caller."""
        return (
            "the workspace submits more jobs than its rate limit permits; now "
            f"{self.admitted_per_mille} of {ADMIT_ALL} new jobs are accepted"
        )


def refuse_if_rate_limited(
    job_id: str, workspace: str, limited_workspaces: dict[str, int], now_ms: int
) -> RateRefusal | None:
    """Return a refusal if a job is not in the admitted part of its workspace's jobs.

    `now_ms` is milliseconds since the Unix epoch. Every host makes the same decision
    about a job id within a period, so that a refused caller gains nothing by repeats at
    other hosts.
    """
    admitted_per_mille = limited_workspaces.get(workspace)
    if admitted_per_mille is None:
        return None
    number = _hash(job_id, now_ms // DECISION_PERIOD_MS)
    if number % ADMIT_ALL < admitted_per_mille:
        return None
    # The remainder that the decision was made by has few values if most are admitted.
    spread = number // ADMIT_ALL
    return RateRefusal("rate", admitted_per_mille, 1 + spread % MAX_RETRY_AFTER_S)


def _hash(job_id: str, period: int) -> int:
    # A CRC would not do: the CRCs of one id in two periods differ by a constant, so
    # that the decisions in successive periods would depend on each other.
    text = f"{job_id} {period}"
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())
