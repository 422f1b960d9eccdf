"""A worker that starts what it is told, fit or not, and writes it down."""

from random import Random

from marigoldpath_core.fleet import (
    RunningTask,
    StartResult,
    StartRun,
    StopRun,
    TerminatedRun,
    TerminationReason,
    WorkerEntry,
    WorkerPoll,
    WorkerReport,
)
from marigoldpath_core.jobs import Resources, StepSpec, TaskKey

from ._oracle import Oracle, RunRecord

STOP_MS = 600.0
LONGEST_LEASE_MS = 6_000
GANG_TIMEOUT_MS = 3_000.0


class _Run:
    def __init__(self, record: RunRecord, spec: StepSpec, work_ms: float) -> None:
        self.record = record
        self.spec = spec
        self.left_ms = work_ms
        self.work_ms = work_ms
        self.stop_ms: float | None = None
        self.fails = False


class SimulatedWorker:
    """One worker; `rate` is the speed of its clock, `now_ms` is true time."""

    def __init__(
        self,
        worker_id: str,
        capacity: Resources,
        oracle: Oracle,
        random: Random,
        zone: str = "zone",
    ) -> None:
        self.worker_id = worker_id
        self.capacity = capacity
        self.zone = zone
        self.fails_all_runs = False
        self._oracle = oracle
        self._random = random
        self._rate = random.uniform(0.98, 1.0)
        self.incarnation_count = 0
        self.restart(0.0)

    def restart(self, now_ms: float) -> None:
        """Lose all that runs and is known, and start again under the same id."""
        if self.incarnation_count:
            for run in self._runs.values():
                run.record.end_ms = now_ms
        self.incarnation_count += 1
        self._born_ms = now_ms
        self._fence = 0
        self._lease_clock_ms = 0.0
        self._runs: dict[TaskKey, _Run] = {}
        self._ends: list[tuple[TerminatedRun, RunRecord]] = []
        self._number = 0
        self._highest: dict[TaskKey, int] = {}
        self._seen_ms = now_ms

    @property
    def entry(self) -> WorkerEntry:
        """The worker's entry in the directory."""
        return WorkerEntry(
            self.worker_id,
            "service",
            f"{self.worker_id}:1",
            self.zone,
            ("a", "rack-1"),
            "rack-1",
            self.capacity,
            False,
            0,
            int(self._born_ms) + 1,
        )

    def look(self, epoch: int, order: WorkerPoll, now_ms: float) -> WorkerReport | None:
        """Return the lists, or None when the epoch is too low."""
        self.advance(now_ms)
        if epoch < self._fence:
            return None
        self._fence = epoch
        if order.until_clock_ms is not None:
            self._extend(order.until_clock_ms, now_ms)
        kept = []
        for end, record in self._ends:
            if end.number > order.last_acknowledged:
                kept.append((end, record))
            elif record.noted_ms is None:
                record.noted_ms = now_ms
        self._ends = kept
        running = tuple(
            RunningTask(task, run.record.number, "", self._percent(run), 0)
            for task, run in self._runs.items()
        )
        return WorkerReport(
            self.worker_id,
            int(self._clock(now_ms)),
            int(self._born_ms) + 1,
            running,
            tuple(end for end, _ in self._ends),
        )

    def start(
        self, order: StartRun, epoch: int, spec: StepSpec, now_ms: float
    ) -> tuple[StartResult, int]:
        """Carry out an order to start."""
        self.advance(now_ms)
        clock_ms = int(self._clock(now_ms))
        if epoch < self._fence:
            return StartResult.FENCED, clock_ms
        self._fence = epoch
        if order.until_clock_ms <= clock_ms:
            return StartResult.EXPIRED, clock_ms
        self._extend(order.until_clock_ms, now_ms)
        known = self._runs.get(order.task)
        if known is not None and known.record.number == order.run:
            return StartResult.STARTED, clock_ms
        if order.run <= self._highest.get(order.task, 0):
            return StartResult.STALE_RUN, clock_ms
        self._begin(order, spec, now_ms)
        return StartResult.STARTED, clock_ms

    def stop(self, order: StopRun, epoch: int, now_ms: float) -> int | None:
        """Carry out an order to stop; return the clock, None if fenced."""
        self.advance(now_ms)
        if epoch < self._fence:
            return None
        highest = self._highest.get(order.task, 0)
        self._highest[order.task] = max(highest, order.run)
        run = self._runs.get(order.task)
        if run is not None and run.record.number == order.run and run.stop_ms is None:
            run.stop_ms = now_ms + self._random.uniform(0, STOP_MS)
        return int(self._clock(now_ms))

    def advance(self, now_ms: float) -> None:
        """Let the work go on until `now_ms`."""
        passed_ms = now_ms - self._seen_ms
        self._seen_ms = now_ms
        if self._clock(now_ms) > self._lease_clock_ms:
            for _, record in self._ends:
                record.is_forgotten = True
            for task in list(self._runs):
                self._end(task, TerminationReason.LEASE_EXPIRED, now_ms)
            return
        for task, run in list(self._runs.items()):
            run.left_ms -= passed_ms
            if run.stop_ms is not None and run.stop_ms <= now_ms:
                self._end(task, TerminationReason.STOPPED, now_ms)
            elif run.left_ms <= 0 and not run.spec.long_running:
                kind = TerminationReason.FAILED if run.fails else TerminationReason.DONE
                self._end(task, kind, now_ms)

    def _begin(self, order: StartRun, spec: StepSpec, now_ms: float) -> None:
        self._highest[order.task] = order.run
        record = self._oracle.record_start(
            order.task, order.run, self.worker_id, now_ms
        )
        run = _Run(record, spec, spec.estimate_ms * self._random.uniform(0.5, 1.5))
        run.fails = self.fails_all_runs or self._random.random() < 0.05
        self._runs[order.task] = run
        held = [each.spec.need for each in self._runs.values()]
        for have, *want in zip(self.capacity, *held):
            if sum(want) > have:
                self._oracle.record_overcommitment(self.worker_id, now_ms)

    def _end(self, task: TaskKey, kind: TerminationReason, now_ms: float) -> None:
        run = self._runs.pop(task)
        run.record.end_ms = now_ms
        run.record.kind = kind
        self._number += 1
        end = TerminatedRun(self._number, task, run.record.number, kind, "")
        self._ends.append((end, run.record))

    def _extend(self, until_clock_ms: float, now_ms: float) -> None:
        most = self._clock(now_ms) + LONGEST_LEASE_MS
        self._lease_clock_ms = max(self._lease_clock_ms, min(until_clock_ms, most))

    def _clock(self, now_ms: float) -> float:
        return (now_ms - self._born_ms) * self._rate

    def _percent(self, run: _Run) -> int:
        if run.spec.long_running:
            return 100
        return min(99, int(100 * (1 - run.left_ms / max(1.0, run.work_ms))))
