"""Decides how long a task waits for a place in its preferred rack (delay scheduling).

A task runs faster in the rack of its data, and a colocated gang within one rack. If no
place is free there but one elsewhere is, registered policies weigh the wait for the
preferred place against the longer run elsewhere. The end of a wait is fixed when it
begins, and the decision to wait is made again at each scheduling pass.
"""

import math
from typing import NamedTuple

from marigoldpath_core.registry import Registry

from ._avoidance import has_waited
from ._capacity import count_fitting
from ._fleet import Fleet
from ._placement import USELESS_FACTOR, Candidates, free_for
from ._pools import Pools
from ._run import Run, RunState
from ._work import Step, Task
from ._worker import Worker

wait_policies: Registry = Registry("place wait policy")
FIXED_WAIT_MS = 500
# A task of a job with nothing running must not wait for longer than 3 s while there is
# room for it. The rest of that time is for advice and the start.
MAX_WAIT_MS = 2_000
# A wait uses at most this part of the time by which the job may still be delayed. The
# rest is for its later steps and for errors of the expected times.
USABLE_SPARE_FRACTION = 0.5
# A run that takes longer than expected is expected to end after another part of its
# expected duration.
OVERDUE_FRACTION = 0.1
# From this progress on, the end of a run is extrapolated from its progress. Below it,
# the learned duration is more accurate.
MIN_PERCENT = 20
# The time until the permission to leave the zone is stored. A commit takes 60 to 80 ms,
# and may have to wait for the previous one.
ZONE_EXIT_MS = 100
# A gang examines only the racks with the most free room, which bounds the cost.
MAX_RACKS = 4
# At most this number of tasks of a step wait for a place at the same time, as the state
# of each takes memory. Later tasks are examined once these start or their waits end.
MAX_DELAYED_TASKS = 1_000
DATA_RACK_CAUSE = "waiting for its data's rack"
ONE_RACK_CAUSE = "waiting for room in one rack"


class Wait(NamedTuple):
    """What decides whether to wait for a preferred place.

    The run is `saving_ms` shorter there. A place is expected to be free in
    `free_in_ms`; infinity means that none is while a wait could pay off. If the start
    there is delayed by at most `left_ms`, the job still meets its next deadline.
    """

    saving_ms: float
    free_in_ms: float
    left_ms: float


