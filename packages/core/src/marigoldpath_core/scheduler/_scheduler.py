"""Joins leadership, journal, admission and placement for one availability zone."""

from typing import Any

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.leadership import LeaderIdentity, Step
from marigoldpath_core.ledger import RequestPhase, TaskPhase
from marigoldpath_core.messages import (
    Effect,
    Event,
    HostsListed,
    HostState,
    StopTasks,
    Tick,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import OutcomeKind, RequestKey, Size
from marigoldpath_core.settings import DaemonSettings

from . import _intake, _leases, _recovery, _tasks, _usage
from ._codes import OutcomeCode
from ._day import day_record, note_tick
from ._dispatch import (
    dispatch,
    requeue,
    reserve_for_starving,
    restore,
    restore_delayed,
    send_starts,
)
from ._lease_keeper import LeaseKeeper
from ._outcomes import end_request
from ._preemption import forget_preemptions
from ._zone import TicketPurpose, Zone, ZonePhase, change_handlers, handlers

__all__ = ["ZoneScheduler"]

_MODULES_WITH_HANDLERS = (_intake, _leases, _recovery, _tasks, _usage)
TICK_MS = 100
_upkeep: Registry = Registry("scheduler upkeep")


class ZoneScheduler:
    """Decides for one zone; events go in, effects come out.

    `now_ms` is milliseconds since the Unix epoch on a clock that does not go back.
    `incarnation` is unique to this process.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._zone = Zone(settings, incarnation)
        self._lease_keeper = LeaseKeeper(settings)
        self._ticked_at_ms = -TICK_MS

    @property
    def leader(self) -> LeaderIdentity | None:
        """The zone's leader according to its row."""
        return self._zone.leadership.leader

    @property
    def epoch(self) -> int:
        """The epoch that this host leads in, 0 when it does not lead."""
        return self._zone.leadership.epoch

    @property
    def is_drained(self) -> bool:
        """Whether a drain has come to its end."""
        return self._zone.is_draining and not self._zone.leadership.epoch

    @property
    def workers_to_poll(self) -> frozenset[str]:
        """The workers whose ends this host has to learn."""
        zone = self._zone
        return zone.leadership.listed if zone.leadership.epoch else frozenset()

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads and decides on requests."""
        return self._zone.is_serving(now_ms)

    def wake_ms(self, now_ms: int) -> int:
        """Return when the next Tick is due."""
        wake_ms = self._zone.journal.wake_ms
        return min(now_ms + TICK_MS, wake_ms or now_ms + TICK_MS)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take one event in and return what has to be done."""
        zone = self._zone
        zone.now_ms = now_ms
        zone.effects.extend(zone.journal.handle(event, now_ms))
        if not self._is_early_tick(event, now_ms):
            self._apply(zone.leadership.handle(event, now_ms), now_ms)
            if type(event) in handlers:
                handlers.get(type(event))(zone, event, now_ms)
            if type(event) in _upkeep:
                _upkeep.get(type(event))(self, event, now_ms)
        self._settle_journal(now_ms)
        if zone.phase is ZonePhase.RECOVERING:
            _recovery.begin_serving(zone, now_ms)
        if zone.is_serving(now_ms):
            dispatch(zone, now_ms)
        zone.effects.extend(zone.journal.tick(now_ms))
        if not zone.leadership.epoch:
            listed = zone.leadership.listed
            zone.effects.extend(self._lease_keeper.handle(event, listed, now_ms))
        return zone.take_effects()

    def _is_early_tick(self, event: Event, now_ms: int) -> bool:
        """Return whether a Tick came early, for the journal alone.

        The journal asks for one each 10 ms while it writes; looking at 513 claims and
        their leases as often took most of a leader's time.
        """
        if not isinstance(event, Tick):
            return False
        if 0 <= now_ms - self._ticked_at_ms < TICK_MS:
            return True
        self._ticked_at_ms = now_ms
        return False

    def configure(self, configuration: Configuration) -> None:
        """Bring a configuration into force."""
        self._zone.configure(configuration)

    def drain(self) -> None:
        """Take no new requests and give leadership up when nothing is in flight."""
        self._zone.is_draining = True
        self._zone.leadership.stop_candidacy()

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return phase, outcome and history of a request, if it is known."""
        state = self._zone.ledger.get(key)
        if state is None:
            return None
        outcome = state.outcome
        return {
            "state": str(state.phase),
            "outcome": str(outcome.kind) if outcome else None,
            "code": outcome.code if outcome else "",
            "message": outcome.message if outcome else "",
            "answer": outcome.answer._asdict() if outcome and outcome.answer else None,
            "workers": sorted({task.worker for task in state.tasks.values()}),
            "history": [entry._asdict() for entry in state.history.entries],
        }

    def status(self, now_ms: int) -> dict[str, Any]:
        """Return what an operator wants to know of the zone."""
        zone = self._zone
        return {
            "phase": str(zone.phase),
            "serving": zone.is_serving(now_ms),
            "epoch": zone.leadership.epoch,
            "requests": len(zone.ledger),
            "waiting": {name: zone.queue.length(name) for name in zone.kinds},
            "workers": {
                view.name: {
                    "rack": view.rack,
                    "ready": zone.watch(view.name).is_ready,
                    "leaving": view.leaving,
                    "capacity": view.capacity._asdict(),
                    "used": view.used._asdict(),
                }
                for view in zone.workers
            },
            "removed": dict(zone.health.removed()),
            "counts": dict(zone.counts),
            "configuration": zone.configuration.version,
        }

    def day_record(self, now_ms: int) -> DayRecord:
        """Return what this leader counted today, for the report."""
        return day_record(self._zone, now_ms)

    def _apply(self, step: Step, now_ms: int) -> None:
        zone = self._zone
        for change in step.changes:
            change_handlers.get(type(change))(zone, change, now_ms)
        zone.effects.extend(step.effects)

    def _settle_journal(self, now_ms: int) -> None:
        """Go on with what waited for entries to become durable."""
        zone = self._zone
        if zone.journal.fenced and zone.leadership.epoch:
            self._apply(
                zone.leadership.step_down("the journal has a higher epoch"), now_ms
            )
            return
        for number in zone.journal.confirmed():
            ticket = zone.tickets.pop(number, None)
            state = zone.ledger.get(ticket.key) if ticket else None
            if ticket is None or state is None or state.phase is RequestPhase.ENDED:
                continue
            if ticket.purpose is TicketPurpose.ACCEPT:
                _recovery.accepted_is_durable(zone, state)
                if state.phase is RequestPhase.RECORDING:
                    # An accepted request is queued even if the queue has filled up.
                    restore(zone, state, now_ms)
            elif ticket.attempt == state.attempt and not state.may_run:
                send_starts(zone, state, now_ms)

    @_upkeep.register(HostsListed)
    def _on_hosts(self, event: HostsListed, now_ms: int) -> None:
        """Follow the host list: capacities, new, leaving and gone workers."""
        zone = self._zone
        own = {
            host.name: host
            for host in event.workers
            if host.availability_zone == self._settings.availability_zone
        }
        for name in sorted(set(zone.hosts) - set(own)):
            zone.workers.remove(name)
        for name, host in own.items():
            if zone.hosts.get(name) != host:
                zone.workers.add(host)
                if host.state is HostState.LEAVING:
                    self._move_from(name, now_ms)
                else:
                    zone.day.host_restored(name, "leaving", now_ms)
        zone.hosts = own
        zone.health.set_workers(own)
        zone.entry_hosts = event.entry_hosts
        zone.queue.set_capacity(_usable_capacity(zone))

    def _move_from(self, worker: str, now_ms: int) -> None:
        """Move long-running tasks off a leaving worker; the others finish there."""
        zone = self._zone
        zone.log("worker_leaving", worker=worker)
        zone.day.host_removed(worker, "leaving", now_ms)
        for state, task in zone.ledger.tasks_on(worker):
            kind = zone.kinds.get(state.request.kind)
            moves = kind is not None and (kind.standing or kind.checkpoint)
            if moves and state.request.repeatable and task.phase is TaskPhase.RUNNING:
                state.requeue_reason = f"{worker} is leaving"
                state.history.add(now_ms, "moving", state.requeue_reason)
                zone.effects.append(StopTasks(worker, (task.task,), checkpoint=True))

    @_upkeep.register(Tick)
    def _on_tick(self, event: Tick, now_ms: int) -> None:
        """Expire, repair and drain while this host leads."""
        zone = self._zone
        if not zone.leadership.epoch:
            return
        # First, as what follows can end the causes of waiting.
        note_tick(zone, now_ms)
        zone.ledger.expire(now_ms)
        for queued in zone.queue.pop_expired(now_ms):
            state = zone.ledger.get(queued.request.key)
            if state is not None and state.phase is RequestPhase.WAITING:
                message = "its deadline passed while it waited"
                end_request(
                    zone,
                    state,
                    OutcomeKind.NOT_RUN,
                    now_ms,
                    code=OutcomeCode.DEADLINE_PASSED,
                    message=message,
                )
        for name in zone.health.workers_to_recheck(now_ms):
            if name in zone.workers:
                zone.workers.set_healthy(name, True)
        reserve_for_starving(zone, now_ms)
        zone.queue.set_capacity(_usable_capacity(zone))
        zone.has_work = True
        _intake.refuse_unrecorded(zone, now_ms)
        restore_delayed(zone, now_ms)
        forget_preemptions(zone, now_ms)
        _tasks.forget_unmatched_ends(zone, now_ms)
        if zone.journal.needs_snapshot:
            zone.effects.extend(zone.journal.snapshot(now_ms))
        if zone.is_draining:
            self._try_release(now_ms)

    def _try_release(self, now_ms: int) -> None:
        """Give leadership up once nothing is in flight and someone can take it."""
        zone = self._zone
        for state in list(zone.ledger):
            if state.phase is not RequestPhase.PLACED:
                continue
            phases = {task.phase for task in state.tasks.values()}
            if phases & {TaskPhase.STARTING, TaskPhase.CHECKING}:
                return
            if phases == {TaskPhase.RESERVED}:
                requeue(zone, state, now_ms, "this entry host is stopping")
            elif state.origins and not self._has_successor(now_ms):
                return
        if zone.tickets and zone.journal.available:
            return
        self._apply(zone.leadership.release(now_ms, clean=True), now_ms)

    def _has_successor(self, now_ms: int) -> bool:
        """Return whether another live entry host of the zone can reach the table."""
        zone = self._zone
        return zone.can_record(now_ms) and any(
            host.name != self._settings.host
            and host.availability_zone == self._settings.availability_zone
            and host.state is HostState.LIVE
            for host in zone.entry_hosts
        )


def _usable_capacity(zone: Zone) -> Size:
    """Return what the workers in service hold, of which floors are parts.

    A worker that may take no further task until its first ones have ended counts,
    since what these hold counts as well.
    """
    removed = zone.health.removed()
    total = Size()
    for view in zone.workers:
        if view.ready and not view.leaving and view.name not in removed:
            total = total.plus(view.capacity)
    return total
