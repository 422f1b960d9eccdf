"""The changes of a leader that are not stored yet."""

from collections.abc import Iterable
from typing import NamedTuple

# A worker's incarnation and the number of its last termination, by worker id.
Ends = dict[str, tuple[int, int]]


class AcknowledgementBatch(NamedTuple):
    """Terminations to acknowledge once the changes of all these jobs are stored."""

    job_ids: set[str]
    ends: Ends


class UnstoredJobs:
    """The jobs with changes to store, the one that has waited longest first.

    With more changed jobs than a commit takes, an order by id would keep the last ones
    from being stored as long as the first ones change again.
    """

    def __init__(self) -> None:
        # The jobs whose progress is to be deleted.
        self.removed: set[str] = set()
        self._job_ids: dict[str, None] = {}
        self._batch: AcknowledgementBatch | None = None

    def __bool__(self) -> bool:
        return bool(self._job_ids)

    def add(self, job_id: str) -> None:
        """Add a job unless it waits already."""
        self._job_ids.setdefault(job_id)

    def take(self, limit: int) -> list[str]:
        """Remove and return at most `limit` jobs."""
        taken = list(self._job_ids)[:limit]
        for job_id in taken:
            del self._job_ids[job_id]
        return taken

    def put_back(self, job_ids: Iterable[str]) -> None:
        """Add jobs again that were not stored, before all others."""
        self._job_ids = {**dict.fromkeys(job_ids), **self._job_ids}
        self._batch = None

    def take_ends(self, stored_job_ids: list[str], ends: Ends) -> Ends:
        """Return the terminations that a commit of these jobs acknowledges.

        `ends` are all that have been applied. Their effects are stored once all jobs
        that have changed by now are, which may take several commits.
        """
        if self._batch is None:
            changed = {*stored_job_ids, *self._job_ids}
            self._batch = AcknowledgementBatch(changed, ends)
        self._batch.job_ids.difference_update(stored_job_ids)
        if self._batch.job_ids:
            return {}
        acknowledged = self._batch.ends
        self._batch = None
        return acknowledged
