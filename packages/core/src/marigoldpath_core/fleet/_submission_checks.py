"""Decides whether an entry host refuses a new job, and for which reason."""

from collections.abc import Callable
from typing import NamedTuple

from marigoldpath_core.jobs import JobSpec, Queue, Workspace
from marigoldpath_core.registry import Registry
from marigoldpath_core.workspaces import QuotaRefusal, refuse_if_oversize

from ._admission import Backlog, Refusal, refuse_if_late
from ._rate_limit import RateRefusal, refuse_if_rate_limited

AnyRefusal = QuotaRefusal | RateRefusal | Refusal


class Submission(NamedTuple):
    """A job that a caller submits; `workspace` is None if it belongs to none."""

    spec: JobSpec
    queue: Queue
    workspace: Workspace | None = None


class AdmissionState(NamedTuple):
    """What a host knows from the leader's status, and the time of the decision.

    `now_ms` is milliseconds since the Unix epoch. `spread` is a random number between 0
    and 1, as for `refuse_if_late`.
    """

    backlog: Backlog
    limited_workspaces: dict[str, int]
    now_ms: int
    spread: float


SubmissionCheck = Callable[[Submission, AdmissionState], AnyRefusal | None]
# By the reason under which refusals are counted. The first refusal in this order is
# returned: a job that can never be completed is not told to come back.
submission_checks: Registry[str, SubmissionCheck] = Registry("submission check")


class ReasonedRefusal(NamedTuple):
    """A refusal, and the reason under which it is counted."""

    reason: str
    refusal: AnyRefusal


def find_refusal(
    submission: Submission, state: AdmissionState
) -> ReasonedRefusal | None:
    """Return the first refusal of a job, or None if it is to be accepted."""
    for reason in submission_checks:
        refusal = submission_checks.get(reason)(submission, state)
        if refusal is not None:
            return ReasonedRefusal(reason, refusal)
    return None


@submission_checks.register("over_quota")
def _check_quota(submission: Submission, _state: AdmissionState) -> AnyRefusal | None:
    if submission.workspace is None:
        return None
    return refuse_if_oversize(submission.spec, submission.workspace.quota)


@submission_checks.register("rate_limited")
def _check_rate(submission: Submission, state: AdmissionState) -> AnyRefusal | None:
    if submission.workspace is None:
        return None
    return refuse_if_rate_limited(
        submission.spec.job_id,
        submission.workspace.name,
        state.limited_workspaces,
        state.now_ms,
    )


@submission_checks.register("overload")
def _check_backlog(submission: Submission, state: AdmissionState) -> AnyRefusal | None:
    return refuse_if_late(
        submission.spec, submission.queue, state.backlog, state.spread
    )
