"""Refuses submissions that this host need not or must not store."""

from random import Random

from marigoldpath_core.fleet import (
    AdmissionState,
    Backlog,
    Submission,
    find_refusal,
)
from marigoldpath_core.workspaces import QuotaRefusal

from ._clock import wall_ms
from ._election import Election
from ._job_writer import JobWriter
from ._ports import CellDependencies, StoreError
from ._records import read_job
from ._summary import JobsSummary

# An older list of rate-limited workspaces refuses no job: these workspaces may send
# fewer jobs since.
MAX_LIMITS_AGE_S = 3.0


class OverQuotaError(Exception):
    """The job was not accepted, because its workspace's quota is too small for it."""


class OverloadedError(Exception):
    """The job was not accepted now, but may be `retry_after_s` later."""

    def __init__(self, message: str, retry_after_s: int) -> None:
        super().__init__(message)
        self.retry_after_s = retry_after_s


class AdmissionControl:
    """Decides by the leader's status which submissions of callers are refused."""

    def __init__(
        self,
        dependencies: CellDependencies,
        election: Election,
        job_writer: JobWriter,
    ) -> None:
        self._store = dependencies.store
        self._log = dependencies.log
        self._metrics = dependencies.metrics
        self._election = election
        self._job_writer = job_writer
        self._random = Random()

    async def check(
        self, submission: Submission, own_summary: JobsSummary | None
    ) -> None:
        """Raise OverQuotaError or OverloadedError if a job is to be refused.

        `own_summary` is the summary of this host if it is the leader. A job that is
        stored, or may be, is never refused: the caller would be told that it does not
        run.
        """
        summary = self._reported_summary() if own_summary is None else own_summary
        state = AdmissionState(
            summary.backlog,
            summary.limited_workspaces,
            wall_ms(),
            self._random.random(),
        )
        found = find_refusal(submission, state)
        job_id = submission.spec.job_id
        if found is None or await self._may_be_stored(job_id):
            return
        reason, refusal = found
        workspace = submission.workspace
        self._metrics.count_submission("refused")
        self._metrics.count_refusal(reason)
        self._log.info(
            "job_refused",
            job=job_id,
            queue=submission.queue.name,
            workspace="" if workspace is None else workspace.name,
            **refusal._asdict(),
        )
        if isinstance(refusal, QuotaRefusal):
            raise OverQuotaError(refusal.message)
        raise OverloadedError(refusal.message, refusal.retry_after_s)

    def _reported_summary(self) -> JobsSummary:
        """Return what the leader reported, which is empty while none is known."""
        status = self._election.leader_status
        if self._election.leader is None or status is None:
            return JobsSummary()
        backlog = Backlog(status.starts_backlog_ms, status.work_backlog_ms)
        limited = status.limited_workspaces
        if self._election.leader_status_age_s > MAX_LIMITS_AGE_S:
            limited = {}
        return JobsSummary(status.pending, backlog, limited)

    async def _may_be_stored(self, job_id: str) -> bool:
        if self._job_writer.may_have_stored(job_id):
            return True
        try:
            is_stored = await read_job(self._store, job_id) is not None
        except StoreError as error:
            self._log.info("job_not_looked_up", job=job_id, reason=repr(error))
            return True
        # Another submission may have begun to store the job during the read.
        return is_stored or self._job_writer.may_have_stored(job_id)
