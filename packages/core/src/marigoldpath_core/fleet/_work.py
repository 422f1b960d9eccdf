"""The state of steps and tasks in memory."""

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from marigoldpath_core.jobs import RecordedStart, Resources, StepSpec, TaskKey

from ._estimate import Estimate
from ._run import Run

if TYPE_CHECKING:
    from ._job import Job
    from ._worker import Worker

# The variance of the logarithm of how much the tasks of one step take longer than those
# of other steps with the same image.
INITIAL_STEP_VARIANCE = 0.2**2
# The state of a task in `Step._task_states`. A task has started if it has a run.
WAITING, STARTED, DONE = 0, 1, 2
# Translate the states to the digits of a binary number, and the digits to states.
_DONE_DIGITS = bytes(ord("1") if state == DONE else ord("0") for state in range(256))
_DONE_STATES = bytes(DONE if digit == ord("1") else WAITING for digit in range(256))


class Task:
    """A task of one occurrence of a step.

    A task of a speculative step can have two runs: the primary one, `run`, and `copy`.
    It has a copy only as long as it has a primary run. The tasks of a gang start
    together, so they share the workers that they avoid and their checkpoint.
    """

    __slots__ = (
        "_checkpoint",
        "_run",
        "avoided_workers",
        "copy",
        "crashed_runs",
        "failed_runs",
        "key",
        "number",
        "place_wait_until_ms",
        "recorded_start",
        "released_ms",
        "step",
    )

    def __init__(self, key: TaskKey, step: "Step") -> None:
        self.key = key
        self.step = step
        self._run: Run | None = None
        self._checkpoint = ""
        # The second run, on another worker than `run`.
        self.copy: Run | None = None
        # The number of the newest run.
        self.number = 0
        # Terminations on several workers arrive in any order, and a new leader receives
        # them again. The set of run numbers counts each failed run once.
        self.failed_runs: set[int] = set()
        # The numbers of the runs under which a worker probably crashed.
        self.crashed_runs: set[int] = set()
        self.recorded_start: RecordedStart | None = None
        # The workers where a run of the task failed, stalled or was refused.
        self.avoided_workers: set[str] = (
            step.gang_avoided_workers if step.spec.gang else set()
        )
        # When its wait for a preferred place ends, None if it has not begun.
        self.place_wait_until_ms: float | None = None
        # When the last run that started was released.
        self.released_ms = -math.inf

    @property
    def done(self) -> bool:
        """Whether a run of the task is done."""
        return self.step.is_done(self.key.task_index)

    @done.setter
    def done(self, value: bool) -> None:
        self.step.record_state(self, is_done=value)

    @property
    def run(self) -> Run | None:
        """The run with resources allocated on a worker, None if there is none."""
        return self._run

    @run.setter
    def run(self, value: Run | None) -> None:
        self._run = value
        self.step.record_state(self, is_done=self.done)

    @property
    def checkpoint(self) -> str:
        """The newest checkpoint, from which the next run resumes; empty without one."""
        step = self.step
        return step.gang_checkpoint if step.spec.gang else self._checkpoint

    @checkpoint.setter
    def checkpoint(self, value: str) -> None:
        if self.step.spec.gang:
            self.step.gang_checkpoint = value
        else:
            self._checkpoint = value

    @property
    def runs(self) -> tuple[Run, ...]:
        """The runs with resources allocated on a worker, the primary one first."""
        return tuple(run for run in (self._run, self.copy) if run is not None)

    @property
    def is_waiting(self) -> bool:
        """Return whether the task is not done and has no run."""
        return not self.done and self._run is None

    @property
    def waiting_since_ms(self) -> float:
        """The time since which the task waits, if it does."""
        return max(self.step.opened_ms, self.released_ms)


class Ticket:
    """Permission to run a step on one incarnation of a worker until `until_ms`."""

    __slots__ = ("incarnation", "text", "until_ms")

    def __init__(self, text: str, until_ms: float, incarnation: int) -> None:
        self.text = text
        self.until_ms = until_ms
        self.incarnation = incarnation


