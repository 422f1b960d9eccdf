"""Callers of a soak: submit, poll and cancel jobs, and check the replies."""

import time
from enum import Enum
from typing import Any

import curio

from marigoldpath_bench.fleet_simulation import (
    SubmissionReply,
    random_job,
    schedule_job,
)
from marigoldpath_bench.platform_fakes import job_body, parse_job_state
from marigoldpath_core.jobs import AcceptedJob, JobState, Queue
from marigoldpath_node.http import HttpResponse, NotSentError, ReplyLostError

from ._cell import BACKGROUND_PREFIX, SITE, URGENT_PREFIX, Cell
from ._hosts import SoakHost

QUEUES = {
    URGENT_PREFIX: Queue("urgent", "service", 0, 3, 1.5, 300),
    BACKGROUND_PREFIX: Queue("background", "service", 2, 3, 2.2, 0),
}
MAX_ATTEMPTS = 5
DEADLINE_S = 3.0
RETRY_DELAY_S = (0.1, 0.6)
POLL_INTERVAL_S = (0.2, 1.0)
CANCEL_SHARE = 0.08
GANG_SHARE = 0.05
SCHEDULED_SHARE = 0.2
# A connection that ends without a reply within this time after the request was sent
# is no violation (`loss-slack-ms`).
DROP_TOLERANCE_S = 0.2
# A planned stop must not drop requests that were sent this long after the last
# unplanned fault.
CALM_PERIOD_S = 3.0
NOT_RUN_STATUSES = (429, 503)
GONE_STATUS = 410


class ExchangeResult(Enum):
    """The result of one HTTP exchange."""

    REPLIED = "answered"
    NOT_SENT = "not_sent"
    NO_REPLY = "no_answer"


class Callers:
    """All callers of a run; a separate task handles each job."""

    def __init__(self, cell: Cell) -> None:
        self._cell = cell
        self._random = cell.random
        self._job_count = 0
        self._open_jobs = 0
        self.states: dict[str, JobState | None] = {}
        self.submission_replies: dict[str, SubmissionReply] = {}

    @property
    def open_jobs(self) -> int:
        """The number of jobs that are being submitted or are not final."""
        return self._open_jobs

    async def submit_job(self) -> None:
        """Submit a job in the background and poll it until it is final."""
        self._job_count += 1
        await curio.spawn(self._run_job, f"{self._job_count:016x}", daemon=True)

    async def is_served(self, host: SoakHost) -> bool:
        """Return whether a host replies with 200 to a request for a queue."""
        _, response = await self._call("GET", URGENT_PREFIX, host=host)
        return response is not None and response.status == 200

    async def _run_job(self, job_id: str) -> None:
        self._open_jobs += 1
        try:
            prefix = self._random.choice([URGENT_PREFIX, BACKGROUND_PREFIX])
            gang_share = GANG_SHARE if prefix == BACKGROUND_PREFIX else 0.0
            spec = random_job(self._random, job_id, gang_share)
            if self._random.random() < SCHEDULED_SHARE:
                spec = schedule_job(self._random, spec, time.time() * 1_000)
            job = AcceptedJob(spec, QUEUES[prefix], 0, 0)
            self._cell.oracle.record_job(job, SubmissionReply.UNKNOWN)
            reply = await self._submit(prefix, job)
            self.submission_replies[job_id] = reply
            self._cell.oracle.record_job(job, reply)
            if reply is SubmissionReply.ACCEPTED:
                await self._poll_until_final(prefix + job_id)
            else:
                await self._resolve_unknown_submission(prefix + job_id)
        finally:
            self._open_jobs -= 1

    async def _submit(self, prefix: str, job: AcceptedJob) -> SubmissionReply:
        reply = SubmissionReply.REFUSED
        body = job_body(job.spec)
        for _ in range(MAX_ATTEMPTS):
            result, response = await self._call("POST", prefix + job.spec.job_id, body)
            if response is not None and response.status == 200:
                return SubmissionReply.ACCEPTED
            is_refused = response is not None and response.status in NOT_RUN_STATUSES
            if result is not ExchangeResult.NOT_SENT and not is_refused:
                reply = SubmissionReply.UNKNOWN
            await curio.sleep(self._random.uniform(*RETRY_DELAY_S))
        return reply

    async def _poll_until_final(self, path: str) -> None:
        job_id = path.rpartition("/")[2]
        must_cancel = self._random.random() < CANCEL_SHARE
        self.states[job_id] = None
        while True:
            await curio.sleep(self._random.uniform(*POLL_INTERVAL_S))
            if must_cancel:
                must_cancel = not await self._cancel(path)
            state = await self._query_state(path)
            if state is not None:
                self.states[job_id] = state
                if state.is_final:
                    return

    async def _cancel(self, path: str) -> bool:
        # Recorded before the call: a cancellation whose reply is lost may be stored.
        cell = self._cell
        cell.oracle.cancelled[path.rpartition("/")[2]] = cell.now_ms()
        _, response = await self._call("DELETE", path)
        return response is not None and response.status == 200

    async def _query_state(self, path: str) -> JobState | None:
        _, response = await self._call("GET", path)
        if response is None:
            return None
        if response.status == GONE_STATUS:
            job_id = path.rpartition("/")[2]
            self._cell.oracle.record_violation(
                "LOST", self._cell.now_ms(), f"{job_id} was accepted and is unknown"
            )
        if response.status != 200:
            return None
        return parse_job_state(response.json())

    async def _resolve_unknown_submission(self, path: str) -> None:
        """Poll a job that may or may not have been accepted until this is known."""
        job_id = path.rpartition("/")[2]
        while True:
            await curio.sleep(max(POLL_INTERVAL_S))
            _, response = await self._call("GET", path)
            if response is None or response.status not in (200, GONE_STATUS):
                continue
            if response.status == GONE_STATUS:
                self.states[job_id] = None
                return
            self.states[job_id] = state = parse_job_state(response.json())
            if state.is_final:
                return

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        host: SoakHost | None = None,
    ) -> tuple[ExchangeResult, HttpResponse | None]:
        host = host or self._random.choice(self._cell.hosts)
        sent_s = time.monotonic()
        headers = {"host": SITE, "x-deadline-ms": str(int(DEADLINE_S * 1000))}
        try:
            response = await self._cell.client.request(
                method,
                host.ingress,
                path,
                value=body,
                headers=headers,
                reply_s=DEADLINE_S,
            )
        except NotSentError:
            return ExchangeResult.NOT_SENT, None
        except ReplyLostError as error:
            is_timeout = isinstance(error.__cause__, curio.TaskTimeout)
            self._check_dropped_reply(host, sent_s, is_timeout)
            return ExchangeResult.NO_REPLY, None
        return ExchangeResult.REPLIED, response

    def _check_dropped_reply(
        self, host: SoakHost, sent_s: float, is_timeout: bool
    ) -> None:
        now_s = time.monotonic()
        if is_timeout or now_s - sent_s <= DROP_TOLERANCE_S:
            return
        is_planned = host.stopping_until_s > now_s
        if is_planned and self._cell.unplanned_fault_until_s + CALM_PERIOD_S < sent_s:
            self._cell.oracle.record_violation(
                "LOST", self._cell.now_ms(), f"{host.name} dropped a request"
            )
