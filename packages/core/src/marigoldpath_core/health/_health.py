"""The account of failures by worker, by request and by kind."""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import SchedulerSettings

from ._model import Failure, StartRecord, WorkerRecord
from ._rules import health_rules

# A request that failed on this many workers is at fault itself.
FAULTY_AFTER_WORKERS = 3
# A team's kind is at fault when it failed, without a success, on more workers than may
# be removed. The bounds keep a small fleet from blaming a kind for two bad workers, and
# let a rack of up to 24 workers fail without the kind being blamed.
LEAST_FAILING_WORKERS = 3
MOST_FAILING_WORKERS = 24
FIRST_PAUSE_MS = 5_000
LONGEST_PAUSE_MS = 300_000
# A readmitted worker that works for four pauses starts with the first pause again.
STABLE_PAUSES = 4
REMEMBERED_REQUESTS = 10_000
REMEMBERED_GROUPS = 1_000

Group = tuple[str, str]


class WorkerHealth:
    """Decides which workers may get tasks. Times are `now_ms` of the caller's clock."""

    def __init__(
        self, settings: SchedulerSettings, rule: str = "bounded_losses"
    ) -> None:
        self._settings = settings
        self._rule = health_rules.get(rule)
        self._records: dict[str, WorkerRecord] = {}
        self._removed: dict[str, str] = {}
        self._blocked: set[str] = set()
        self._with_failures: set[str] = set()
        self._failed_on: OrderedDict[RequestKey, set[str]] = OrderedDict()
        self._failing: OrderedDict[Group, set[str]] = OrderedDict()
        self._sequence = 0
        self._now_ms = 0

    def set_workers(self, names: Iterable[str]) -> None:
        """Set the fleet of which a part may be removed, and forget other workers."""
        known = set(names)
        for name in known - self._records.keys():
            self._records[name] = WorkerRecord()
        for name in self._records.keys() - known:
            del self._records[name]
            self._removed.pop(name, None)
            self._blocked.discard(name)
            self._with_failures.discard(name)

    def record_start(self, worker: str, key: RequestKey, kind: str) -> None:
        """Count a start; it is dated with the latest time that was passed in."""
        self._sequence += 1
        start = StartRecord(self._sequence, key, kind, self._now_ms)
        self._record(worker).in_flight.setdefault(key, []).append(start)

    def record_end(
        self, worker: str, key: RequestKey, kind: str, ok: bool | None, now_ms: int
    ) -> None:
        """Count the end of a task; `ok` is None when it says nothing of the worker.

        A cancelled or throttled task, for example, says nothing.
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
            self._failed_on.pop(key, None)
            self._failing.pop((key.team, kind), None)
            self._succeeded(worker, record, sequence)
        else:
            self._failed(worker, record, Failure(sequence, key, kind))

    def may_place(self, worker: str, now_ms: int) -> bool:
        """Return whether a worker may get one more task now."""
        self._now_ms = max(self._now_ms, now_ms)
        allowed = self._is_allowed(self._record(worker), now_ms)
        if allowed:
            self._blocked.discard(worker)
        else:
            self._blocked.add(worker)
        return allowed

    def workers_to_recheck(self, now_ms: int) -> list[str]:
        """Return the workers that `may_place` refused and would now allow."""
        return [name for name in sorted(self._blocked) if self.may_place(name, now_ms)]

    def removed(self) -> dict[str, str]:
        """Return the removed workers and the reason of each."""
        return dict(self._removed)

    def is_probe(self, worker: str) -> bool:
        """Return whether the next task on a worker only tries it, so may be lost."""
        return worker in self._removed

    def request_fault(self, key: RequestKey) -> str | None:
        """Return why a request is not to be tried again, or None."""
        workers = self._failed_on.get(key, set())
        if len(workers) < FAULTY_AFTER_WORKERS:
            return None
        return f"it failed on {len(workers)} workers: {', '.join(sorted(workers))}"

    def is_faulty_kind(self, team: str, kind: str) -> bool:
        """Return whether a team's work of a kind fails wherever it runs."""
        removable = len(self._records) * self._settings.removed_fleet_percent // 100
        limit = min(max(removable, LEAST_FAILING_WORKERS), MOST_FAILING_WORKERS)
        return len(self._failing.get((team, kind), ())) > limit

    def _record(self, worker: str) -> WorkerRecord:
        record = self._records.get(worker)
        if record is None:
            record = self._records[worker] = WorkerRecord()
        return record

    def _is_allowed(self, record: WorkerRecord, now_ms: int) -> bool:
        verdict = self._rule(record, self._settings)
        if record.reason is not None:
            return now_ms >= record.retry_ms and not record.in_flight
        if verdict.limit is None:
            return True
        if verdict.reason is not None:
            # Failing, but too much of the fleet is out already: one task at a time.
            return not record.in_flight
        return record.unproven(now_ms) < verdict.limit

    def _succeeded(self, worker: str, record: WorkerRecord, sequence: int) -> None:
        record.proven_sequence = self._sequence
        if self._now_ms > record.retry_ms + STABLE_PAUSES * record.pause_ms:
            record.pause_ms = 0
        record.failures = [
            failure for failure in record.failures if failure.sequence > sequence
        ]
        self._readmit(worker, record)

    def _failed(self, worker: str, record: WorkerRecord, failure: Failure) -> None:
        self._note(worker, failure)
        if self.request_fault(failure.key):
            self._acquit(lambda other: other.key == failure.key)
            return
        group = failure.key.team, failure.kind
        if self.is_faulty_kind(*group):
            self._acquit(lambda other: (other.key.team, other.kind) == group)
            return
        self._with_failures.add(worker)
        record.failures.append(failure)
        record.failures.sort()
        if record.reason is not None:
            # Starts that were in flight at the removal are no probes.
            if failure.sequence > record.removed_sequence:
                self._pause(record)
            return
        reason = self._rule(record, self._settings).reason
        if reason is not None and self._may_remove_one_more():
            record.reason = reason
            record.removed_sequence = self._sequence
            self._removed[worker] = reason
            self._pause(record)

    def _note(self, worker: str, failure: Failure) -> None:
        self._failed_on.setdefault(failure.key, set()).add(worker)
        self._failed_on.move_to_end(failure.key)
        if len(self._failed_on) > REMEMBERED_REQUESTS:
            self._failed_on.popitem(last=False)
        group = failure.key.team, failure.kind
        self._failing.setdefault(group, set()).add(worker)
        self._failing.move_to_end(group)
        if len(self._failing) > REMEMBERED_GROUPS:
            self._failing.popitem(last=False)

    def _acquit(self, is_not_to_blame: Callable[[Failure], bool]) -> None:
        for worker in sorted(self._with_failures):
            record = self._records[worker]
            record.failures = [
                failure for failure in record.failures if not is_not_to_blame(failure)
            ]
            self._readmit(worker, record)

    def _readmit(self, worker: str, record: WorkerRecord) -> None:
        if record.failures:
            return
        self._with_failures.discard(worker)
        if record.reason is not None:
            record.reason = None
            del self._removed[worker]

    def _pause(self, record: WorkerRecord) -> None:
        longer = min(record.pause_ms * 2, LONGEST_PAUSE_MS)
        record.pause_ms = max(longer, FIRST_PAUSE_MS)
        record.retry_ms = self._now_ms + record.pause_ms

    def _may_remove_one_more(self) -> bool:
        most = len(self._records) * self._settings.removed_fleet_percent // 100
        return len(self._removed) < most