class Step:
    """One occurrence of a step.

    A caller may submit a step with very many tasks. So a `Task` is created only for
    those that have state: a run, failures or a checkpoint. All other tasks are one byte
    in `_task_states`, and so are those that are done.
    """

    def __init__(self, job: "Job", occurrence: int, number: int) -> None:
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec: StepSpec = job.spec.steps[number]
        self._task_states = bytearray(self.spec.width)
        self._tasks: dict[int, Task] = {}
        self.gang_avoided_workers: set[str] = set()
        self.gang_checkpoint = ""
        # The number of the newest run of a gang whose members were all stopped.
        self.stopped_gang_run = 0
        self.remaining_tasks = self.spec.width
        # When all steps that this one waits for were done.
        self.opened_ms = 0.0
        # When it was last logged why tasks of the step wait.
        self.waiting_logged_ms = -math.inf
        # The number of tasks that are not done and have no run; its tasks update it.
        self.waiting_tasks = self.spec.width
        # How long the newest whole runs of the step took; only for speculative steps.
        self.done_run_ms: list[float] = []
        self.tickets: dict[str, Ticket] = {}
        # The incarnations of the workers that were in an advice request, approved or
        # not. The next incarnation may get another answer.
        self.queried_workers: dict[str, int] = {}
        # The same for the workers in any advice request, also without a reply.
        self.asked_workers: dict[str, int] = {}
        # Whether it was examined for a slow advice request, after which that is done
        # once for each Tick.
        self.examined_for_advice = False
        # The incarnations of the workers in the advice request in flight.
        self.requested_incarnations: dict[str, int] = {}
        # The ids of the usable workers when all of them were last found to be queried.
        self.exhausted_pool_ids: frozenset[str] | None = None
        # The scheduling pass and the round of passes in which it was last examined.
        self.examined_pass = -1
        self.examined_round = -1
        # The replies to advice requests since a task of the step was last started.
        self.fruitless_replies = 0
        # The logarithm of how many times as long its tasks take as others of the image.
        self.time_error = Estimate(0.0, INITIAL_STEP_VARIANCE)
        # Whether a worker reported a running task of the step to this leader that
        # cannot have been done by another run.
        self.seen_running = False
        # Whether `seen_running` holds for a preceding step, directly or through its
        # predecessors. If so, no previous leader can have started this step.
        self.is_new_in_epoch = False
        # Whether the outcome of a start that an earlier leader recorded is not known.
        self.has_unsettled_starts = False
        # When the quota began to hold back the step without a pause, if it does.
        self.held_back_since_ms = math.inf
        self.is_request_in_flight = False
        # The time of the last advice request. The initial value is so long ago that the
        # first request is not delayed.
        self.requested_ms = -1e12

    def has_asked(self, worker: "Worker") -> bool:
        """Return whether an incarnation of a worker was in a request that was sent."""
        return self.asked_workers.get(worker.worker_id) == worker.incarnation

    def has_queried(self, worker_id: str, incarnation: int) -> bool:
        """Return whether an incarnation of a worker was in an advice request."""
        return self.queried_workers.get(worker_id) == incarnation

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the unique key of the step in the cell."""
        return self.job.spec.job_id, self.occurrence, self.number

    @property
    def allows_copies(self) -> bool:
        """Return whether a task of the step can have a copy beside its primary run."""
        spec = self.spec
        return spec.speculative and not (spec.gang or spec.long_running or spec.fills)

    @property
    def need(self) -> Resources:
        """Return the resources to allocate to a run; a filler gets no processors."""
        if self.spec.fills:
            return self.spec.need._replace(cpu_millis=0)
        return self.spec.need

    @property
    def due_ms(self) -> float:
        """When its occurrence has to be done to be on time, on the leader's clock."""
        return self.job.occurrence_due_ms(self.occurrence)

    @property
    def tasks(self) -> list[Task]:
        """All tasks of the step.

        Their state takes memory from then on, so this is for gangs that start.
        """
        return [self.task(index) for index in range(self.spec.width)]

    @property
    def known_tasks(self) -> list[Task]:
        """The tasks that have state, among them all that have a run."""
        return list(self._tasks.values())

    @property
    def waiting(self) -> Iterator[Task]:
        """The tasks that are not done and have no run, in the order of their index.

        Each task that is yielded takes memory from then on.
        """
        index = self._task_states.find(WAITING)
        while index >= 0:
            yield self.task(index)
            index = self._task_states.find(WAITING, index + 1)

    @property
    def done_mask(self) -> int:
        """A bit mask of the tasks that are done."""
        digits = self._task_states.translate(_DONE_DIGITS)
        return int(digits[::-1], 2)

    def restore_done(self, mask: int) -> None:
        """Set the tasks in a bit mask to done, before any task has state."""
        digits = f"{mask:0{self.spec.width}b}".encode()[::-1][: self.spec.width]
        self._task_states = bytearray(digits.translate(_DONE_STATES))
        self.waiting_tasks = self._task_states.count(WAITING)
        self.remaining_tasks = self.waiting_tasks

    def task(self, task_index: int) -> Task:
        """Return a task by its index, which must be below the step's width."""
        task = self._tasks.get(task_index)
        if task is None:
            key = TaskKey(
                self.job.spec.job_id, self.occurrence, self.number, task_index
            )
            task = Task(key, self)
            if not self.is_done(task_index):
                self._tasks[task_index] = task
        return task

    def longest_waiting_task(self) -> Task:
        """Return the waiting task that has waited longest; there must be one."""
        oldest: Task | None = None
        for index, task in self._tasks.items():
            if self._task_states[index] == WAITING and (
                oldest is None or task.waiting_since_ms < oldest.waiting_since_ms
            ):
                oldest = task
        if oldest is not None and oldest.waiting_since_ms <= self.opened_ms:
            return oldest
        # A task without state waits since the step was opened.
        first = next(self.waiting)
        if oldest is None or first.waiting_since_ms < oldest.waiting_since_ms:
            return first
        return oldest

    def is_done(self, task_index: int) -> bool:
        """Return whether a run of a task is done."""
        return self._task_states[task_index] == DONE

    def record_state(self, task: Task, *, is_done: bool) -> None:
        """Record whether a task is done or has a run, after one of these changed."""
        index = task.key.task_index
        was_waiting = self._task_states[index] == WAITING
        if is_done:
            self._task_states[index] = DONE
            if task.run is None and task.copy is None:
                self._tasks.pop(index, None)
        else:
            self._task_states[index] = WAITING if task.run is None else STARTED
        is_waiting = self._task_states[index] == WAITING
        self.waiting_tasks += is_waiting - was_waiting
