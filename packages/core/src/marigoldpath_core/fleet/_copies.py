"""Starts copies of the runs of speculative steps that take too long.

A task of such a step may have two runs side by side, and the first one to be done
counts. A copy uses only capacity that nothing else waits for.
"""

import math
from collections.abc import Iterator
from itertools import islice
from statistics import median
from typing import NamedTuple

from marigoldpath_core.jobs import Resources
from marigoldpath_core.registry import Registry

from ._crashes import is_suspect
from ._fleet import Fleet
from ._placement import USELESS_FACTOR, choose, find_candidates
from ._pools import Pools
from ._quotas import allows_copy
from ._run import Run, RunState
from ._shares import is_excess
from ._starts import start_copy
from ._work import Step, Task
from ._worker import Worker

straggler_rules: Registry = Registry("straggler rule")
# A run gets a copy if its remaining time exceeds this multiple of that of a fresh run.
REMAINING_FACTOR = 1.5
# A run that makes no progress for this time gets a copy, and so does one whose worker
# does not reply for this time.
NO_PROGRESS_MS = 1_000
# The speed of a run is known once it has gained this much, because the first percent
# includes the time until the task begins.
MIN_GAINED_PERCENT = 5
# Without other runs to compare to, a run is late if it exceeds its estimate by this
# factor. Estimates may be wrong by half or more: with a lower factor, a task that is
# longer than estimated would get a copy that takes just as long.
ESTIMATE_MARGIN = 1.5
# The duration of a fresh run is the median of this many other runs of the step. With
# fewer of them it is not assumed to be below the estimate.
MIN_SAMPLES = 3
MAX_SAMPLES = 32
# The copies of a service use at most the first fraction of its capacity, and none are
# started when less than the second one is free.
MAX_COPY_FRACTION = 0.05
MIN_FREE_FRACTION = 0.1
# The number of tasks examined at one Tick, which bounds its duration. With more of
# them, the steps take turns.
MAX_EXAMINED_TASKS = 1_000
# The search for a worker examines all of a service, so this bounds that time too.
MAX_SEARCHES_PER_TICK = 16
# A leader that has been replaced without noticing it must not start a copy more than a
# second after its successor acknowledged the task as done. The successor stores its own
# row first, so a leader starts copies only for this time after it last stored its row.
# Workers refuse the start of a copy that reaches them late.
MAX_ROW_AGE_MS = 500


class Straggler(NamedTuple):
    """A run that takes too long.

    `rule` is the name of the rule that found it. `samples` are the durations of other
    runs of its step. `remaining_ms` is infinite if the run makes no progress.
    """

    run: Run
    rule: str
    remaining_ms: float
    samples: list[float]


class CopyBudget:
    """The capacity of a service that copies may use, and what they use already.

    It lasts for one examination.
    """

    def __init__(self, fleet: Fleet, pools: Pools, service: str) -> None:
        pool = pools.get(service)
        self._capacity = pool.capacity
        self._free = _total([worker.free for worker in pool.usable.values()])
        self._used = _total(
            [
                run.need
                for run in fleet.copies.runs
                if run.task.step.job.queue.service == service
            ]
        )

    def allows(self, need: Resources) -> bool:
        """Return whether a copy that needs this may be started now."""
        return all(
            used + amount <= MAX_COPY_FRACTION * capacity
            and free >= MIN_FREE_FRACTION * capacity
            for amount, used, capacity, free in zip(
                need, self._used, self._capacity, self._free
            )
            if amount
        )

    def take(self, need: Resources) -> None:
        """Count a copy that was started."""
        self._used = _total([self._used, need])
        self._free = Resources(*(have - want for have, want in zip(self._free, need)))