class PlaceWait:
    """The waits for preferred places of one step in one scheduling pass.

    `delayed_tasks` counts the tasks that have a worker and wait for a better one. In
    this class, "near" means in the rack of the step's data.
    """

    def __init__(
        self, fleet: Fleet, pools: Pools, step: Step, candidates: Candidates
    ) -> None:
        self._fleet = fleet
        self._pools = pools
        self._step = step
        self._candidates = candidates
        self._is_enabled = fleet.speeds.remote_factor > 1
        self._near: list[Worker] | None = None
        # The shortest expected duration on a worker of `_near`.
        self._near_ms = math.inf
        # When room for another task is expected to be free in the rack, in order.
        self._free_ms: list[float] = []
        self.delayed_tasks = 0

    @property
    def is_full(self) -> bool:
        """Whether no further task of the step may wait for a place."""
        return self.delayed_tasks >= MAX_DELAYED_TASKS

    def must_wait(self, task: Task, worker: Worker) -> bool:
        """Return whether a task waits for the rack of its data instead of starting.

        `worker` is the one on which it would start now. The tasks of more urgent steps
        and the earlier ones of this step get the first places that become free.
        """
        data_rack = self._step.spec.data_rack
        if not data_rack or not self._is_enabled or worker.entry.rack == data_rack:
            return False
        speeds = self._fleet.speeds
        if not self._find_near(data_rack) and not self._is_leaving_zone(data_rack):
            return False
        far_ms = speeds.expected_ms(self._step, worker)
        place = tasks_ahead(self._fleet, self._step) + self.delayed_tasks
        free_in_ms = (
            self._free_ms[place] - self._fleet.now_ms
            if place < len(self._free_ms)
            else math.inf
        )
        saving_ms = far_ms - self._near_ms
        if not self._may_wait(task, saving_ms, free_in_ms, self._near_ms):
            return False
        self.delayed_tasks += 1
        return True

    def gang_must_wait(self, plan: list[Worker]) -> bool:
        """Return whether a gang waits until one rack has room for all of it.

        That is the rack of its data if it has one.
        """
        step = self._step
        racks = {worker.entry.rack for worker in plan}
        data_rack = step.spec.data_rack
        is_preferred = racks == {data_rack} if data_rack else len(racks) == 1
        if (
            is_preferred
            or not (step.spec.colocated or data_rack)
            or not self._is_enabled
        ):
            return False
        speeds = self._fleet.speeds
        near_ms = max(speeds.work_ms(step) / speeds.speed(worker) for worker in plan)
        saving_ms = near_ms * (speeds.remote_factor - 1)
        free_ms = min(
            (
                self._gang_free_ms(workers, saving_ms)
                for workers in self._racks_for_gang(data_rack)
            ),
            default=math.inf,
        )
        free_in_ms = free_ms - self._fleet.now_ms
        if not self._may_wait(step.task(0), saving_ms, free_in_ms, near_ms):
            return False
        self.delayed_tasks = step.spec.width
        return True

    def _may_wait(
        self, task: Task, saving_ms: float, free_in_ms: float, near_ms: float
    ) -> bool:
        """Return whether a task waits in this pass; fix the end of its first wait."""
        fleet = self._fleet
        if saving_ms <= 0 or task.avoided_workers or has_waited(fleet, task):
            return False
        policy = wait_policies.get(fleet.settings.place_wait)
        wait = Wait(saving_ms, free_in_ms, self._left_ms(near_ms))
        longest_ms = min(MAX_WAIT_MS, policy(wait), _usable_ms(wait))
        if longest_ms <= 0:
            return False
        if task.place_wait_until_ms is None:
            task.place_wait_until_ms = fleet.now_ms + longest_ms
        return fleet.now_ms < task.place_wait_until_ms

    def _left_ms(self, near_ms: float) -> float:
        """Return by how much a start in the preferred place may be delayed.

        The job must meet the next deadline that it can meet with that start.
        """
        job = self._step.job
        left_ms = self._step.due_ms - self._fleet.now_ms - near_ms
        left_ms -= self._fleet.speeds.chain_ms(self._step)
        if left_ms <= 0:
            allowed_ms = job.queue.allowed_ms(job.spec.critical_path_ms)
            left_ms += (USELESS_FACTOR - 1) * allowed_ms
        return left_ms

    def _find_near(self, rack: str) -> list[Worker]:
        """Return the candidates in the rack, and find out when they have room."""
        if self._near is None:
            workers = self._candidates.workers
            self._near = [each for each in workers if each.entry.rack == rack]
            speeds = self._fleet.speeds
            self._near_ms = min(
                (speeds.expected_ms(self._step, each) for each in self._near),
                default=math.inf,
            )
            longest_ms = speeds.work_ms(self._step) * speeds.remote_factor
            horizon_ms = self._fleet.now_ms + longest_ms
            self._free_ms = self._find_free_ms(self._near, horizon_ms)
        return self._near

    def _is_leaving_zone(self, data_rack: str) -> bool:
        """Return whether the job may use the rack as soon as that is stored."""
        job = self._step.job
        near = self._pools.racks(job.queue.service).get(data_rack, [])
        if not near or not job.zone or not job.zone_exit_requested:
            return False
        if near[0].entry.zone == job.zone:
            return False
        speeds = self._fleet.speeds
        self._near_ms = min(speeds.expected_ms(self._step, each) for each in near)
        # Whether there is room in the rack is examined only after the commit.
        exit_ms = self._fleet.now_ms + ZONE_EXIT_MS
        self._free_ms = [exit_ms] * self._step.waiting_tasks
        return True

    def _racks_for_gang(self, data_rack: str) -> list[list[Worker]]:
        racks: dict[str, list[Worker]] = {}
        for worker in self._candidates.workers:
            if not data_rack or worker.entry.rack == data_rack:
                racks.setdefault(worker.entry.rack, []).append(worker)
        by_room = sorted(
            racks.values(),
            key=lambda each: -sum(worker.free.cpu_millis for worker in each),
        )
        return by_room[:MAX_RACKS]

    def _gang_free_ms(self, workers: list[Worker], longest_ms: float) -> float:
        """Return when all tasks of the step are expected to fit on the workers."""
        fleet, step = self._fleet, self._step
        fitting = sum(_count_fitting(fleet, step, worker) for worker in workers)
        missing = step.spec.width - fitting
        free_ms = self._find_free_ms(workers, fleet.now_ms + longest_ms)
        return free_ms[missing - 1] if 0 < missing <= len(free_ms) else math.inf

    def _find_free_ms(self, workers: list[Worker], horizon_ms: float) -> list[float]:
        """Return the expected times until `horizon_ms` at which one more task fits."""
        fleet, step = self._fleet, self._step
        free_ms: list[float] = []
        for worker in workers:
            if not fleet.is_startable(worker):
                continue
            free = free_for(fleet, step, worker)
            fitting = count_fitting(step.spec, step.need, free)
            for end_ms, run in expected_ends(fleet, self._pools, worker):
                if end_ms > horizon_ms:
                    break
                if worker.runs.get(run.task.key) is not run:
                    continue
                free = free._replace(
                    cpu_millis=free.cpu_millis + run.need.cpu_millis,
                    memory_mb=free.memory_mb + run.need.memory_mb,
                    accelerators=free.accelerators + run.need.accelerators,
                )
                fitting_then = count_fitting(step.spec, step.need, free)
                free_ms += [end_ms] * (fitting_then - fitting)
                fitting = fitting_then
        free_ms.sort()
        return free_ms


