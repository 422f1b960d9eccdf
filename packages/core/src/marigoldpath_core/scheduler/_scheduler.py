"""The scheduler of a zone: leadership, journal, admission and placement combined."""

from typing import Any

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.leadership import LeaderIdentity, LeadershipUpdate
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
from marigoldpath_core.request_state import RequestPhase, TaskPhase
from marigoldpath_core.requests import OutcomeKind, RequestKey, Size
from marigoldpath_core.settings import DaemonSettings

from . import _leases, _recovery, _submissions, _tasks, _usage
from ._codes import OutcomeCode
from ._dispatch import (
    dispatch,
    enqueue_admitted,
    enqueue_delayed_restarts,
    requeue,
    reserve_for_starving,
    send_starts,
)
from ._outage_renewal import OutageLeaseRenewer
from ._outcomes import end_request
from ._preemption import remove_old_preemptions
from ._statistics import day_record, update_statistics
from ._zone import (
    PendingEntryPurpose,
    Zone,
    ZonePhase,
    event_handlers,
    leadership_change_handlers,
)

__all__ = ["ZoneScheduler"]

_MODULES_WITH_HANDLERS = (_submissions, _leases, _recovery, _tasks, _usage)
TICK_MS = 100
_maintenance_handlers: Registry = Registry("scheduler maintenance event")


