"""Leadership of a zone, decided by the leader row and the claims on workers."""

from typing import NamedTuple

from marigoldpath_core.messages import (
    Effect,
    Event,
    HostsListed,
    RowRead,
    RowReadFailed,
    RowWriteReplied,
    StartsFailed,
    StartsReplied,
    TasksListed,
    Tick,
    WorkerFailed,
    WorkerReport,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import DaemonSettings

from ._changes import (
    Elected,
    LeadershipChange,
    SteppedDown,
    WorkerClaimed,
    WorkerClaimLost,
)
from ._claims import Claim, ClaimPhase, parse_claim_name
from ._row import LeaderIdentity, LeaderRowLease, leader_row_key

QUORUM_CACHE_MS = 100

_handlers: Registry = Registry("leadership event")


class LeadershipUpdate(NamedTuple):
    """The effects and the changes of leadership that result from one event."""

    effects: list[Effect]
    changes: list[LeadershipChange]


class Leadership:
    """Decide whether this host leads an availability zone.

    `incarnation` distinguishes this process from an earlier one on the same host.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._row = LeaderRowLease(settings, incarnation)
        self._epoch = 0
        self._claims: dict[str, Claim] = {}
        self._listed_workers: frozenset[str] = frozenset()
        self._had_quorum = False
        self._quorum = False
        self._quorum_counted_at_ms = -QUORUM_CACHE_MS
        self._unauthorized_since_ms: int | None = None

    @property
    def epoch(self) -> int:
        """The epoch in which this host leads, or 0 when it does not lead."""
        return self._epoch

    @property
    def leader(self) -> LeaderIdentity | None:
        """The leader named by the row."""
        return self._row.leader

    @property
    def listed_workers(self) -> frozenset[str]:
        """The workers of the zone in the host list."""
        return self._listed_workers

    def is_authorized(self, now_ms: int) -> bool:
        """Return whether this host is the only one that may decide on requests."""
        if not self._epoch or not self._had_quorum:
            return False
        return self._row.is_confirmed(now_ms) or self.has_quorum(now_ms)

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether a recent write confirms that this host owns the leader row."""
        return self._row.is_confirmed(now_ms)

    def has_quorum(self, now_ms: int) -> bool:
        """Return whether fresh claims are held on more than half of the workers.

        The result is cached for a tenth of a second, so a claim is counted only if it
        stays fresh for that time. Counting 513 workers at each event took most of a
        leader's time while the platform was down.
        """
        if not 0 <= now_ms - self._quorum_counted_at_ms < QUORUM_CACHE_MS:
            until_ms = now_ms + QUORUM_CACHE_MS
            fresh = sum(
                1 for name in self._listed_workers if self._is_fresh(name, until_ms)
            )
            self._quorum = 2 * fresh > len(self._listed_workers)
            self._quorum_counted_at_ms = now_ms
        return self._quorum

    def start_before_clock_ms(self, worker: str, now_ms: int) -> int | None:
        """Return the time on the worker's clock before which starts are valid.

        None means that nothing may be placed on the worker.
        """
        claim = self._claims.get(worker)
        if claim is None or not claim.is_fresh(now_ms):
            return None
        return claim.expiry_clock_ms

    def worker_clock_ms(self, worker: str, now_ms: int) -> int | None:
        """Return a lower bound of a worker's clock, None without a claim on it."""
        claim = self._claims.get(worker)
        return None if claim is None else claim.clock_ms(now_ms)

    def handle(self, event: Event, now_ms: int) -> LeadershipUpdate:
        """Process one event; events that do not concern leadership are ignored."""
        if type(event) not in _handlers:
            return LeadershipUpdate([], [])
        effects: list[Effect] = []
        changes: list[LeadershipChange] = []
        _handlers.get(type(event))(
            self, event, now_ms, LeadershipUpdate(effects, changes)
        )
        return LeadershipUpdate(effects, changes)

    def stop_candidacy(self) -> None:
        """Stop acquiring the leader row, because this host is stopping."""
        self._row.stop_candidacy()

    def release(self, now_ms: int, clean: bool) -> LeadershipUpdate:
        """Withdraw the claims and release the row at the end of a graceful stop.

        `clean` states that no start of this host is in flight.
        """
        update = LeadershipUpdate([], [])
        if self._epoch:
            self._end_term(update, "released")
        update.effects.extend(self._row.release(now_ms, clean))
        return update

    def step_down(self, reason: str) -> LeadershipUpdate:
        """Stop leading without writing the leader row; `reason` is logged."""
        update = LeadershipUpdate([], [])
        if self._epoch:
            self._end_term(update, reason)
            self._row.resign()
        return update

    @_handlers.register(Tick)
    def _on_tick(self, event: Tick, now_ms: int, update: LeadershipUpdate) -> None:
        update.effects.extend(self._row.tick(now_ms))
        if not self._epoch:
            return
        self._check_authority(now_ms, update)
        for worker, claim in self._claims.items():
            if claim.drop_if_expired(now_ms):
                update.changes.append(
                    WorkerClaimLost(worker, "claim not renewed in time")
                )
            update.effects.extend(claim.tick(now_ms))

    @_handlers.register(RowRead)
    def _on_row_read(
        self, event: RowRead, now_ms: int, update: LeadershipUpdate
    ) -> None:
        if event.key != leader_row_key(self._settings.availability_zone):
            return
        update.effects.extend(self._row.on_read(event, now_ms))
        self._apply_row_epoch(now_ms, update)

    @_handlers.register(RowReadFailed)
    def _on_row_read_failed(
        self, event: RowReadFailed, now_ms: int, update: LeadershipUpdate
    ) -> None:
        if event.key == leader_row_key(self._settings.availability_zone):
            self._row.on_read_failed()

    @_handlers.register(RowWriteReplied)
    def _on_row_write_reply(
        self, event: RowWriteReplied, now_ms: int, update: LeadershipUpdate
    ) -> None:
        if event.key != leader_row_key(self._settings.availability_zone):
            return
        update.effects.extend(self._row.on_write_reply(event, now_ms))
        self._apply_row_epoch(now_ms, update)

    @_handlers.register(HostsListed)
    def _on_hosts(
        self, event: HostsListed, now_ms: int, update: LeadershipUpdate
    ) -> None:
        zone = self._settings.availability_zone
        self._listed_workers = frozenset(
            host.name for host in event.workers if host.availability_zone == zone
        )
        for worker in [
            name for name in self._claims if name not in self._listed_workers
        ]:
            claim = self._claims.pop(worker)
            if claim.phase is ClaimPhase.HELD:
                update.changes.append(WorkerClaimLost(worker, "left the host list"))
        self._create_claims()

    @_handlers.register(TasksListed)
    def _on_tasks(
        self, event: TasksListed, now_ms: int, update: LeadershipUpdate
    ) -> None:
        claim = self._claims.get(event.worker)
        if claim is None:
            return
        if self._has_higher_epoch(event.report):
            self._end_term(update, f"a higher epoch claims {event.worker}")
            self._row.resign()
            return
        previous_phase = claim.phase
        skip_settling = self._row.was_released_cleanly
        update.effects.extend(claim.on_report(event.report, now_ms, skip_settling))
        if claim.phase is ClaimPhase.HELD and previous_phase is not ClaimPhase.HELD:
            update.changes.append(WorkerClaimed(event.worker, event.report))
        if previous_phase is ClaimPhase.HELD and claim.phase is not ClaimPhase.HELD:
            update.changes.append(
                WorkerClaimLost(event.worker, "claim missing from the worker's report")
            )
        # Only a fresh claim can complete a quorum. Counting at every report would
        # take time quadratic in the number of workers.
        if not self._had_quorum and claim.is_fresh(now_ms):
            self._had_quorum = self.has_quorum(now_ms)

    @_handlers.register(StartsReplied)
    def _on_starts(
        self, event: StartsReplied, now_ms: int, update: LeadershipUpdate
    ) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None and any(parse_claim_name(task) for task in event.statuses):
            update.effects.extend(claim.on_start_replied(now_ms))

    @_handlers.register(StartsFailed)
    def _on_starts_failed(
        self, event: StartsFailed, now_ms: int, update: LeadershipUpdate
    ) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None and any(parse_claim_name(task) for task in event.tasks):
            claim.on_request_failed()

    @_handlers.register(WorkerFailed)
    def _on_worker_failed(
        self, event: WorkerFailed, now_ms: int, update: LeadershipUpdate
    ) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None:
            claim.on_request_failed()

    def _apply_row_epoch(self, now_ms: int, update: LeadershipUpdate) -> None:
        """Begin or end a term of leadership after the epoch of the row changed."""
        epoch = self._row.epoch
        if epoch == self._epoch:
            return
        if self._epoch:
            self._end_term(update, "another host acquired the leader row")
        if epoch:
            self._epoch = epoch
            self._had_quorum = False
            self._unauthorized_since_ms = None
            self._create_claims()
            update.changes.append(Elected(epoch))
            for claim in self._claims.values():
                update.effects.extend(claim.tick(now_ms))

    def _end_term(self, update: LeadershipUpdate, reason: str) -> None:
        for claim in self._claims.values():
            update.effects.extend(claim.withdraw())
        self._claims.clear()
        self._quorum = False
        update.changes.append(SteppedDown(self._epoch, reason))
        self._epoch = 0

    def _check_authority(self, now_ms: int, update: LeadershipUpdate) -> None:
        """Step down after one claim lease without authority.

        Authority requires a confirmed leader row or a quorum of claims. The next leader
        relies on this rule: it treats a task on an unreachable worker as terminated
        after one claim lease plus the longest task lease.
        """
        if not self._had_quorum or self.is_authorized(now_ms):
            self._unauthorized_since_ms = None
            return
        if self._unauthorized_since_ms is None:
            self._unauthorized_since_ms = now_ms
        lease_ms = self._settings.leadership.claim_lease_ms
        if now_ms - self._unauthorized_since_ms >= lease_ms:
            self._end_term(update, "neither the leader row nor a quorum of claims")
            self._row.resign()

    def _create_claims(self) -> None:
        if not self._epoch:
            return
        # Sorted, because the order of a set differs between processes, and a replay
        # must create the claims in the same order.
        for worker in sorted(self._listed_workers):
            if worker not in self._claims:
                self._claims[worker] = Claim(self._settings, worker, self._epoch)

    def _is_fresh(self, worker: str, now_ms: int) -> bool:
        claim = self._claims.get(worker)
        return claim is not None and claim.is_fresh(now_ms)

    def _has_higher_epoch(self, report: WorkerReport) -> bool:
        zone = self._settings.availability_zone
        for task in report.tasks:
            claim = parse_claim_name(task.task)
            if claim is None or claim.availability_zone != zone:
                continue
            if claim.epoch > self._epoch and task.lease_until_ms > report.clock_ms:
                return True
        return False
