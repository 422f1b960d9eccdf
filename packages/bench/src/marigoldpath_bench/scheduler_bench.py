"""Measures the processor time that the cell's scheduler takes for a start.

A seeded load that grows with the number of workers is played on a simulated clock.
Messages take no time and are never lost, so that only the scheduler's own work counts.
"""

import heapq
import time
from collections.abc import Iterator, Mapping, Sequence
from itertools import count
from random import Random
from typing import Any, NamedTuple

from marigoldpath_bench.measure import Measure
from marigoldpath_core.fleet import (
    AdviceReplied,
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    RequestAdvice,
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopRun,
    TerminatedRun,
    TerminationReason,
    Tick,
    WorkerEntry,
    WorkerReport,
    WorkersListed,
)
from marigoldpath_core.jobs import (
    AcceptedJob,
    AdvicePolicy,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
    TaskKey,
)

FLEET_SIZES = (24, 176, 540, 1_000, 4_100)
WORKER_CAPACITY = Resources(64_000, 256_000, 0)
WORKERS_PER_RACK = 20
ZONES = 6
TICK_MS = 100
PASS_MS = 10
COMMIT_MS = 70
ADVICE_MS = 25
ADVISED_FRACTION = 0.4
# A worker with runs is also polled without a termination, as often as its lease and its
# progress require.
POLL_MS = 500


class JobKind(NamedTuple):
    """A kind of job of the load; `per_worker_s` is its rate for each worker."""

    queue: Queue
    per_worker_s: float
    steps: tuple[StepSpec, ...]


_ADVICE = AdvicePolicy(20.0, 0.5, 2_000.0)
_SHORT_STEP = StepSpec(8, Resources(14_000, 4_000), estimate_ms=800)
_LONG_STEP = StepSpec(13, Resources(18_000, 6_000), estimate_ms=6_000)
KINDS = (
    JobKind(
        Queue("urgent", "service", 0, 3, 1.5, 300, _ADVICE),
        0.087,
        (_SHORT_STEP, _SHORT_STEP._replace(width=4, after=(0,))),
    ),
    JobKind(
        Queue("background", "service", 2, 3, 2.2, 1_200, _ADVICE),
        0.0135,
        (_LONG_STEP._replace(checkpointable=True), _LONG_STEP._replace(after=(0,))),
    ),
)


class LoadResult(NamedTuple):
    """What a played load took; `busy_s` is processor time of the scheduler."""

    starts: int
    busy_s: float
    pass_s: float
    played_s: float