class ZoneScheduler:
    """Schedule one zone: turn events into effects.

    `now_ms` is in milliseconds since the Unix epoch, on a clock that never goes back.
    `incarnation` is unique to this process.
    """

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self._settings = settings
        self._zone = Zone(settings, incarnation)
        self._outage_renewer = OutageLeaseRenewer(settings)
        self._ticked_at_ms = -TICK_MS

    @property
    def leader(self) -> LeaderIdentity | None:
        """The zone's leader according to the leader row."""
        return self._zone.leadership.leader

    @property
    def epoch(self) -> int:
        """The epoch in which this host leads, or 0 when it does not lead."""
        return self._zone.leadership.epoch

    @property
    def is_drained(self) -> bool:
        """Whether a drain has completed."""
        return self._zone.is_draining and not self._zone.leadership.epoch

    @property
    def workers_to_poll(self) -> frozenset[str]:
        """The workers to poll for terminated tasks."""
        zone = self._zone
        return zone.leadership.listed_workers if zone.leadership.epoch else frozenset()

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads the zone and accepts requests now."""
        return self._zone.is_serving(now_ms)

    def wake_ms(self, now_ms: int) -> int:
        """Return the time at which the next Tick must be handled."""
        wake_ms = self._zone.journal.wake_ms
        return min(now_ms + TICK_MS, wake_ms or now_ms + TICK_MS)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Process one event and return its effects."""
        zone = self._zone
        zone.now_ms = now_ms
        zone.effects.extend(zone.journal.handle(event, now_ms))
        if not self._is_journal_only_tick(event, now_ms):
            self._apply(zone.leadership.handle(event, now_ms), now_ms)
            if type(event) in event_handlers:
                event_handlers.get(type(event))(zone, event, now_ms)
            if type(event) in _maintenance_handlers:
                _maintenance_handlers.get(type(event))(self, event, now_ms)
        self._process_durable_entries(now_ms)
        if zone.phase is ZonePhase.RECOVERING:
            _recovery.begin_serving_if_ready(zone, now_ms)
        if zone.is_serving(now_ms):
            dispatch(zone, now_ms)
        zone.effects.extend(zone.journal.tick(now_ms))
        if not zone.leadership.epoch:
            listed_workers = zone.leadership.listed_workers
            zone.effects.extend(
                self._outage_renewer.handle(event, listed_workers, now_ms)
            )
        return zone.take_effects()

    def _is_journal_only_tick(self, event: Event, now_ms: int) -> bool:
        """Return whether only the journal must handle this event, a Tick.

        The journal needs a Tick every 10 ms while it writes. Checking 513 claims and
        their leases every 10 ms took most of a leader's time, so that is done only
        every TICK_MS.
        """
        if not isinstance(event, Tick):
            return False
        if 0 <= now_ms - self._ticked_at_ms < TICK_MS:
            return True
        self._ticked_at_ms = now_ms
        return False

    def configure(self, configuration: Configuration) -> None:
        """Activate a configuration."""
        self._zone.configure(configuration)

    def drain(self) -> None:
        """Refuse new requests, and release leadership when nothing is in flight."""
        self._zone.is_draining = True
        self._zone.leadership.stop_candidacy()

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return phase, outcome and history of a request, if it is known."""
        state = self._zone.request_index.get(key)
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
        """Return the state of the zone for the status report."""
        zone = self._zone
        return {
            "phase": str(zone.phase),
            "serving": zone.is_serving(now_ms),
            "epoch": zone.leadership.epoch,
            "requests": len(zone.request_index),
            "waiting": {name: zone.queue.length(name) for name in zone.kinds},
            "workers": {
                view.name: {
                    "rack": view.rack,
                    "ready": zone.observation(view.name).is_ready,
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
        """Return this leader's statistics of the day, for the report."""
        return day_record(self._zone, now_ms)

    def _apply(self, update: LeadershipUpdate, now_ms: int) -> None:
        zone = self._zone
        for change in update.changes:
            leadership_change_handlers.get(type(change))(zone, change, now_ms)
        zone.effects.extend(update.effects)

    def _process_durable_entries(self, now_ms: int) -> None:
        """Queue or start the requests whose journal entries have become durable."""
        zone = self._zone
        if zone.journal.fenced and zone.leadership.epoch:
            self._apply(
                zone.leadership.step_down("the journal has a higher epoch"), now_ms
            )
            return
        for sequence in zone.journal.confirmed():
            entry = zone.pending_entries.pop(sequence, None)
            state = zone.request_index.get(entry.key) if entry else None
            if entry is None or state is None or state.phase is RequestPhase.ENDED:
                continue
            if entry.purpose is PendingEntryPurpose.ACCEPT:
                _recovery.on_acceptance_durable(zone, state)
                if state.phase is RequestPhase.RECORDING:
                    # Queued even if the queue has become full, because the caller was
                    # told that the request is accepted.
                    enqueue_admitted(zone, state, now_ms)
            elif entry.attempt == state.attempt and not state.may_run:
                send_starts(zone, state, now_ms)

    @_maintenance_handlers.register(HostsListed)
    def _on_hosts(self, event: HostsListed, now_ms: int) -> None:
        """Apply the host list: capacities, and new, draining and removed workers."""
        zone = self._zone
        zone_workers = {
            host.name: host
            for host in event.workers
            if host.availability_zone == self._settings.availability_zone
        }
        for name in sorted(set(zone.hosts) - set(zone_workers)):
            zone.workers.remove(name)
        for name, host in zone_workers.items():
            if zone.hosts.get(name) != host:
                zone.workers.add(host)
                if host.state is HostState.LEAVING:
                    self._move_tasks_from(name, now_ms)
                else:
                    zone.statistics.host_restored(name, "leaving", now_ms)
        zone.hosts = zone_workers
        zone.health.set_workers(zone_workers)
        zone.entry_hosts = event.entry_hosts
        zone.queue.set_capacity(_capacity_in_service(zone))

    def _move_tasks_from(self, worker: str, now_ms: int) -> None:
        """Stop the tasks on a draining worker that can continue on another one.

        These are repeatable tasks that are long-running or save checkpoints. The others
        complete on the draining worker.
        """
        zone = self._zone
        zone.log("worker_leaving", worker=worker)
        zone.statistics.host_removed(worker, "leaving", now_ms)
        for state, task in zone.request_index.tasks_on(worker):
            kind = zone.kinds.get(state.request.kind)
            is_movable = kind is not None and (kind.standing or kind.checkpoint)
            if (
                is_movable
                and state.request.repeatable
                and task.phase is TaskPhase.RUNNING
            ):
                state.requeue_reason = f"{worker} is leaving"
                state.history.add(now_ms, "moving", state.requeue_reason)
                zone.effects.append(StopTasks(worker, (task.task,), checkpoint=True))

    @_maintenance_handlers.register(Tick)
    def _on_tick(self, event: Tick, now_ms: int) -> None:
        """Run the leader's periodic work: expiry, health, snapshots and draining."""
        zone = self._zone
        if not zone.leadership.epoch:
            return
        # Runs first, because the calls below can remove the causes for which requests
        # wait.
        update_statistics(zone, now_ms)
        zone.request_index.remove_expired(now_ms)
        for queued in zone.queue.pop_expired(now_ms):
            state = zone.request_index.get(queued.request.key)
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
        zone.queue.set_capacity(_capacity_in_service(zone))
        zone.needs_dispatch = True
        _submissions.refuse_unrecordable(zone, now_ms)
        enqueue_delayed_restarts(zone, now_ms)
        remove_old_preemptions(zone, now_ms)
        _tasks.remove_old_placeholders(zone, now_ms)
        if zone.journal.needs_snapshot:
            zone.effects.extend(zone.journal.snapshot(now_ms))
        if zone.is_draining:
            self._try_release_leadership(now_ms)

    def _try_release_leadership(self, now_ms: int) -> None:
        """Release leadership once nothing is in flight and a successor is available."""
        zone = self._zone
        for state in list(zone.request_index):
            if state.phase is not RequestPhase.PLACED:
                continue
            phases = {task.phase for task in state.tasks.values()}
            if phases & {TaskPhase.STARTING, TaskPhase.CHECKING}:
                return
            if phases == {TaskPhase.RESERVED}:
                requeue(zone, state, now_ms, "this entry host is stopping")
            elif state.origins and not self._has_successor(now_ms):
                return
        if zone.pending_entries and zone.journal.available:
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


def _capacity_in_service(zone: Zone) -> Size:
    """Return the total capacity of the workers in service.

    Floors are fractions of this capacity. Workers in service are ready, not draining
    and not removed because of failures. They count even while their health allows no
    further task (`WorkerHealth.may_place`), because the resources allocated to their
    tasks are included in the usage that the capacity is compared with.
    """
    removed = zone.health.removed()
    total = Size()
    for view in zone.workers:
        if view.ready and not view.leaving and view.name not in removed:
            total = total.plus(view.capacity)
    return total