def start_copies(fleet: Fleet, pools: Pools) -> None:
    """Start copies of the runs that take too long, those of urgent jobs first.

    This examines many runs, so it is done once for each Tick.
    """
    row_age_ms = fleet.now_ms - fleet.row_confirmed_ms
    if not fleet.copies.is_due or row_age_ms > MAX_ROW_AGE_MS:
        return
    if fleet.start_limit.is_lagging:
        # The examination would delay the process further.
        return
    fleet.copies.is_due = False
    stragglers = find_stragglers(fleet)
    stragglers.sort(key=_urgency)
    budgets: dict[str, CopyBudget] = {}
    searches = 0
    for straggler in stragglers:
        if fleet.start_limit.is_reached or searches >= MAX_SEARCHES_PER_TICK:
            return
        step = straggler.run.task.step
        service = step.job.queue.service
        if service not in budgets:
            budgets[service] = CopyBudget(fleet, pools, service)
        if not budgets[service].allows(step.need):
            continue
        searches += 1
        if _start_copy_of(fleet, pools, straggler):
            budgets[service].take(step.need)


def find_stragglers(fleet: Fleet) -> list[Straggler]:
    """Return runs of open speculative steps that take too long and may get a copy."""
    steps = fleet.copies.steps
    found: list[Straggler] = []
    examined = 0
    for _ in range(len(steps)):
        if examined >= MAX_EXAMINED_TASKS:
            break
        step = steps.popleft()
        if fleet.open_steps.get(step.key) is not step:
            continue
        steps.append(step)
        examined += step.spec.width
        found.extend(_stragglers_of(fleet, step))
    return found


def _stragglers_of(fleet: Fleet, step: Step) -> Iterator[Straggler]:
    # Tasks that wait need the capacity more than a copy. While the step is blocked, a
    # copy that a previous leader started may be on a worker that has not reported yet.
    if step.waiting_tasks or fleet.is_blocked(step) or not _is_of_use(fleet, step):
        return
    if is_excess(fleet, step.job) or not allows_copy(fleet, step):
        return
    measured = dict(islice(_measured_runs(step), MAX_SAMPLES + 1))
    # Most runs are ruled out by the shortest duration that any of them is compared to.
    shortest_ms = min(
        (*step.done_run_ms, *measured.values(), step.spec.estimate_ms or math.inf)
    )
    for task in step.known_tasks:
        run = task.run
        if run is None or not _may_get_copy(task, run):
            continue
        worker = fleet.workers.get(run.worker_id)
        if worker is None:
            continue
        name, remaining_ms = _longest_remaining(fleet, worker, run)
        if remaining_ms <= REMAINING_FACTOR * shortest_ms:
            continue
        samples = list(step.done_run_ms)
        samples += [each for other, each in measured.items() if other is not run]
        if remaining_ms > REMAINING_FACTOR * expected_ms(step, samples):
            yield Straggler(run, name, remaining_ms, samples)


def _longest_remaining(fleet: Fleet, worker: Worker, run: Run) -> tuple[str, float]:
    """Return the rule that expects the longest remaining time, and that time."""
    longest = ("", 0.0)
    for name in straggler_rules:
        remaining_ms = straggler_rules.get(name)(fleet, worker, run)
        if remaining_ms > longest[1]:
            longest = (name, remaining_ms)
    return longest


def _may_get_copy(task: Task, run: Run) -> bool:
    """Return whether the primary run of a task may get a copy, if it takes too long.

    A failed copy counts as an attempt, so it must not be the one that fails the job.
    The starts of suspects are recorded, which a copy is not.
    """
    attempts = task.step.job.queue.attempts
    return (
        not task.done
        and not run.had_copy
        and run.state in (RunState.RUNNING, RunState.SENT)
        and len(task.failed_runs) + 1 < attempts
        and task.recorded_start is None
        and not is_suspect(task)
    )


def _is_of_use(fleet: Fleet, step: Step) -> bool:
    """Return whether the job is of use to its caller if it is done soon."""
    job = step.job
    allowed_ms = job.queue.allowed_ms(job.spec.critical_path_ms)
    return fleet.now_ms < step.due_ms + (USELESS_FACTOR - 1) * allowed_ms


