"""A worker that starts every task it is sent, even beyond its capacity."""

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

MAX_STOP_MS = 600.0
MAX_LEASE_MS = 6_000
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
    """One worker, which reports its runs to the oracle.

    Parameters named `now_ms` are true time; the worker's own clock runs at the speed
    `_rate`.
    """

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
        self.failed_run_share = 0.05
        self.incarnation_count = 0
        self.restart(0.0)

    def restart(self, now_ms: float) -> None:
        """Lose all runs and all state, and start a new incarnation of the same id."""
        if self.incarnation_count:
            for run in self._runs.values():
                run.record.end_ms = now_ms
        self.incarnation_count += 1
        self._started_ms = now_ms
        self._fence = 0
        self._lease_clock_ms = 0.0
        self._runs: dict[TaskKey, _Run] = {}
        self._terminated: list[tuple[TerminatedRun, RunRecord]] = []
        self._last_number = 0
        self._highest_runs: dict[TaskKey, int] = {}
        self._advanced_ms = now_ms

    @property
    def running_tasks(self) -> tuple[TaskKey, ...]:
        """The tasks that run on the worker."""
        return tuple(self._runs)

    @property
    def entry(self) -> WorkerEntry:
        """The worker's entry in the directory of workers."""
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
            int(self._started_ms) + 1,
        )

    def poll(
        self, token: int, command: WorkerPoll, now_ms: float
    ) -> WorkerReport | None:
        """Return the worker's report, or None if the fencing token is too low."""
        self.advance(now_ms)
        if token < self._fence:
            return None
        self._fence = token
        if command.until_clock_ms is not None:
            self._extend_lease(command.until_clock_ms, now_ms)
        unacknowledged = []
        for termination, record in self._terminated:
            if termination.number > command.last_acknowledged:
                unacknowledged.append((termination, record))
            elif record.acknowledged_ms is None:
                record.acknowledged_ms = now_ms
        self._terminated = unacknowledged
        running = tuple(
            RunningTask(task, run.record.number, "", self._percent(run), 0)
            for task, run in self._runs.items()
        )
        return WorkerReport(
            self.worker_id,
            int(self._clock(now_ms)),
            int(self._started_ms) + 1,
            running,
            tuple(termination for termination, _ in self._terminated),
        )

    def start(
        self, command: StartRun, token: int, spec: StepSpec, now_ms: float
    ) -> tuple[StartResult, int]:
        """Execute a start command; return the result and the worker's clock."""
        self.advance(now_ms)
        clock_ms = int(self._clock(now_ms))
        if token < self._fence:
            return StartResult.FENCED, clock_ms
        self._fence = token
        if command.until_clock_ms <= clock_ms:
            return StartResult.EXPIRED, clock_ms
        self._extend_lease(command.until_clock_ms, now_ms)
        current = self._runs.get(command.task)
        if current is not None and current.record.number == command.run:
            return StartResult.STARTED, clock_ms
        if command.run <= self._highest_runs.get(command.task, 0):
            return StartResult.STALE_RUN, clock_ms
        self._start_run(command, spec, now_ms)
        return StartResult.STARTED, clock_ms

    def stop(self, command: StopRun, token: int, now_ms: float) -> int | None:
        """Execute a stop command; return the worker's clock, or None if fenced."""
        self.advance(now_ms)
        if token < self._fence:
            return None
        highest = self._highest_runs.get(command.task, 0)
        self._highest_runs[command.task] = max(highest, command.run)
        run = self._runs.get(command.task)
        if run is not None and run.record.number == command.run and run.stop_ms is None:
            run.stop_ms = now_ms + self._random.uniform(0, MAX_STOP_MS)
        return int(self._clock(now_ms))

    def advance(self, now_ms: float) -> None:
        """Advance the runs to `now_ms` and terminate those that are due."""
        passed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        if self._clock(now_ms) > self._lease_clock_ms:
            for _, record in self._terminated:
                record.expired_unacknowledged = True
            for task in list(self._runs):
                self._terminate(task, TerminationReason.LEASE_EXPIRED, now_ms)
            return
        for task, run in list(self._runs.items()):
            run.left_ms -= passed_ms
            if run.stop_ms is not None and run.stop_ms <= now_ms:
                self._terminate(task, TerminationReason.STOPPED, now_ms)
            elif run.left_ms <= 0 and not run.spec.long_running:
                reason = (
                    TerminationReason.FAILED if run.fails else TerminationReason.DONE
                )
                self._terminate(task, reason, now_ms)

    def _start_run(self, command: StartRun, spec: StepSpec, now_ms: float) -> None:
        self._highest_runs[command.task] = command.run
        record = self._oracle.record_start(
            command.task, command.run, self.worker_id, now_ms
        )
        run = _Run(record, spec, spec.estimate_ms * self._random.uniform(0.5, 1.5))
        run.fails = self.fails_all_runs or self._random.random() < self.failed_run_share
        self._runs[command.task] = run
        allocations = [each.spec.need for each in self._runs.values()]
        for available, *allocated in zip(self.capacity, *allocations):
            if sum(allocated) > available:
                self._oracle.record_overcommitment(self.worker_id, now_ms)

    def _terminate(
        self, task: TaskKey, reason: TerminationReason, now_ms: float
    ) -> None:
        run = self._runs.pop(task)
        run.record.end_ms = now_ms
        run.record.reason = reason
        self._last_number += 1
        termination = TerminatedRun(
            self._last_number, task, run.record.number, reason, ""
        )
        self._terminated.append((termination, run.record))

    def _extend_lease(self, until_clock_ms: float, now_ms: float) -> None:
        latest_clock_ms = self._clock(now_ms) + MAX_LEASE_MS
        self._lease_clock_ms = max(
            self._lease_clock_ms, min(until_clock_ms, latest_clock_ms)
        )

    def _clock(self, now_ms: float) -> float:
        return (now_ms - self._started_ms) * self._rate

    def _percent(self, run: _Run) -> int:
        if run.spec.long_running:
            return 100
        return min(99, int(100 * (1 - run.left_ms / max(1.0, run.work_ms))))
