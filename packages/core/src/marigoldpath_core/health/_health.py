"""Counts failures by worker, request and kind, and removes failing workers."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import SchedulerSettings

from ._model import Failure, StartRecord, WorkerRecord
from ._rules import health_rules

# A request that failed on this many workers is itself considered faulty.
FAULTY_AFTER_WORKERS = 3
# A kind of a team is considered faulty if it failed, without a success, on more workers
# than may be removed from service, within these bounds. The lower bound keeps two bad
# workers of a small fleet from making a kind look faulty. The upper bound is the size
# of a rack: in a large fleet, the failure of a rack of up to 24 workers does not make a
# kind look faulty.
MIN_FAILING_WORKERS = 3
MAX_FAILING_WORKERS = 24
INITIAL_RETRY_DELAY_MS = 5_000
MAX_RETRY_DELAY_MS = 300_000
# The retry delay is reset by a task that succeeds later than the worker's retry time
# plus this many delays.
RESET_AFTER_DELAYS = 4
MAX_TRACKED_REQUESTS = 10_000
MAX_TRACKED_GROUPS = 1_000

TeamAndKind = tuple[str, str]


class WorkerHealth:
    """Decides which workers are allowed to receive tasks.

    All `now_ms` arguments must be on the same clock.
    """

    def __init__(
        self, settings: SchedulerSettings, rule: str = "bounded_losses"
    ) -> None:
        self._settings = settings
        self._rule = health_rules.get(rule)
        self._records: dict[str, WorkerRecord] = {}
        self._removed: dict[str, str] = {}
        self._refused: set[str] = set()
        self._with_failures: set[str] = set()
        self._failing_workers_by_request: OrderedDict[RequestKey, set[str]] = (
            OrderedDict()
        )
        self._failing_workers_by_group: OrderedDict[TeamAndKind, set[str]] = (
            OrderedDict()
        )
        self._sequence = 0
        self._now_ms = 0

    def set_workers(self, names: Iterable[str]) -> None:
        """Set the names of the fleet's workers; drop the records of all others."""
        known = set(names)
        for name in known - self._records.keys():
            self._records[name] = WorkerRecord()
        for name in self._records.keys() - known:
            del self._records[name]
            self._removed.pop(name, None)
            self._refused.discard(name)
            self._with_failures.discard(name)

    def record_start(self, worker: str, key: RequestKey, kind: str) -> None:
        """Record a start; its time is the latest `now_ms` passed to another method."""
        self._sequence += 1
        start = StartRecord(self._sequence, key, kind, self._now_ms)
        self._record(worker).in_flight.setdefault(key, []).append(start)

    def record_end(
        self, worker: str, key: RequestKey, kind: str, ok: bool | None, now_ms: int
    ) -> None:
        """Record the termination of a task.

        `ok` is whether the task succeeded, or None if the termination does not depend
        on the worker's health, for example if the task was cancelled.
        """
        self._now_ms = max(self._now_ms, now_ms)
        record = self._record(worker)
        starts = record.in_flight.get(key)
        sequence = starts.pop(0).sequence if starts else self._sequence
        if not starts:
            record.in_flight.pop(key, None)
        if ok is None:
            return
        if ok:
            self._failing_workers_by_request.pop(key, None)
            self._failing_workers_by_group.pop((key.team, kind), None)
            self._on_success(worker, record, sequence)
        else:
            self._on_failure(worker, record, Failure(sequence, key, kind))

    def may_place(self, worker: str, now_ms: int) -> bool:
        """Return whether a worker is allowed to receive one more task now.

        A refused worker is recorded for `workers_to_recheck`.
        """
        self._now_ms = max(self._now_ms, now_ms)
        allowed = self._is_allowed(self._record(worker), now_ms)
        if allowed:
            self._refused.discard(worker)
        else:
            self._refused.add(worker)
        return allowed

    def workers_to_recheck(self, now_ms: int) -> list[str]:
        """Return the workers that `may_place` last refused and would allow now."""
        return [name for name in sorted(self._refused) if self.may_place(name, now_ms)]

    def removed(self) -> dict[str, str]:
        """Return the workers removed from service, with the reason for each."""
        return dict(self._removed)

    def is_probe(self, worker: str) -> bool:
        """Return whether the next task on a worker is a probe, which is likely to fail.

        A probe is a task on a worker that is removed from service.
        """
        return worker in self._removed

    def request_fault(self, key: RequestKey) -> str | None:
        """Return why a request must not be retried, or None if a retry is allowed."""
        workers = self._failing_workers_by_request.get(key, set())
        if len(workers) < FAULTY_AFTER_WORKERS:
            return None
        return f"it failed on {len(workers)} workers: {', '.join(sorted(workers))}"

    def is_faulty_kind(self, team: str, kind: str) -> bool:
        """Return whether a kind of a team, and not the workers, is considered faulty.

        This is so if its requests failed on too many workers since its last success.
        """
        removable = len(self._records) * self._settings.removed_fleet_percent // 100
        limit = min(max(removable, MIN_FAILING_WORKERS), MAX_FAILING_WORKERS)
        return len(self._failing_workers_by_group.get((team, kind), ())) > limit

    def _record(self, worker: str) -> WorkerRecord:
        record = self._records.get(worker)
        if record is None:
            record = self._records[worker] = WorkerRecord()
        return record

    def _is_allowed(self, record: WorkerRecord, now_ms: int) -> bool:
        result = self._rule(record, self._settings)
        if record.reason is not None:
            return now_ms >= record.retry_at_ms and not record.in_flight
        if result.limit is None:
            return True
        if result.reason is not None:
            # The worker fails but stays in service, because no more workers may be
            # removed. It runs one task at a time.
            return not record.in_flight
        return record.unproven_starts(now_ms) < result.limit

    def _on_success(self, worker: str, record: WorkerRecord, sequence: int) -> None:
        record.proven_sequence = self._sequence
        if (
            self._now_ms
            > record.retry_at_ms + RESET_AFTER_DELAYS * record.retry_delay_ms
        ):
            record.retry_delay_ms = 0
        record.failures = [
            failure for failure in record.failures if failure.sequence > sequence
        ]
        self._return_to_service(worker, record)

    def _on_failure(self, worker: str, record: WorkerRecord, failure: Failure) -> None:
        self._record_failure(worker, failure)
        if self.request_fault(failure.key):
            self._discard_failures(lambda other: other.key == failure.key)
            return
        group = failure.key.team, failure.kind
        if self.is_faulty_kind(*group):
            self._discard_failures(lambda other: (other.key.team, other.kind) == group)
            return
        self._with_failures.add(worker)
        record.failures.append(failure)
        record.failures.sort()
        if record.reason is not None:
            # The failure of a task that started before the removal is not the failure
            # of a probe, so it does not delay the next probe.
            if failure.sequence > record.removed_sequence:
                self._delay_retry(record)
            return
        reason = self._rule(record, self._settings).reason
        if reason is not None and self._may_remove_another():
            record.reason = reason
            record.removed_sequence = self._sequence
            self._removed[worker] = reason
            self._delay_retry(record)

    def _record_failure(self, worker: str, failure: Failure) -> None:
        self._failing_workers_by_request.setdefault(failure.key, set()).add(worker)
        self._failing_workers_by_request.move_to_end(failure.key)
        if len(self._failing_workers_by_request) > MAX_TRACKED_REQUESTS:
            self._failing_workers_by_request.popitem(last=False)
        group = failure.key.team, failure.kind
        self._failing_workers_by_group.setdefault(group, set()).add(worker)
        self._failing_workers_by_group.move_to_end(group)
        if len(self._failing_workers_by_group) > MAX_TRACKED_GROUPS:
            self._failing_workers_by_group.popitem(last=False)

    def _discard_failures(self, is_discarded: Callable[[Failure], bool]) -> None:
        for worker in sorted(self._with_failures):
            record = self._records[worker]
            record.failures = [
                failure for failure in record.failures if not is_discarded(failure)
            ]
            self._return_to_service(worker, record)

    def _return_to_service(self, worker: str, record: WorkerRecord) -> None:
        if record.failures:
            return
        self._with_failures.discard(worker)
        if record.reason is not None:
            record.reason = None
            del self._removed[worker]

    def _delay_retry(self, record: WorkerRecord) -> None:
        doubled_ms = min(record.retry_delay_ms * 2, MAX_RETRY_DELAY_MS)
        record.retry_delay_ms = max(doubled_ms, INITIAL_RETRY_DELAY_MS)
        record.retry_at_ms = self._now_ms + record.retry_delay_ms

    def _may_remove_another(self) -> bool:
        most = len(self._records) * self._settings.removed_fleet_percent // 100
        return len(self._removed) < most
