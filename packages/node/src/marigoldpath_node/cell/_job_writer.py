"""Stores jobs for callers and says truly what became of them."""

from collections import deque
from enum import Enum
from typing import NamedTuple

import curio

from marigoldpath_core.jobs import AcceptedJob

from ._clock import now_s
from ._election import Election
from ._peers import NotLeadingError, PeerClient, PeerError, PeerUnreachableError
from ._ports import StoreError, StoreLostError, Surroundings
from ._records import write_job
from ._settings import CellSettings

# A leader's count of jobs is never older than this.
RECENT_S = 10.0


class Submission(Enum):
    """What is known of a job after an attempt to store it."""

    ACCEPTED = "accepted"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Receipt(NamedTuple):
    """An outcome, and the job as stored where this host has just learned it.

    A repeat may differ from the job stored first, above all in its epoch, which tells
    the leader whether an earlier one may have started it.
    """

    outcome: Submission
    job: AcceptedJob | None = None


class Acceptance:
    """Writes jobs to the store, here or through the leader."""

    def __init__(
        self, settings: CellSettings, surroundings: Surroundings, peers: PeerClient
    ) -> None:
        self._settings = settings
        self._store = surroundings.store
        self._log = surroundings.log
        self._peers = peers
        self._election: Election | None = None
        self._suspect_since_s: float | None = None
        self._outcomes: dict[str, Submission] = {}
        self._accepted: deque[tuple[float, str]] = deque()

    @property
    def is_store_suspect(self) -> bool:
        """Whether the store did not answer the last call of this host."""
        return self._suspect_since_s is not None

    @property
    def suspect_s(self) -> float:
        """Seconds since the store was lost, 0 while it answers."""
        if self._suspect_since_s is None:
            return 0.0
        return now_s() - self._suspect_since_s

    def follow(self, election: Election) -> None:
        """Use the leader that an election knows."""
        self._election = election

    def recent(self, queue: str) -> int:
        """Return how many jobs of a queue were accepted here lately."""
        self._forget_old()
        return sum(1 for _, name in self._accepted if name == queue)

    def note_store(self, *, is_working: bool, reason: str = "") -> None:
        """Note whether the store answers this host."""
        if is_working and self.is_store_suspect:
            self._log.info("store_answers")
            self._suspect_since_s = None
        elif not is_working and not self.is_store_suspect:
            self._log.info("store_silent", reason=reason)
            self._suspect_since_s = now_s()

    async def submit(self, job: AcceptedJob, patience_s: float) -> Receipt:
        """Store a job within `patience_s` and return what is known of it."""
        # An id that was accepted here stays so, and one whose fate was unknown may run.
        known = self._outcomes.get(job.spec.job_id, Submission.NOT_RUN)
        receipt = Receipt(known)
        if known is not Submission.ACCEPTED and not self.is_store_suspect:
            receipt = await self.store(job, patience_s, known)
        if receipt.outcome is not Submission.ACCEPTED:
            receipt = Receipt(await self._store_at_leader(job, receipt.outcome))
        self._remember(job.spec.job_id, receipt.outcome)
        if receipt.outcome is Submission.ACCEPTED and known is not Submission.ACCEPTED:
            self._accepted.append((now_s(), job.queue.name))
            self._forget_old()
        return receipt

    def _remember(self, job_id: str, outcome: Submission) -> None:
        if outcome is not Submission.NOT_RUN:
            self._outcomes[job_id] = outcome
            if len(self._outcomes) > self._settings.remembered_jobs:
                del self._outcomes[next(iter(self._outcomes))]

    async def store(
        self, job: AcceptedJob, patience_s: float, outcome: Submission
    ) -> Receipt:
        """Repeat the write until its outcome is known or the time is over.

        `outcome` is what is known so far.
        """
        until_s = now_s() + patience_s
        refused_until_s = now_s() + self._settings.accept_refused_s
        while True:
            try:
                left_s = max(0.05, until_s - now_s())
                stored = await curio.timeout_after(left_s, write_job, self._store, job)
                self.note_store(is_working=True)
                return Receipt(Submission.ACCEPTED, stored)
            except (StoreLostError, curio.TaskTimeout) as fault:
                outcome = Submission.UNKNOWN
                limit_s = until_s
                self.note_store(is_working=False, reason=repr(fault))
            except StoreError as fault:
                limit_s = min(until_s, refused_until_s)
                if outcome is Submission.UNKNOWN:
                    limit_s = until_s
                self.note_store(is_working=False, reason=repr(fault))
            if now_s() + self._settings.accept_retry_s >= limit_s:
                return Receipt(outcome)
            await curio.sleep(self._settings.accept_retry_s)

    async def _store_at_leader(
        self, job: AcceptedJob, outcome: Submission
    ) -> Submission:
        """Let the leader store a job that this host could not store."""
        leader = None if self._election is None else self._election.leader
        view = None if self._election is None else self._election.view
        if leader is None or view is None:
            return outcome
        if view.store_age_s > self._settings.store_trouble_s:
            return outcome
        try:
            told = Submission(await self._peers.store_job(leader.address, job))
        except (PeerUnreachableError, NotLeadingError) as fault:
            self._log.info("job_not_stored_by_leader", reason=repr(fault))
            return outcome
        except PeerError as fault:
            self._log.info("job_not_stored_by_leader", reason=repr(fault))
            return Submission.UNKNOWN
        if told is Submission.NOT_RUN:
            return outcome
        return told

    def _forget_old(self) -> None:
        oldest_s = now_s() - RECENT_S
        while self._accepted and self._accepted[0][0] < oldest_s:
            self._accepted.popleft()