def _start_copy_of(fleet: Fleet, pools: Pools, straggler: Straggler) -> bool:
    """Start a copy on the best worker that the task does not avoid, if there is one."""
    run = straggler.run
    task = run.task
    step = task.step
    # An earlier copy of this pass may have used the rest of the quota.
    if not allows_copy(fleet, step):
        return False
    candidates = find_candidates(fleet, pools, step)
    excluded = {run.worker_id, *task.avoided_workers}
    worker = choose(fleet, step, task, candidates, excluded)
    if worker is None:
        return False
    fresh_ms = expected_ms(step, straggler.samples) / fleet.speeds.speed(worker)
    if straggler.remaining_ms <= REMAINING_FACTOR * fresh_ms:
        return False
    number = fleet.next_run_number(task)
    start_copy(fleet, worker, task, number)
    fleet.log(
        "copy_started",
        job=task.key.job_id,
        task=tuple(task.key[1:]),
        run=number,
        worker=worker.worker_id,
        copied_run=run.number,
        copied_worker=run.worker_id,
        reason=straggler.rule,
        percent=run.percent,
        remaining_ms=_finite(straggler.remaining_ms),
        fresh_ms=round(fresh_ms),
    )
    return True


def expected_ms(step: Step, samples: list[float]) -> float:
    """Return how long a fresh run of the step is expected to take on a usual worker.

    `samples` are the durations of other runs of the step. Without them and without an
    estimate, the time is infinite.
    """
    estimate_ms = step.spec.estimate_ms or math.inf
    if not samples:
        return ESTIMATE_MARGIN * estimate_ms
    if len(samples) < MIN_SAMPLES:
        return max(median(samples), estimate_ms)
    return median(samples)


@straggler_rules.register("worker is silent")
def _silent(fleet: Fleet, worker: Worker, _run: Run) -> float:
    is_silent = fleet.now_ms - worker.silent_since_ms >= NO_PROGRESS_MS
    return math.inf if worker.is_unresponsive and is_silent else 0.0


@straggler_rules.register("no progress")
def _without_progress(_fleet: Fleet, worker: Worker, run: Run) -> float:
    """Return infinity if two reports show that the run makes no progress.

    The percentage of a long task rises slowly even without a stall.
    """
    if worker.is_unresponsive or run.unchanged_reports < 2:
        return 0.0
    stalled_ms = worker.clock_ms - run.progress_clock_ms
    limit_ms = NO_PROGRESS_MS + run.task.step.spec.estimate_ms / 20
    return math.inf if stalled_ms >= limit_ms else 0.0


@straggler_rules.register("slow")
def _slow(fleet: Fleet, worker: Worker, run: Run) -> float:
    """Return the remaining time at the speed of the run so far."""
    duration_ms = _measured_ms(run)
    if worker.is_unresponsive or duration_ms is None:
        return 0.0
    report_age_ms = fleet.now_ms - worker.clock_read_ms
    return duration_ms * (1 - run.percent / 100) - report_age_ms


def _measured_runs(step: Step) -> Iterator[tuple[Run, float]]:
    for task in step.known_tasks:
        if task.run is not None:
            duration_ms = _measured_ms(task.run)
            if duration_ms is not None:
                yield task.run, duration_ms


def _measured_ms(run: Run) -> float | None:
    """Return how long a whole run takes at its speed so far.

    None means that the speed is not known yet.
    """
    gained = run.percent - run.measured_from_percent
    if (
        gained < MIN_GAINED_PERCENT
        or run.measured_from_clock_ms is None
        or run.confirmed_clock_ms is None
    ):
        return None
    return 100 * (run.confirmed_clock_ms - run.measured_from_clock_ms) / gained


def must_be_watched(fleet: Fleet, worker: Worker) -> bool:
    """Return whether runs on the worker could need a copy, which its reports show.

    A leader that lags starts no copies, and the polls would delay it further.
    """
    if fleet.start_limit.is_lagging:
        return False
    return any(
        run.task.step.allows_copies and not run.had_copy for run in worker.runs.values()
    )


def _urgency(straggler: Straggler) -> tuple[float, ...]:
    step = straggler.run.task.step
    job = step.job
    return (job.queue.priority, step.due_ms)


def _finite(remaining_ms: float) -> int | None:
    return round(remaining_ms) if math.isfinite(remaining_ms) else None


def _total(amounts: list[Resources]) -> Resources:
    return Resources(*map(sum, zip(*amounts)))
