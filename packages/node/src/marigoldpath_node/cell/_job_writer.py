"""Stores submitted jobs and determines the outcome of each submission."""

from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

import curio

from marigoldpath_core.jobs import AcceptedJob

from ._clock import now_s
from ._election import Election
from ._peers import NotLeadingError, PeerClient, PeerError, PeerUnreachableError
from ._ports import CellDependencies, StoreError, StoreLostError
from ._records import write_job
from ._retry_budget import RetryBudget
from ._settings import CellSettings
from ._store_health import StoreHealth

# Jobs that this host accepted within this time are added to the leader's last reported
# count of pending jobs, which is assumed to be no older.
RECENT_WINDOW_S = 10.0


class SubmissionOutcome(Enum):
    """What is known about the outcome of a submission.

    NOT_RUN guarantees that no write of the submission was or will be applied. UNKNOWN
    means that one may have been or may still be applied.
    """

    ACCEPTED = "accepted"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class SubmissionResult(NamedTuple):
    """The outcome of a submission, and the stored job.

    `job` is None if this submission neither wrote the job to the store nor read it.

    A repeated submission may differ from the job that was stored first. Its epoch
    matters most: it shows the leader whether an earlier leader may already have started
    the job.
    """

    outcome: SubmissionOutcome
    job: AcceptedJob | None = None