def tasks_ahead(fleet: Fleet, step: Step) -> int:
    """Return how many tasks of the step's size fit into the demand of earlier steps.

    Only the demand for the rack of the step's data counts.
    """
    ahead_millis = fleet.rack_demand.get(step.spec.data_rack, 0)
    return math.ceil(ahead_millis / max(1, step.need.cpu_millis))


def record_demand(fleet: Fleet, step: Step) -> None:
    """Add the waiting tasks of a step to the demand that precedes later steps."""
    rack = step.spec.data_rack
    if rack and fleet.speeds.remote_factor > 1:
        demand_millis = step.waiting_tasks * step.need.cpu_millis
        fleet.rack_demand[rack] = fleet.rack_demand.get(rack, 0) + demand_millis


def _usable_ms(wait: Wait) -> float:
    """Return how much of the time that the job has left the wait may use.

    If the job misses its deadline anyway with a run elsewhere, that is all of it.
    """
    if wait.left_ms <= wait.saving_ms:
        return wait.left_ms
    return USABLE_SPARE_FRACTION * wait.left_ms


@wait_policies.register("none")
def _never(_wait: Wait) -> float:
    return 0.0


@wait_policies.register("fixed")
def _fixed(_wait: Wait) -> float:
    """Wait for a fixed time, whatever is known about when a place becomes free."""
    return FIXED_WAIT_MS


@wait_policies.register("expected")
def _expected(wait: Wait) -> float:
    """Wait only if the wait is expected to be shorter than what it saves."""
    return wait.saving_ms if wait.free_in_ms < wait.saving_ms else 0.0


def _count_fitting(fleet: Fleet, step: Step, worker: Worker) -> int:
    if not fleet.is_startable(worker):
        return 0
    return count_fitting(step.spec, step.need, free_for(fleet, step, worker))


def expected_ends(
    fleet: Fleet, pools: Pools, worker: Worker
) -> list[tuple[float, Run]]:
    """Return the runs of a worker with their expected ends, the first one first.

    The list is as old as the pools.
    """
    ends = pools.expected_ends.get(worker.worker_id)
    if ends is None:
        ends = [
            (_expected_end_ms(fleet, worker, run), run)
            for run in worker.runs.values()
            if not run.task.step.spec.long_running
        ]
        ends.sort(key=lambda each: each[0])
        pools.expected_ends[worker.worker_id] = ends
    return ends


def _expected_end_ms(fleet: Fleet, worker: Worker, run: Run) -> float:
    if run.state is RunState.STOPPING:
        return fleet.now_ms
    duration_ms = fleet.speeds.expected_ms(run.task.step, worker)
    if run.started_ms == -math.inf:
        end_ms = worker.clock_read_ms + duration_ms * (1 - run.percent / 100)
    elif run.percent < MIN_PERCENT:
        end_ms = run.started_ms + duration_ms
    else:
        elapsed_ms = worker.clock_read_ms - run.started_ms
        end_ms = run.started_ms + elapsed_ms / run.percent * 100
    return max(end_ms, fleet.now_ms + OVERDUE_FRACTION * duration_ms)
