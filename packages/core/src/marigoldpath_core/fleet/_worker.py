"""The leader's state of one worker."""

import math
from typing import NamedTuple

from marigoldpath_core.jobs import Resources, TaskKey

from ._estimate import Estimate
from ._messages import WorkerEntry
from ._run import Run
from ._settings import FleetSettings
from ._usage import WorkspaceUsage
from ._work import Step

# The variance of the logarithm of how much workers of one kind differ in speed.
INITIAL_WORKER_VARIANCE = 0.15**2


class Hold(NamedTuple):
    """The large step for which a worker is kept free, and when its task fits there."""

    step: Step
    fits_ms: float
    until_ms: float


class Worker:
    """A worker with its runs and its last report.

    The worker numbers its terminations. All up to `last_applied_termination` have been
    applied, and the effects of all up to `last_stored_termination` are stored.
    """

    def __init__(self, entry: WorkerEntry, usage: WorkspaceUsage) -> None:
        self._entry = entry
        self._usage = usage
        self._free = entry.capacity
        self._fillers = 0
        self._runs: dict[TaskKey, Run] = {}
        self._cpu_millis = 0
        self._memory_mb = 0
        self._accelerators = 0
        self._background_cpu_millis = 0
        self.is_listed = True
        # When the directory first named the incarnation that is in the entry.
        self.incarnation_listed_ms = -math.inf
        self.incarnation = 0
        self.clock_ms = 0
        self.clock_read_ms = 0.0
        # When the poll was sent whose reply is the newest report.
        self.last_polled_ms: float | None = None
        self.is_unresponsive = False
        # Whether its process has probably ended, according to the newest polls.
        self.is_gone = False
        # The time of the first poll without a reply, while it is unresponsive.
        self.silent_since_ms = 0.0
        # When the last start of a task under which a worker had crashed was sent.
        self.suspect_started_ms = -math.inf
        self._lease_expiry_ms = 0.0
        # How often it has restarted in this term, and whether the present incarnation
        # has replied to a command with that number.
        self.restarts = 0
        self.is_restart_settled = True
        # Until when the present incarnation may hold a lease by a command that was
        # meant for a previous one.
        self._former_lease_expiry_ms = 0.0
        self.last_applied_termination = 0
        self.last_stored_termination = 0
        # The numbers above `last_applied_termination` whose terminations were applied
        # while an earlier one is deferred.
        self.applied_out_of_order: set[int] = set()
        # The unknown jobs in the newest report, with the time when each was first
        # reported.
        self.unknown_jobs: dict[str, float] = {}
        self.drain_observed_ms: float | None = None
        self.is_on_probation = False
        # Runs in the newest report that must not run on this worker, or whose job is
        # not known, and when the newest stop command was sent to each.
        self.orphaned_runs: dict[tuple[TaskKey, int], float] = {}
        # The time, job and image of the recent failures.
        self.failures: list[tuple[float, str, str]] = []
        self.quarantined_until_ms = 0.0
        # When the newest quarantine began.
        self.quarantined_ms = -math.inf
        # Until when the worker gets no starts, because it refused one.
        self.paused_until_ms = 0.0
        # The step for which runs are preempted here, and until when their room is kept
        # for it.
        self.reserved_for: Step | None = None
        self.reserved_until_ms = 0.0
        self.hold: Hold | None = None
        # When the last run with a successful end was reported.
        self.last_done_ms = -math.inf
        self.stall_count = 0
        self.reset_log_speed()
        self.over_target_since_ms: float | None = None
        self.under_target_since_ms: float | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker's id in the directory."""
        return self._entry.worker_id

    @property
    def entry(self) -> WorkerEntry:
        """Return the worker's newest entry in the directory."""
        return self._entry

    @property
    def runs(self) -> dict[TaskKey, Run]:
        """Return the runs with resources allocated on the worker."""
        return self._runs

    @property
    def free(self) -> Resources:
        """Return the capacity that is not allocated to runs."""
        return self._free

    @property
    def has_fillers(self) -> bool:
        """Return whether a filler has resources allocated on the worker."""
        return self._fillers > 0

    @property
    def background_cpu_millis(self) -> int:
        """Return the millicores allocated to background runs (all but urgent ones)."""
        return self._background_cpu_millis

    @property
    def lease_expiry_ms(self) -> float:
        """Return when all leases of the worker have expired for certain."""
        return max(self._lease_expiry_ms, self._former_lease_expiry_ms)

    def update_entry(self, entry: WorkerEntry, now_ms: float) -> None:
        """Apply a newer entry of the directory."""
        is_first = self.incarnation_listed_ms == -math.inf
        if is_first or entry.incarnation != self._entry.incarnation:
            self.incarnation_listed_ms = now_ms
        self._entry = entry
        self.is_listed = True
        self._update_free()

    def estimated_clock_ms(self, now_ms: float) -> int:
        """Return the estimated reading of the worker's clock, without drift.

        A clock that runs slow has not reached this time yet.
        """
        return self.clock_ms + int(now_ms - self.clock_read_ms)

    def fits(self, need: Resources) -> bool:
        """Return whether resources of this amount are free."""
        capacity = self._entry.capacity
        return (
            self._cpu_millis + need.cpu_millis <= capacity.cpu_millis
            and self._memory_mb + need.memory_mb <= capacity.memory_mb
            and self._accelerators + need.accelerators <= capacity.accelerators
        )

    def add(self, run: Run) -> None:
        """Allocate the resources of a run."""
        self._runs[run.task.key] = run
        self._adjust_allocated(run, 1)
        self._usage.add(run)

    def remove(self, run: Run) -> None:
        """Free the resources of a run."""
        if self._runs.get(run.task.key) is run:
            del self._runs[run.task.key]
            self._adjust_allocated(run, -1)
            self._usage.remove(run)

    def reset_log_speed(self) -> None:
        """Forget how the worker's speed differs from that of its kind."""
        self.log_speed = Estimate(0.0, INITIAL_WORKER_VARIANCE)

    def reserve_for(self, step: Step, now_ms: float, until_ms: float) -> None:
        """Keep the free room for a step, unless it is kept for one as urgent."""
        if self.is_reserved_against(step, now_ms):
            return
        self.reserved_for = step
        self.reserved_until_ms = until_ms

    def is_reserved_against(self, step: Step, now_ms: float) -> bool:
        """Return whether the free room is kept for a more urgent step than this one."""
        other = self.reserved_for
        return (
            other is not None
            and now_ms < self.reserved_until_ms
            and other.waiting_tasks > 0
            and not other.job.state.is_final
            and other.job.queue.priority < step.job.queue.priority
        )

    def is_held_against(self, step: Step, now_ms: float) -> bool:
        """Return whether the free room is kept for a larger step than this one.

        That step is as urgent or more so, and tasks of this one would end after it
        fits.
        """
        if self.hold is None:
            return False
        other, fits_ms, until_ms = self.hold
        if (
            now_ms >= until_ms
            or not other.waiting_tasks
            or other.job.state.is_final
            or other is step
        ):
            return False
        return (
            step.job.queue.priority >= other.job.queue.priority
            and step.need.cpu_millis < other.need.cpu_millis
            and now_ms + step.spec.estimate_ms > fits_ms
        )

    def begin_incarnation(self, incarnation: int) -> None:
        """Reset the state reported by the previous incarnation."""
        if self.incarnation:
            self.restarts += 1
            self.is_restart_settled = False
        self.incarnation = incarnation
        self.clock_ms = 0
        self.last_applied_termination = 0
        self.last_stored_termination = 0
        self.applied_out_of_order.clear()
        self.is_on_probation = False
        self.orphaned_runs.clear()
        self.failures.clear()
        self.quarantined_until_ms = 0.0
        self.paused_until_ms = 0.0

    def is_usable(self, now_ms: float) -> bool:
        """Return whether new runs may be placed on the worker."""
        return (
            self.is_listed
            and self.last_polled_ms is not None
            and not self.is_unresponsive
            and not self._entry.draining
            # The resources of orphaned runs are not recorded as allocated, so another
            # run could overload the worker.
            and not self.orphaned_runs
            and now_ms >= self.quarantined_until_ms
            and now_ms >= self.paused_until_ms
        )

    def extend_lease(
        self, settings: FleetSettings, length_ms: int, sent_ms: float
    ) -> None:
        """Extend `lease_expiry_ms` for a lease granted by a command sent at `sent_ms`.

        The worker's clock may run slow, so the drift and a margin are added to
        `length_ms`. The expiry is never moved to an earlier time.
        """
        expiry_ms = sent_ms + settings.longest_wait_ms(length_ms)
        self._lease_expiry_ms = max(self._lease_expiry_ms, expiry_ms)

    def expect_late_commands(self, settings: FleetSettings, now_ms: float) -> None:
        """Assume that commands for the previous incarnation are executed late.

        Their time limits are on the clock of that incarnation, so the present one
        limits a lease only by the longest one that it grants.
        """
        late_ms = settings.max_command_delay_ms
        length_ms = settings.longest_wait_ms(settings.longest_lease_ms)
        self._former_lease_expiry_ms = now_ms + late_ms + length_ms

    def settle_restart(self, settings: FleetSettings, now_ms: float) -> None:
        """Record that commands for previous incarnations are refused from now on."""
        self.is_restart_settled = True
        length_ms = settings.longest_wait_ms(settings.longest_lease_ms)
        self._former_lease_expiry_ms = now_ms + length_ms

    def _adjust_allocated(self, run: Run, sign: int) -> None:
        need = run.need
        self._cpu_millis += sign * need.cpu_millis
        self._memory_mb += sign * need.memory_mb
        self._accelerators += sign * need.accelerators
        self._update_free()
        step = run.task.step
        if step.spec.fills:
            self._fillers += sign
        if step.job.queue.priority > 0:
            self._background_cpu_millis += sign * need.cpu_millis

    def _update_free(self) -> None:
        capacity = self._entry.capacity
        self._free = Resources(
            capacity.cpu_millis - self._cpu_millis,
            capacity.memory_mb - self._memory_mb,
            capacity.accelerators - self._accelerators,
        )
