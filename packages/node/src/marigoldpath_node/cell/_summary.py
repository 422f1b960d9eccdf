"""Summarizes a leader's open jobs for its own callers and for the other hosts."""

import math
from typing import NamedTuple

from marigoldpath_core.fleet import Backlog, FleetScheduler

from ._clock import now_ms, now_s

# A summary is reused for this time, because it examines every job.
SUMMARY_LIFETIME_S = 0.3


class JobsSummary(NamedTuple):
    """What a leader reports about its open jobs.

    `pending` is the number of jobs that have not started, by queue. Workspaces that
    exceed their rate limit are in `limited_workspaces`, with the number of new jobs out
    of 1,000 that the hosts accept.
    """

    pending: dict[str, int] = {}  # noqa: RUF012
    backlog: Backlog = Backlog()
    limited_workspaces: dict[str, int] = {}  # noqa: RUF012


class JobsSummarizer:
    """Keeps the last summary for `SUMMARY_LIFETIME_S`."""

    def __init__(self) -> None:
        self._summary = JobsSummary()
        self._summarized_s = -math.inf

    def summarize(self, scheduler: FleetScheduler | None) -> JobsSummary:
        """Return a summary of the scheduler's jobs, which is empty without one."""
        if scheduler is not None and now_s() - self._summarized_s >= SUMMARY_LIFETIME_S:
            self._summarized_s = now_s()
            self._summary = JobsSummary(
                scheduler.pending(),
                scheduler.backlog(now_ms()),
                scheduler.limited_workspaces(now_ms()),
            )
        return self._summary
