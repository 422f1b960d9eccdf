"""Renewal of task leases while a zone has no leader and the platform is down."""

from marigoldpath_core.leadership import leader_row_key, parse_claim_name
from marigoldpath_core.messages import (
    Effect,
    Event,
    ListTasks,
    RenewLeases,
    RowRead,
    RowReadFailed,
    TasksListed,
    Tick,
    WorkerReport,
)
from marigoldpath_core.registry import Registry
from marigoldpath_core.settings import DaemonSettings

OUTAGE_THRESHOLD_MS = 2_000

_handlers: Registry = Registry("outage renewal event")


class OutageLeaseRenewer:
    """Renew the leases of running tasks from a follower that can't read the leader row.

    A renewal starts no task. It is sent only after a round of polls in which more
    than half of the workers report no live claim. A leader that this host cannot
    reach holds claims on more than half of the workers too, so at least one of the
    reports would include such a claim, and no renewals are sent while there is a
    leader. The new expiry is computed from the worker's clock in the report, so a
    renewal that arrives late extends no lease beyond the time that a new leader waits.
    """

    def __init__(self, settings: DaemonSettings) -> None:
        self._settings = settings
        self._key = leader_row_key(settings.availability_zone)
        self._failing_since_ms: int | None = None
        self._poll_round_at_ms = -(10**9)
        self._reports: dict[str, WorkerReport] = {}
        self._listed_workers: frozenset[str] = frozenset()
        self._found_leader_claim = False

    def handle(
        self, event: Event, listed_workers: frozenset[str], now_ms: int
    ) -> list[Effect]:
        """Process one event; `listed_workers` are the workers of the zone."""
        if type(event) not in _handlers:
            return []
        self._listed_workers = listed_workers
        return _handlers.get(type(event))(self, event, now_ms)

    @_handlers.register(RowRead)
    def _on_row(self, event: RowRead, now_ms: int) -> list[Effect]:
        if event.key == self._key:
            self._failing_since_ms = None
        return []

    @_handlers.register(RowReadFailed)
    def _on_row_failed(self, event: RowReadFailed, now_ms: int) -> list[Effect]:
        if event.key == self._key and self._failing_since_ms is None:
            self._failing_since_ms = now_ms
        return []

    @_handlers.register(Tick)
    def _on_tick(self, event: Tick, now_ms: int) -> list[Effect]:
        since_ms = self._failing_since_ms
        if since_ms is None or now_ms - since_ms < OUTAGE_THRESHOLD_MS:
            return []
        interval_ms = self._settings.leadership.task_lease_ms // 3
        if now_ms - self._poll_round_at_ms < interval_ms:
            return []
        self._poll_round_at_ms = now_ms
        self._reports.clear()
        self._found_leader_claim = False
        return [ListTasks(worker) for worker in sorted(self._listed_workers)]

    @_handlers.register(TasksListed)
    def _on_tasks(self, event: TasksListed, now_ms: int) -> list[Effect]:
        if self._failing_since_ms is None or event.worker not in self._listed_workers:
            return []
        report = event.report
        self._found_leader_claim |= any(
            parse_claim_name(task.task) is not None
            and task.lease_until_ms > report.clock_ms
            for task in report.tasks
        )
        if self._found_leader_claim:
            return []
        was_majority = self._has_majority()
        self._reports[event.worker] = report
        if not self._has_majority():
            return []
        if was_majority:
            return self._renewals({event.worker: report})
        return self._renewals(self._reports)

    def _has_majority(self) -> bool:
        return 2 * len(self._reports) > len(self._listed_workers)

    def _renewals(self, reports: dict[str, WorkerReport]) -> list[Effect]:
        lease_ms = self._settings.leadership.task_lease_ms
        effects: list[Effect] = []
        for worker, report in reports.items():
            for holder in sorted({task.holder for task in report.tasks}):
                tasks = tuple(
                    task.task for task in report.tasks if task.holder == holder
                )
                until_ms = report.clock_ms + lease_ms
                effects.append(RenewLeases(worker, holder, tasks, until_ms))
        return effects
