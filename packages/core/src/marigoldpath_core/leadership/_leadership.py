"""Joins the leader row and the claims into one decision: may this host place?"""

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

from ._changes import Change, Elected, SteppedDown, WorkerHeld, WorkerLost
from ._claims import Claim, ClaimPhase, parse_claim_name
from ._row import LeaderIdentity, RowLease, leader_row_key

QUORUM_KEPT_MS = 100

_handlers: Registry = Registry("leadership event")


class Step(NamedTuple):
    """What one event led to."""

    effects: list[Effect]
    changes: list[Change]


class Leadership:
    """Leads an availability zone, or follows its leader.

    `incarnation` tells this process from an earlier one on the same host.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._row = RowLease(settings, incarnation)
        self._epoch = 0
        self._claims: dict[str, Claim] = {}
        self._listed: frozenset[str] = frozenset()
        self._had_quorum = False
        self._quorum = False
        self._counted_at_ms = -QUORUM_KEPT_MS
        self._unconfirmed_since_ms: int | None = None

    @property
    def epoch(self) -> int:
        """The epoch that this host leads in, 0 when it does not lead."""
        return self._epoch

    @property
    def leader(self) -> LeaderIdentity | None:
        """The leader named by the row."""
        return self._row.view

    @property
    def listed(self) -> frozenset[str]:
        """The workers of the zone in the host list."""
        return self._listed

    def is_authorized(self, now_ms: int) -> bool:
        """Return whether this host is the zone's one authority for requests."""
        if not self._epoch or not self._had_quorum:
            return False
        return self._row.is_confirmed(now_ms) or self.has_quorum(now_ms)

    def is_confirmed(self, now_ms: int) -> bool:
        """Return whether the table lately confirmed that this host leads."""
        return self._row.is_confirmed(now_ms)

    def has_quorum(self, now_ms: int) -> bool:
        """Return whether fresh claims are held on more than half of the workers.

        The count is kept for a tenth of a second, for which the claims have to stay
        fresh: counting 513 workers for each event took most of a leader's time while
        the platform was down.
        """
        if not 0 <= now_ms - self._counted_at_ms < QUORUM_KEPT_MS:
            until_ms = now_ms + QUORUM_KEPT_MS
            fresh = sum(1 for name in self._listed if self._is_fresh(name, until_ms))
            self._quorum = 2 * fresh > len(self._listed)
            self._counted_at_ms = now_ms
        return self._quorum

    def start_before(self, worker: str, now_ms: int) -> int | None:
        """Return the time on the worker's clock before which starts are valid.

        None means that nothing may be placed on the worker.
        """
        claim = self._claims.get(worker)
        if claim is None or not claim.is_fresh(now_ms):
            return None
        return claim.until_clock_ms

    def worker_clock_ms(self, worker: str, now_ms: int) -> int | None:
        """Return the least that a worker's clock can show now."""
        claim = self._claims.get(worker)
        return None if claim is None else claim.clock_ms(now_ms)

    def handle(self, event: Event, now_ms: int) -> Step:
        """Take one event in; events that do not concern leadership do nothing."""
        if type(event) not in _handlers:
            return Step([], [])
        effects: list[Effect] = []
        changes: list[Change] = []
        _handlers.get(type(event))(self, event, now_ms, Step(effects, changes))
        return Step(effects, changes)

    def stop_candidacy(self) -> None:
        """Never take the row again, because this host is stopping."""
        self._row.stop_candidacy()

    def release(self, now_ms: int, clean: bool) -> Step:
        """Withdraw the claims and release the row at the end of a graceful stop.

        `clean` states that no start of this host is in flight.
        """
        step = Step([], [])
        if self._epoch:
            self._leave(step, "released")
        step.effects.extend(self._row.release(now_ms, clean))
        return step

    def step_down(self, reason: str) -> Step:
        """Stop leading because another authority was seen."""
        step = Step([], [])
        if self._epoch:
            self._leave(step, reason)
            self._row.resign()
        return step

    @_handlers.register(Tick)
    def _on_tick(self, event: Tick, now_ms: int, step: Step) -> None:
        step.effects.extend(self._row.tick(now_ms))
        if not self._epoch:
            return
        self._check_confirmation(now_ms, step)
        for worker, claim in self._claims.items():
            if claim.check_expired(now_ms):
                step.changes.append(WorkerLost(worker, "claim not renewed in time"))
            step.effects.extend(claim.tick(now_ms))

    @_handlers.register(RowRead)
    def _on_row_read(self, event: RowRead, now_ms: int, step: Step) -> None:
        if event.key != leader_row_key(self._settings.availability_zone):
            return
        step.effects.extend(self._row.on_read(event, now_ms))
        self._follow_row(now_ms, step)

    @_handlers.register(RowReadFailed)
    def _on_row_read_failed(
        self, event: RowReadFailed, now_ms: int, step: Step
    ) -> None:
        if event.key == leader_row_key(self._settings.availability_zone):
            self._row.on_read_failed()

    @_handlers.register(RowWriteReplied)
    def _on_row_write(self, event: RowWriteReplied, now_ms: int, step: Step) -> None:
        if event.key != leader_row_key(self._settings.availability_zone):
            return
        step.effects.extend(self._row.on_write(event, now_ms))
        self._follow_row(now_ms, step)

    @_handlers.register(HostsListed)
    def _on_hosts(self, event: HostsListed, now_ms: int, step: Step) -> None:
        zone = self._settings.availability_zone
        self._listed = frozenset(
            host.name for host in event.workers if host.availability_zone == zone
        )
        for worker in [name for name in self._claims if name not in self._listed]:
            claim = self._claims.pop(worker)
            if claim.phase is ClaimPhase.HELD:
                step.changes.append(WorkerLost(worker, "left the host list"))
        self._add_claims()

    @_handlers.register(TasksListed)
    def _on_tasks(self, event: TasksListed, now_ms: int, step: Step) -> None:
        claim = self._claims.get(event.worker)
        if claim is None:
            return
        if self._sees_higher_epoch(event.report):
            self._leave(step, f"a higher epoch claims {event.worker}")
            self._row.resign()
            return
        before = claim.phase
        skip = self._row.was_released_clean
        step.effects.extend(claim.on_report(event.report, now_ms, skip))
        if claim.phase is ClaimPhase.HELD and before is not ClaimPhase.HELD:
            step.changes.append(WorkerHeld(event.worker, event.report))
        if before is ClaimPhase.HELD and claim.phase is not ClaimPhase.HELD:
            step.changes.append(WorkerLost(event.worker, "claim not in the list"))
        # Only a claim that is fresh can complete a quorum. To count at every report
        # takes time with the square of the number of workers.
        if not self._had_quorum and claim.is_fresh(now_ms):
            self._had_quorum = self.has_quorum(now_ms)

    @_handlers.register(StartsReplied)
    def _on_starts(self, event: StartsReplied, now_ms: int, step: Step) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None and any(parse_claim_name(task) for task in event.statuses):
            step.effects.extend(claim.on_start_replied(now_ms))

    @_handlers.register(StartsFailed)
    def _on_starts_failed(self, event: StartsFailed, now_ms: int, step: Step) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None and any(parse_claim_name(task) for task in event.tasks):
            claim.on_failure()

    @_handlers.register(WorkerFailed)
    def _on_worker_failed(self, event: WorkerFailed, now_ms: int, step: Step) -> None:
        claim = self._claims.get(event.worker)
        if claim is not None:
            claim.on_failure()

    def _follow_row(self, now_ms: int, step: Step) -> None:
        """Begin or end leading after the row changed."""
        epoch = self._row.epoch
        if epoch == self._epoch:
            return
        if self._epoch:
            self._leave(step, "another host took the leader row")
        if epoch:
            self._epoch = epoch
            self._had_quorum = False
            self._unconfirmed_since_ms = None
            self._add_claims()
            step.changes.append(Elected(epoch))
            for claim in self._claims.values():
                step.effects.extend(claim.tick(now_ms))

    def _leave(self, step: Step, reason: str) -> None:
        for claim in self._claims.values():
            step.effects.extend(claim.withdraw())
        self._claims.clear()
        self._quorum = False
        step.changes.append(SteppedDown(self._epoch, reason))
        self._epoch = 0

    def _check_confirmation(self, now_ms: int, step: Step) -> None:
        """Step down after a claim lease with neither the row nor a quorum.

        A successor counts on that: it adds one claim lease to the longest task lease
        before it takes a task on an unreachable worker for ended.
        """
        if not self._had_quorum or self.is_authorized(now_ms):
            self._unconfirmed_since_ms = None
            return
        if self._unconfirmed_since_ms is None:
            self._unconfirmed_since_ms = now_ms
        lease_ms = self._settings.leadership.claim_lease_ms
        if now_ms - self._unconfirmed_since_ms >= lease_ms:
            self._leave(step, "neither the leader row nor a quorum of claims")
            self._row.resign()

    def _add_claims(self) -> None:
        if not self._epoch:
            return
        # The order of a set differs between processes and would show in a replay.
        for worker in sorted(self._listed):
            if worker not in self._claims:
                self._claims[worker] = Claim(self._settings, worker, self._epoch)

    def _is_fresh(self, worker: str, now_ms: int) -> bool:
        claim = self._claims.get(worker)
        return claim is not None and claim.is_fresh(now_ms)

    def _sees_higher_epoch(self, report: WorkerReport) -> bool:
        zone = self._settings.availability_zone
        for task in report.tasks:
            claim = parse_claim_name(task.task)
            if claim is None or claim.availability_zone != zone:
                continue
            if claim.epoch > self._epoch and task.lease_until_ms > report.clock_ms:
                return True
        return False
