"""Polls the workers of a term of leadership; a poll can renew a worker's lease."""

import curio

from marigoldpath_core.fleet import FleetScheduler, WorkerPoll, WorkerUnresponsive

from ._clock import now_ms
from ._commits import Committer
from ._effect_runner import LeadershipTerm
from ._ports import (
    CellDependencies,
    FencedError,
    RelayFailedError,
    WorkerFailedError,
    WorkerGoneError,
)
from ._settings import CellSettings


class WorkerPolls:
    """Polls each worker of a scheduler until the scheduler removes it."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        committer: Committer,
        term: LeadershipTerm,
    ) -> None:
        self._settings = settings
        self._workers = dependencies.workers
        self._log = dependencies.log
        self._committer = committer
        self._term = term
        self._polled_workers: set[str] = set()

    async def follow(self, scheduler: FleetScheduler) -> None:
        """Begin to poll the workers that the scheduler has added."""
        for worker_id in scheduler.workers:
            if worker_id not in self._polled_workers:
                self._polled_workers.add(worker_id)
                await self._term.spawn(self._poll_until_removed, scheduler, worker_id)

    async def _poll_until_removed(
        self, scheduler: FleetScheduler, worker_id: str
    ) -> None:
        failures = 0
        while True:
            polled_ms = now_ms()
            poll = scheduler.next_poll(worker_id, polled_ms)
            if poll is None:
                break
            try:
                report = await self._workers.poll(worker_id, self._term.epoch, poll)
            except FencedError:
                if not scheduler.is_fenced(worker_id, poll.restarts):
                    continue
                await self._term.end(f"worker {worker_id} has seen a later epoch")
                break
            except RelayFailedError as error:
                self._log.debug("look_not_relayed", worker=worker_id, reason=str(error))
                continue
            except WorkerFailedError as error:
                await self._record_failure(worker_id, error)
                await curio.sleep(self._retry_delay_s(failures))
                failures += 1
                continue
            failures = 0
            await self._term.handle(
                report._replace(polled_ms=polled_ms, restarts=poll.restarts)
            )
            await self._pause(scheduler, worker_id, poll)
        self._polled_workers.discard(worker_id)

    async def _record_failure(self, worker_id: str, error: WorkerFailedError) -> None:
        self._log.debug("look_failed", worker=worker_id, reason=repr(error))
        is_gone = isinstance(error, WorkerGoneError)
        await self._term.handle(WorkerUnresponsive(worker_id, str(error), is_gone))

    def _retry_delay_s(self, failures: int) -> float:
        """Return the delay after a failure that follows `failures` others.

        A single lost reply is weak evidence of a failure, so the first retry is
        immediate.
        """
        settings = self._settings
        return min(settings.max_poll_backoff_s, settings.poll_retry_s * failures)

    async def _pause(
        self, scheduler: FleetScheduler, worker_id: str, poll: WorkerPoll
    ) -> None:
        """Wait until the next poll is due after one that the worker replied to."""
        if scheduler.has_unstored_terminations(worker_id):
            await self._committer.wait_for_commit()
        elif poll.until_clock_ms is not None:
            await curio.sleep(self._settings.poll_interval_s)
        elif not scheduler.may_renew_lease(worker_id, now_ms()):
            # Polls that grant no lease do not wait.
            await curio.sleep(self._settings.poll_retry_s)