class SchedulerLoad:
    """Plays a load on one scheduler and measures the scheduler's processor time."""

    def __init__(self, workers: int, seed: int) -> None:
        self._random = Random(f"scheduler load {seed}")
        self._now_ms = 10_000.0
        self._busy_s = self._pass_s = 0.0
        self._starts = 0
        self._order = count()
        self._agenda: list[tuple[float, int, Any, tuple]] = []
        # The start commands of the running tasks, and when they were sent.
        self._running: dict[str, dict[TaskKey, tuple[StartRun, float]]] = {}
        self._ended: dict[str, list[TerminatedRun]] = {}
        self._numbers: dict[str, int] = {}
        self._entries = tuple(_entry(number) for number in range(workers))
        self._scheduler = FleetScheduler(FleetSettings(), 1, {}, self._now_ms)

    def play(self, play_s: float) -> LoadResult:
        """Play the load for a simulated time and return what it took."""
        self._handle(WorkersListed(self._entries))
        for entry in self._entries:
            self._running[entry.worker_id] = {}
            self._ended[entry.worker_id] = []
            self._numbers[entry.worker_id] = 0
            self._report(entry.worker_id)
            self._plan(self._random.uniform(0, POLL_MS), self._poll, entry.worker_id)
        self._commit()
        for kind in KINDS:
            self._plan_job(kind)
        self._repeat(TICK_MS, self._tick)
        self._repeat(PASS_MS, self._dispatch)
        self._repeat(COMMIT_MS, self._commit)
        end_ms = self._now_ms + play_s * 1_000
        while self._agenda[0][0] <= end_ms:
            self._now_ms, _, action, arguments = heapq.heappop(self._agenda)
            action(*arguments)
        return LoadResult(self._starts, self._busy_s, self._pass_s, play_s)

    def _plan(self, delay_ms: float, action: Any, *arguments: Any) -> None:
        due_ms = self._now_ms + delay_ms
        heapq.heappush(self._agenda, (due_ms, next(self._order), action, arguments))

    def _repeat(self, interval_ms: float, action: Any) -> None:
        action()
        self._plan(interval_ms, self._repeat, interval_ms, action)

    def _handle(self, event: Any) -> None:
        began_s = time.process_time()
        self._scheduler.handle(event, self._now_ms)
        effects = self._scheduler.take_effects()
        self._busy_s += time.process_time() - began_s
        self._apply(effects)

    def _dispatch(self) -> None:
        if not self._scheduler.needs_dispatch:
            return
        began_s = time.process_time()
        self._scheduler.dispatch(self._now_ms)
        effects = self._scheduler.take_effects()
        pass_s = time.process_time() - began_s
        self._busy_s += pass_s
        self._pass_s += pass_s
        self._apply(effects)

    def _commit(self) -> None:
        began_s = time.process_time()
        commit = self._scheduler.begin_commit(80)
        self._scheduler.commit_succeeded(commit, self._now_ms, self._now_ms)
        self._busy_s += time.process_time() - began_s

    def _tick(self) -> None:
        self._handle(Tick(int(self._now_ms), 30))

    def _apply(self, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, StartRun):
                self._start(effect)
            elif isinstance(effect, StopRun):
                self._end(effect.worker_id, effect, TerminationReason.STOPPED)
            elif isinstance(effect, RequestAdvice):
                tickets = {
                    worker_id: "ticket"
                    for worker_id in effect.workers
                    if self._random.random() < ADVISED_FRACTION
                }
                reply = AdviceReplied(*effect[:4], tickets, self._now_ms)
                self._plan(ADVICE_MS, self._handle, reply)

    def _start(self, command: StartRun) -> None:
        self._starts += 1
        self._running[command.worker_id][command.task] = (command, self._now_ms)
        reply = StartReplied(
            command.worker_id,
            command.task,
            command.run,
            StartResult.STARTED,
            int(self._now_ms),
        )
        self._plan(0, self._handle, reply)
        run_ms = _estimate_ms(command.task) * self._random.uniform(0.8, 1.2)
        self._plan(
            run_ms, self._end, command.worker_id, command, TerminationReason.DONE
        )

    def _end(self, worker_id: str, command: Any, reason: TerminationReason) -> None:
        started = self._running[worker_id].get(command.task)
        if started is None or started[0].run != command.run:
            return
        del self._running[worker_id][command.task]
        self._numbers[worker_id] += 1
        number = self._numbers[worker_id]
        self._ended[worker_id] = [
            TerminatedRun(number, command.task, command.run, reason, "")
        ]
        self._report(worker_id)

    def _poll(self, worker_id: str) -> None:
        self._scheduler.next_poll(worker_id, self._now_ms)
        self._report(worker_id)
        self._plan(POLL_MS, self._poll, worker_id)

    def _report(self, worker_id: str) -> None:
        running = tuple(
            RunningTask(task, command.run, "", self._percent(task, sent_ms), 0)
            for task, (command, sent_ms) in self._running[worker_id].items()
        )
        ended = tuple(self._ended[worker_id])
        self._ended[worker_id] = []
        clock_ms = int(self._now_ms)
        self._handle(
            WorkerReport(worker_id, clock_ms, 1_000, running, ended, self._now_ms)
        )

    def _percent(self, task: TaskKey, sent_ms: float) -> int:
        return min(99, int(100 * (self._now_ms - sent_ms) / _estimate_ms(task)))

    def _plan_job(self, kind: JobKind) -> None:
        rate_s = kind.per_worker_s * len(self._entries)
        self._plan(self._random.expovariate(rate_s) * 1_000, self._submit, kind)

    def _submit(self, kind: JobKind) -> None:
        number = next(self._order)
        job_id = f"{KINDS.index(kind)}{number:015x}"
        zone = "" if kind.queue.priority else f"zone-{number % ZONES}"
        spec = JobSpec(job_id, "payload", kind.steps)
        self._handle(JobAccepted(AcceptedJob(spec, kind.queue, 1, 0, zone)))
        self._plan_job(kind)


def measures(
    seed: int, sizes: Sequence[int] = FLEET_SIZES, play_s: float = 12.0
) -> Iterator[Measure]:
    """Yield the processor time for a start, and that of the passes alone, by size."""
    for workers in sizes:
        result = SchedulerLoad(workers, seed).play(play_s)
        values: Mapping[str, tuple[float, str]] = {
            "start": (1_000 * result.busy_s / max(1, result.starts), "ms"),
            "pass": (1_000 * result.pass_s / max(1, result.starts), "ms"),
            "busy": (result.busy_s / result.played_s, "cores"),
            "starts": (result.starts / result.played_s, "1/s"),
        }
        for name, (value, unit) in values.items():
            yield Measure(
                measure=f"scheduler.{name}",
                variant=f"{workers} workers",
                value=round(value, 3),
                unit=unit,
                target=None,
                met=None,
                seed=seed,
            )


def _estimate_ms(task: TaskKey) -> int:
    """Return the estimated time of a task; the first digit of its job is the kind."""
    return KINDS[int(task.job_id[0])].steps[task.step].estimate_ms


def _entry(number: int) -> WorkerEntry:
    return WorkerEntry(
        worker_id=f"worker-{number:04}",
        service="service",
        address=f"worker-{number:04}:1",
        zone=f"zone-{number % ZONES}",
        labels=(f"rack-{number // WORKERS_PER_RACK}",),
        rack=f"rack-{number // WORKERS_PER_RACK}",
        capacity=WORKER_CAPACITY,
        draining=False,
        remaining_ms=0,
        incarnation=1_000,
    )
