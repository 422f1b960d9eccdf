"""An entry host of a cell: accepts jobs, and runs the leader while it is elected."""

from itertools import islice
from typing import NoReturn

import curio

from marigoldpath_core.fleet import MAX_LIMITED_WORKSPACES, Submission
from marigoldpath_core.jobs import (
    AcceptedJob,
    JobSpec,
    JobState,
    Queue,
    TaskKey,
    Workspace,
)
from marigoldpath_core.workspaces import Caller, QuotaHistory, may_cancel

from ._admission import AdmissionControl
from ._clock import now_ms, now_s, wall_ms
from ._election import Election
from ._followers import Followers
from ._job_writer import JobWriter, SubmissionOutcome
from ._leader import Leader
from ._peers import (
    FollowerStatus,
    LeaderStatus,
    PeerClient,
    PeerError,
    decode_job_body,
    decode_status,
    peer_routes,
)
from ._ports import (
    CellDependencies,
    Configuration,
    StoreError,
)
from ._records import (
    cancellation_row_key,
    read_job,
    read_state,
)
from ._relay_server import RelayServer
from ._settings import CellSettings
from ._store_health import StoreHealth

# A stored job is sent to the leader at most this often, a check interval apart.
FORWARD_ATTEMPTS = 4
# A count of jobs that have not started may be this old when a caller receives it.
MAX_PENDING_AGE_S = 1.5


class UnavailableError(Exception):
    """The request cannot be served now; the caller may retry it."""


class ForeignJobError(Exception):
    """The job belongs to a workspace whose jobs the caller may not cancel."""