class JobWriter:
    """Writes jobs to the store, directly or through the leader."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        peers: PeerClient,
        store_health: StoreHealth,
        election: Election,
    ) -> None:
        self._settings = settings
        self._store = dependencies.store
        self._store_health = store_health
        self._log = dependencies.log
        self._metrics = dependencies.metrics
        self._peers = peers
        self._election = election
        self._outcomes: dict[str, SubmissionOutcome] = {}
        self._in_flight: Counter[str] = Counter()
        self._recent_jobs: deque[tuple[float, str]] = deque()
        self._retry_budget = RetryBudget(
            settings.retry_budget_ratio, settings.max_retry_budget
        )

    def may_have_stored(self, job_id: str) -> bool:
        """Return whether a submission at this host stored a job, or may have."""
        return job_id in self._outcomes or job_id in self._in_flight

    def count_recent(self, queue: str) -> int:
        """Return how many jobs of a queue this host accepted within RECENT_WINDOW_S."""
        self._drop_old_jobs()
        return sum(1 for _, name in self._recent_jobs if name == queue)

    async def submit(self, job: AcceptedJob, timeout_s: float) -> SubmissionResult:
        """Store a job and return what is known about the outcome.

        Unless its last store call failed, this host writes the job itself for at most
        `timeout_s`. If the job is not accepted, the leader and then other hosts are
        requested to store it.
        """
        job_id = job.spec.job_id
        self._in_flight[job_id] += 1
        try:
            return await self._submit(job, timeout_s)
        finally:
            self._in_flight[job_id] -= 1
            if not self._in_flight[job_id]:
                del self._in_flight[job_id]

    async def _submit(self, job: AcceptedJob, timeout_s: float) -> SubmissionResult:
        timeout_at_s = now_s() + timeout_s
        self._retry_budget.record_request()
        # A repeated submission starts from the outcome of the earlier one: an accepted
        # id stays accepted, and a job whose outcome was unknown may still run, so
        # NOT_RUN would be false.
        known = self._known_outcome(job.spec.job_id)
        result = SubmissionResult(known)
        if (
            known is not SubmissionOutcome.ACCEPTED
            and not self._store_health.is_unresponsive
        ):
            result = await self.write(job, timeout_s, known)
        if result.outcome is not SubmissionOutcome.ACCEPTED:
            result = SubmissionResult(
                await self._submit_to_peers(job, result.outcome, timeout_at_s)
            )
        self._record_outcome(job.spec.job_id, result.outcome)
        if (
            result.outcome is SubmissionOutcome.ACCEPTED
            and known is not SubmissionOutcome.ACCEPTED
        ):
            self._recent_jobs.append((now_s(), job.queue.name))
            self._drop_old_jobs()
        return result

    def _known_outcome(self, job_id: str) -> SubmissionOutcome:
        """Return what is known before a submission, which is in flight already."""
        known = self._outcomes.get(job_id)
        if known is not None:
            return known
        # An earlier submission that is still in flight may yet store the job.
        is_only_one = self._in_flight[job_id] == 1
        return SubmissionOutcome.NOT_RUN if is_only_one else SubmissionOutcome.UNKNOWN

    def _record_outcome(self, job_id: str, outcome: SubmissionOutcome) -> None:
        if self._outcomes.get(job_id) is SubmissionOutcome.ACCEPTED:
            # Another submission, in flight at the same time, has stored the job.
            return
        if outcome is not SubmissionOutcome.NOT_RUN:
            self._outcomes[job_id] = outcome
            if len(self._outcomes) > self._settings.max_remembered_jobs:
                del self._outcomes[next(iter(self._outcomes))]

    async def write(
        self, job: AcceptedJob, timeout_s: float, outcome: SubmissionOutcome
    ) -> SubmissionResult:
        """Try to write a job to the store for at most `timeout_s`.

        `outcome` is what is known from earlier submissions. Unless the write succeeds,
        it is returned, or UNKNOWN if the reply to an attempt was lost. If the outcome
        is NOT_RUN and all attempts are refused, the retries stop after
        `refused_write_timeout_s`.
        """
        timeout_at_s = now_s() + timeout_s
        refused_timeout_at_s = now_s() + self._settings.refused_write_timeout_s
        while True:
            try:
                remaining_s = max(0.05, timeout_at_s - now_s())
                stored = await curio.timeout_after(
                    remaining_s, write_job, self._store, job
                )
                await self._store_health.record_call(is_working=True)
                return SubmissionResult(SubmissionOutcome.ACCEPTED, stored)
            except (StoreLostError, curio.TaskTimeout) as error:
                outcome = SubmissionOutcome.UNKNOWN
                deadline_s = timeout_at_s
                await self._store_health.record_call(
                    is_working=False, reason=repr(error)
                )
            except StoreError as error:
                deadline_s = min(timeout_at_s, refused_timeout_at_s)
                if outcome is SubmissionOutcome.UNKNOWN:
                    deadline_s = timeout_at_s
                await self._store_health.record_call(
                    is_working=False, reason=repr(error)
                )
            if now_s() + self._settings.write_retry_s >= deadline_s:
                return SubmissionResult(outcome)
            await curio.sleep(self._settings.write_retry_s)

    async def _submit_to_peers(
        self, job: AcceptedJob, outcome: SubmissionOutcome, timeout_at_s: float
    ) -> SubmissionOutcome:
        """Request other hosts to store a job that this host could not store.

        `outcome` is what is known from earlier attempts. It is returned if no host can
        have stored the job. The first host is always tried. Each further one needs a
        part of the retry budget, so that an outage of the store does not multiply the
        calls between the hosts.
        """
        for attempt, address in enumerate(self._addresses_of_writers()):
            if attempt and (
                now_s() >= timeout_at_s or not self._retry_budget.take_retry()
            ):
                break
            peer_outcome = await self._submit_to_peer(address, job)
            if peer_outcome is SubmissionOutcome.ACCEPTED:
                return peer_outcome
            if peer_outcome is SubmissionOutcome.UNKNOWN:
                outcome = peer_outcome
        return outcome

    def _addresses_of_writers(self) -> list[str]:
        """Return the leader's address, if it reaches the store, and those of others."""
        leader = self._election.leader
        status = self._election.leader_status
        if leader is None or status is None:
            return []
        addresses = [each for each in status.writers if each != self._settings.address]
        if status.store_age_s <= self._settings.max_commit_age_s:
            addresses.insert(0, leader.address)
        return addresses

    async def _submit_to_peer(
        self, address: str, job: AcceptedJob
    ) -> SubmissionOutcome:
        """Request that one host stores a job and return what is known afterwards."""
        try:
            outcome = SubmissionOutcome(await self._peers.store_job(address, job))
        except (PeerUnreachableError, NotLeadingError) as error:
            outcome, reason = SubmissionOutcome.NOT_RUN, repr(error)
        except (PeerError, ValueError) as error:
            outcome, reason = SubmissionOutcome.UNKNOWN, repr(error)
        else:
            reason = ""
        self._metrics.count_store_attempt(outcome.value)
        self._log.info(
            "job_passed_to_peer",
            job=job.spec.job_id,
            address=address,
            outcome=outcome.value,
            reason=reason,
        )
        return outcome

    def _drop_old_jobs(self) -> None:
        oldest_s = now_s() - RECENT_WINDOW_S
        while self._recent_jobs and self._recent_jobs[0][0] < oldest_s:
            self._recent_jobs.popleft()
