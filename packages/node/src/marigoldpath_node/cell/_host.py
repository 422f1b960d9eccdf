"""One entry host of a cell: accepts jobs, and leads when it is elected."""

import curio

from marigoldpath_core.jobs import AcceptedJob, JobSpec, JobState, Queue, TaskKey

from ._clock import now_s, wall_ms
from ._election import Election
from ._followers import Helpers
from ._job_writer import Acceptance, Submission
from ._leader import Leader
from ._peers import (
    HelpOffer,
    LeaderView,
    PeerClient,
    PeerError,
    job_in,
    peer_routes,
)
from ._ports import (
    Configuration,
    StoreError,
    Surroundings,
)
from ._records import (
    cancel_row,
    read_job,
    read_state,
)
from ._settings import CellSettings


class UnavailableError(Exception):
    """What was asked for cannot be told or done now; it may be asked again."""


class EntryHost:
    """Serves callers and peers, and runs the leader while this host is elected."""

    def __init__(
        self,
        settings: CellSettings,
        surroundings: Surroundings,
        peers: PeerClient,
    ) -> None:
        self._settings = settings
        self._surroundings = surroundings
        self._store = surroundings.store
        self._log = surroundings.log
        self._peers = peers
        self._acceptance = Acceptance(settings, surroundings, peers)
        self._election = Election(settings, surroundings, peers, self._acceptance)
        self._acceptance.follow(self._election)
        self._leader: Leader | None = None
        self._helpers: Helpers | None = None
        self._configuration: Configuration | None = None
        self._is_stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether new connections should come here."""
        if self._configuration is None or self._is_stopping:
            return False
        if self._follows_able_leader():
            return True
        return self._acceptance.suspect_s < self._settings.unready_s

    def _follows_able_leader(self) -> bool:
        """Return whether a leader is reached that is not cut off from the others."""
        if self._leader is not None:
            return self._leader.can_order
        view = self._election.view
        return self._election.leader is not None and (view is None or view.can_order)

    @property
    def acceptance(self) -> Acceptance:
        """How this host stores jobs, and what it knows of the store."""
        return self._acceptance

    @property
    def is_leading(self) -> bool:
        """Whether this host leads now."""
        return self._leader is not None

    async def run(self) -> None:
        """Take part in elections, and lead when elected, until cancelled."""
        while True:
            try:
                await self._run_term()
            except Exception:
                # A host that stopped taking part would go unnoticed.
                self._log.exception("term_failed")
                await curio.sleep(self._settings.watch_s)

    async def _run_term(self) -> None:
        term = await self._election.win()
        self._surroundings.metrics.set_epoch(term.row.epoch)
        self._helpers = Helpers(self._settings, self._surroundings, self._peers)
        self._leader = Leader(self._settings, self._surroundings, self._helpers, term)
        if self._configuration is not None:
            await self._leader.change_queues(self._configuration.queues)
        try:
            await self._leader.run()
        finally:
            self._leader = None
            self._surroundings.metrics.set_epoch(0)

    async def stop(self) -> None:
        """Give up leadership and take part in no election again."""
        self._is_stopping = True
        self._election.stop()
        if self._leader is not None:
            await self._leader.stop()

    async def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force, unless a newer one already is."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return
        self._configuration = configuration
        self._log.info(
            "configuration_in_force",
            version=configuration.version,
            queues=len(configuration.queues),
        )
        if self._leader is not None:
            await self._leader.change_queues(configuration.queues)

    async def submit(
        self, spec: JobSpec, queue: Queue, patience_s: float
    ) -> Submission:
        """Store a job within `patience_s` and return what is known of it."""
        started_s = now_s()
        # What is urgent stays within a zone, so that a cut of another does not hold it
        # up; what may wait gets the room of all.
        zone = "" if queue.priority else self._settings.availability_zone
        epoch = self._election.known_epoch
        job = AcceptedJob(spec, queue, epoch, wall_ms(), zone)
        outcome, stored = await self._acceptance.submit(job, patience_s)
        if stored is not None:
            await curio.spawn(self._tell_job, stored, daemon=True)
        metrics = self._surroundings.metrics
        metrics.count_submission(outcome.value)
        metrics.observe_call("submit", now_s() - started_s)
        self._log.info(
            "job_submitted",
            job=spec.job_id,
            queue=queue.name,
            outcome=outcome.value,
            epoch=job.epoch,
            store_suspect=self._acceptance.is_store_suspect,
        )
        return outcome

    async def state(self, job_id: str) -> JobState | None:
        """Return the state of a job, None when it does not exist.

        Raises UnavailableError when neither the leader nor the store answers.
        """
        state = await self._state_at_leader(job_id)
        if state is not None:
            return state
        try:
            return await read_state(self._store, job_id)
        except StoreError as fault:
            raise UnavailableError(str(fault)) from fault

    async def cancel(self, job_id: str) -> bool:
        """Store a cancellation; return whether the job exists.

        Raises UnavailableError when the store does not answer.
        """
        try:
            if await read_job(self._store, job_id) is None:
                return False
            await self._store.commit({}, {cancel_row(job_id): b"1"})
        except StoreError as fault:
            raise UnavailableError(str(fault)) from fault
        self._log.info("job_cancelled", job=job_id)
        await curio.spawn(self._tell_cancel, job_id, daemon=True)
        return True

    async def pending(self, queue: str) -> int:
        """Return the number of a queue's jobs that have not started."""
        leader = self._election.leader
        if self._leader is not None and self._leader.is_serving:
            return self._leader.pending().get(queue, 0)
        if leader is not None:
            try:
                return (await self._peers.pending(leader.address)).get(queue, 0)
            except PeerError as fault:
                self._log.info("pending_from_memory", reason=repr(fault))
        return self._remembered_pending(queue)

    def _remembered_pending(self, queue: str) -> int:
        """Return the last count of the leader and the jobs accepted here since."""
        view = self._election.view
        told = view.pending.get(queue, 0) if view is not None else 0
        return told + self._acceptance.recent(queue)

    async def _state_at_leader(self, job_id: str) -> JobState | None:
        if self._leader is not None:
            return self._leader.job_state(job_id)
        leader = self._election.leader
        if leader is None:
            return None
        try:
            return await self._peers.state(leader.address, job_id)
        except PeerError as fault:
            self._log.info("state_from_store", job=job_id, reason=repr(fault))
            return None

    async def _tell_job(self, job: AcceptedJob) -> None:
        try:
            if self._leader is not None:
                await self._leader.accept(job)
            elif self._election.leader is not None:
                await self._peers.tell_job(self._election.leader.address, job)
        except PeerError as fault:
            # The leader finds the job when it reads the changes of the table.
            self._log.info("job_not_told", job=job.spec.job_id, reason=repr(fault))

    async def _tell_cancel(self, job_id: str) -> None:
        try:
            if self._leader is not None:
                await self._leader.cancel(job_id)
            elif self._election.leader is not None:
                await self._peers.tell_cancel(self._election.leader.address, job_id)
        except PeerError as fault:
            self._log.info("cancel_not_told", job=job_id, reason=repr(fault))

    def _own_view(self) -> LeaderView:
        token = self._settings.token
        if self._leader is None:
            return LeaderView(0, token, 0.0, {})
        return LeaderView(
            self._leader.epoch,
            token,
            self._leader.store_age_s,
            self._leader.pending(),
            self._leader.can_order,
        )

    @peer_routes.register("view")
    async def _serve_view(self, data: dict) -> dict | None:
        if self._helpers is not None:
            self._helpers.note_helper(HelpOffer(**data))
        return dict(self._own_view()._asdict())

    @peer_routes.register("job")
    async def _serve_job(self, data: dict) -> dict | None:
        if self._leader is None:
            return None
        await self._leader.accept(job_in(data))
        return {}

    @peer_routes.register("cancel")
    async def _serve_cancel(self, data: dict) -> dict | None:
        if self._leader is None:
            return None
        await self._leader.cancel(data["job"])
        return {}

    @peer_routes.register("store-job")
    async def _serve_store_job(self, data: dict) -> dict | None:
        if self._leader is None:
            return None
        outcome, stored = await self._acceptance.store(
            job_in(data), self._settings.peer_reply_s / 2, Submission.NOT_RUN
        )
        if stored is not None and self._leader is not None:
            await self._leader.accept(stored)
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
        return {"pending": self._leader.pending()}

    @peer_routes.register("advice")
    async def _serve_advice(self, data: dict) -> dict | None:
        step = TaskKey(*data["step"])
        workers = tuple(data["workers"])
        tickets = await self._surroundings.advice.ask(step, workers, data["cost_ms"])
        return {"tickets": tickets}