class EntryHost:
    """Serves requests of callers and peers, and leads while this host is elected."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        peers: PeerClient,
    ) -> None:
        self._settings = settings
        self._dependencies = dependencies
        self._store = dependencies.store
        self._log = dependencies.log
        self._peers = peers
        self._store_health = StoreHealth(settings, dependencies)
        self._election = Election(settings, dependencies, peers, self._store_health)
        self._job_writer = JobWriter(
            settings, dependencies, peers, self._store_health, self._election
        )
        self._admission = AdmissionControl(
            dependencies, self._election, self._job_writer
        )
        self._leader: Leader | None = None
        self._followers: Followers | None = None
        self._configuration: Configuration | None = None
        self._quota_history = QuotaHistory()
        self._relay_server = RelayServer(
            settings, dependencies.workers, dependencies.log
        )
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether this host should receive new connections."""
        if self._configuration is None or self._is_stopping:
            return False
        if self._has_usable_leader():
            return True
        return self._store_health.outage_s < self._settings.unready_timeout_s

    def _has_usable_leader(self) -> bool:
        """Return whether this host reaches a leader that can send commands.

        A leader that has not returned its status yet is assumed to be able to.
        """
        if self._leader is not None:
            return self._leader.may_send_commands
        status = self._election.leader_status
        return self._election.leader is not None and (
            status is None or status.can_order
        )

    @property
    def store_health(self) -> StoreHealth:
        """Whether this host reaches the store."""
        return self._store_health

    @property
    def is_leading(self) -> bool:
        """Whether this host is the leader."""
        return self._leader is not None

    async def run(self) -> None:
        """Take part in elections and lead while elected, until cancelled."""
        await curio.spawn(self._store_health.run, daemon=True)
        while True:
            try:
                await self._run_term()
            except Exception:
                # An error must not end this loop: no other process would notice that
                # this host no longer takes part in elections.
                self._log.exception("term_failed")
                await curio.sleep(self._settings.check_interval_s)

    async def _run_term(self) -> None:
        term = await self._election.run_until_elected()
        self._dependencies.metrics.set_epoch(term.row.epoch)
        self._followers = Followers(self._settings, self._dependencies, self._peers)
        self._leader = Leader(
            self._settings,
            self._dependencies,
            self._followers,
            self._peers,
            term,
        )
        if self._configuration is not None:
            await self._leader.configure(
                self._configuration, self._quota_history.largest(now_ms())
            )
        try:
            await self._leader.run()
        finally:
            self._leader = None
            self._dependencies.metrics.set_epoch(0)

    async def stop(self) -> None:
        """Release the leadership and take no further part in elections."""
        self._is_stopping = True
        self._election.stop()
        if self._leader is not None:
            await self._leader.stop()

    async def configure(self, configuration: Configuration) -> None:
        """Activate a configuration if its version is above the active version."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._quota_history.record(configuration.workspaces, now_ms())
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        if self._leader is not None:
            await self._leader.configure(configuration)

    async def submit(
        self,
        spec: JobSpec,
        queue: Queue,
        timeout_s: float,
        workspace: Workspace | None = None,
    ) -> SubmissionOutcome:
        """Store a job of a workspace and return what is known about the outcome.

        Unless its last store call failed, this host writes the job itself for at most
        `timeout_s`. If the job is not accepted, the leader and then other hosts are
        requested to store it, which can take another `peer_timeout_s`. Raises
        OverloadedError if the job would start too late or its workspace exceeds its
        rate limit, and OverQuotaError if its workspace's quota is too small for it.
        """
        own_summary = None if self._leader is None else self._leader.summary
        submission = Submission(spec, queue, workspace)
        await self._admission.check(submission, own_summary)
        started_s = now_s()
        # Jobs of priority 0 are confined to this zone, so that a network partition of
        # another zone cannot delay them. Other jobs may use the capacity of all zones.
        zone = "" if queue.priority else self._settings.availability_zone
        epoch = self._election.known_epoch
        owner = "" if workspace is None else workspace.name
        job = AcceptedJob(spec, queue, epoch, wall_ms(), zone, owner)
        outcome, stored = await self._job_writer.submit(job, timeout_s)
        if stored is not None:
            await curio.spawn(self._forward_job, stored, daemon=True)
        metrics = self._dependencies.metrics
        metrics.count_submission(outcome.value)
        if outcome is SubmissionOutcome.NOT_RUN:
            metrics.count_refusal("store_unavailable")
        metrics.observe_call("submit", now_s() - started_s)
        self._log.info(
            "job_submitted",
            job=spec.job_id,
            queue=queue.name,
            workspace=owner,
            outcome=outcome.value,
            epoch=job.epoch,
            store_suspect=self._store_health.is_unresponsive,
        )
        return outcome

    async def state(self, job_id: str) -> JobState | None:
        """Return the state of a job, or None if it does not exist.

        The store is read if the leader does not reply or does not know the job. Raises
        UnavailableError if that read fails.
        """
        state = await self._read_state_from_leader(job_id)
        if state is not None:
            return state
        try:
            return await read_state(self._store, job_id)
        except StoreError as error:
            raise UnavailableError(str(error)) from error

    async def cancel(self, job_id: str, caller: Caller | None = None) -> bool:
        """Store the cancellation of a job and return whether the job exists.

        A caller of None may cancel every job. Raises ForeignJobError if the caller may
        not cancel this one, and UnavailableError if a call to the store fails.
        """
        try:
            stored = await read_job(self._store, job_id)
            if stored is None:
                return False
            if caller is not None and not may_cancel(stored.job, caller):
                self._refuse_cancellation(stored.job, caller)
            await self._store.commit({}, {cancellation_row_key(job_id): b"1"})
        except StoreError as error:
            raise UnavailableError(str(error)) from error
        self._log.info("job_cancelled", job=job_id)
        await curio.spawn(self._forward_cancellation, job_id, daemon=True)
        return True

    def _refuse_cancellation(self, job: AcceptedJob, caller: Caller) -> NoReturn:
        self._dependencies.metrics.count_refused_call("foreign_job")
        self._log.info(
            "cancellation_refused",
            job=job.spec.job_id,
            workspace=job.workspace,
            caller_workspace=caller.workspace,
        )
        raise ForeignJobError("the job belongs to another workspace")

    async def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs that have not started.

        It may be as old as the leader's last status, if that is recent. The number is
        estimated if no leader replies.
        """
        leader = self._election.leader
        status = self._election.leader_status
        if self._leader is not None and self._leader.is_serving:
            return self._leader.summary.pending.get(queue, 0)
        if leader is not None and status is not None:
            status_age_s = self._election.leader_status_age_s
            if status.can_order and status_age_s <= MAX_PENDING_AGE_S:
                return status.pending.get(queue, 0)
            try:
                return (await self._peers.pending(leader.address)).get(queue, 0)
            except PeerError as error:
                self._log.info("pending_from_memory", reason=repr(error))
        return self._estimated_pending(queue)

    def _estimated_pending(self, queue: str) -> int:
        """Return the leader's last count plus the jobs this host accepted recently."""
        status = self._election.leader_status
        reported = status.pending.get(queue, 0) if status is not None else 0
        return reported + self._job_writer.count_recent(queue)

    async def _read_state_from_leader(self, job_id: str) -> JobState | None:
        if self._leader is not None:
            return self._leader.job_state(job_id)
        leader = self._election.leader
        if leader is None:
            return None
        try:
            return await self._peers.state(leader.address, job_id)
        except PeerError as error:
            self._log.info("state_from_store", job=job_id, reason=repr(error))
            return None

    async def _forward_job(self, job: AcceptedJob) -> None:
        """Send a stored job to the leader, also if another host is elected meanwhile.

        If that fails, the leader finds the job when it next reads the changes of the
        job table.
        """
        for _ in range(FORWARD_ATTEMPTS):
            try:
                if self._leader is not None:
                    await self._leader.add_job(job)
                    return
                if self._election.leader is not None:
                    await self._peers.send_job(self._election.leader.address, job)
                    return
            except PeerError as error:
                self._log.info("job_not_told", job=job.spec.job_id, reason=repr(error))
                await self._election.recheck()
            await curio.sleep(self._settings.check_interval_s)

    async def _forward_cancellation(self, job_id: str) -> None:
        try:
            if self._leader is not None:
                await self._leader.cancel_job(job_id)
            elif self._election.leader is not None:
                await self._peers.send_cancellation(
                    self._election.leader.address, job_id
                )
        except PeerError as error:
            self._log.info("cancel_not_told", job=job_id, reason=repr(error))

    def _own_status(self) -> LeaderStatus:
        token = self._settings.token
        if self._leader is None:
            return LeaderStatus(0, token, 0.0, {})
        assert self._followers is not None
        summary = self._leader.summary
        limited = islice(summary.limited_workspaces.items(), MAX_LIMITED_WORKSPACES)
        return LeaderStatus(
            self._leader.epoch,
            token,
            self._leader.store_age_s,
            summary.pending,
            self._leader.may_send_commands,
            self._followers.status_interval_s,
            self._followers.choose_writers(),
            *summary.backlog,
            limited_workspaces=dict(limited),
        )

    @peer_routes.register("view")
    async def _serve_status(self, data: dict) -> dict | None:
        if self._followers is not None:
            self._followers.record_status(decode_status(FollowerStatus, data))
        return dict(self._own_status()._asdict())

    @peer_routes.register("check")
    async def _serve_check(self, _data: dict) -> dict | None:
        await self._election.recheck()
        return {}

    @peer_routes.register("job")
    async def _serve_job(self, data: dict) -> dict | None:
        if self._leader is None:
            return None
        await self._leader.add_job(decode_job_body(data))
        return {}

    @peer_routes.register("cancel")
    async def _serve_cancel(self, data: dict) -> dict | None:
        if self._leader is None:
            return None
        await self._leader.cancel_job(data["job"])
        return {}

    @peer_routes.register("store-job")
    async def _serve_store_job(self, data: dict) -> dict | None:
        if self._store_health.is_unresponsive:
            return None
        outcome, stored = await self._job_writer.write(
            decode_job_body(data),
            self._settings.peer_timeout_s / 2,
            SubmissionOutcome.NOT_RUN,
        )
        if stored is not None:
            await curio.spawn(self._forward_job, stored, daemon=True)
        return {"outcome": outcome.value}

    @peer_routes.register("state")
    async def _serve_state(self, data: dict) -> dict | None:
        if self._leader is None or not self._leader.is_serving:
            return None
        state = self._leader.job_state(data["job"])
        return {"state": state.value if state is not None else ""}

    @peer_routes.register("pending")
    async def _serve_pending(self, _data: dict) -> dict | None:
        if self._leader is None or not self._leader.is_serving:
            return None
        return {"pending": self._leader.summary.pending}

    @peer_routes.register("relay")
    async def _serve_relay(self, data: dict) -> dict | None:
        return await self._relay_server.accept_commands(data)

    @peer_routes.register("replies")
    async def _serve_replies(self, data: dict) -> dict | None:
        return await self._relay_server.take_replies(data)

    @peer_routes.register("advice")
    async def _serve_advice(self, data: dict) -> dict | None:
        step = TaskKey(*data["step"])
        workers = tuple(data["workers"])
        tickets = await self._dependencies.advice.request_advice(
            step, workers, data["cost_ms"]
        )
        return {"tickets": tickets}
