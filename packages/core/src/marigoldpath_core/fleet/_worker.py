"""The leader's view of one worker."""

from marigoldpath_core.jobs import Resources, TaskKey

from ._messages import WorkerEntry
from ._settings import FleetSettings
from ._work import Run


class Worker:
    """A worker with the runs that it holds and what it told last."""

    def __init__(self, entry: WorkerEntry) -> None:
        self._entry = entry
        self._runs: dict[TaskKey, Run] = {}
        self._cpu = 0
        self._memory = 0
        self._accelerators = 0
        self._background_cpu = 0
        self.is_listed = True
        self.incarnation = 0
        self.clock_ms = 0
        self.clock_read_ms = 0.0
        self.heard_ms: float | None = None
        self.is_silent = False
        self.lease_end_ms = 0.0
        self.seen_end = 0
        self.stored_end = 0
        # Ends above `seen_end` that are taken while an earlier one is left for later.
        self.taken_ends: set[int] = set()
        # Jobs that the last list named and that were not known, with the time since.
        self.unknown_jobs: dict[str, float] = {}
        self.drain_read_ms: float | None = None
        self.is_on_probation = False
        # Listed runs that must not be here, or whose job is not known.
        self.strays: set[tuple[TaskKey, int]] = set()
        self.failures: list[tuple[float, str]] = []
        self.quarantined_until_ms = 0.0
        self.stalls = 0
        self.over_target_ms: float | None = None
        self.under_target_ms: float | None = None

    @property
    def worker_id(self) -> str:
        """Return the worker's id in the directory."""
        return self._entry.worker_id

    @property
    def entry(self) -> WorkerEntry:
        """Return the newest entry of the directory."""
        return self._entry

    @property
    def runs(self) -> dict[TaskKey, Run]:
        """Return the runs that hold resources here."""
        return self._runs

    @property
    def free(self) -> Resources:
        """Return the capacity that no run holds."""
        capacity = self._entry.capacity
        return Resources(
            capacity.cpu_millis - self._cpu,
            capacity.memory_mb - self._memory,
            capacity.accelerators - self._accelerators,
        )

    @property
    def background_cpu(self) -> int:
        """Return the processors, in thousandths, that finite background runs hold."""
        return self._background_cpu

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take over a newer entry of the directory."""
        self._entry = entry
        self.is_listed = True

    def estimated_clock_ms(self, now_ms: float) -> int:
        """Return a time that the worker's clock has reached, unless it is slow."""
        return self.clock_ms + int(now_ms - self.clock_read_ms)

    def fits(self, need: Resources) -> bool:
        """Return whether a run with this need does not overload the worker."""
        capacity = self._entry.capacity
        return (
            self._cpu + need.cpu_millis <= capacity.cpu_millis
            and self._memory + need.memory_mb <= capacity.memory_mb
            and self._accelerators + need.accelerators <= capacity.accelerators
        )

    def add(self, run: Run) -> None:
        """Hold resources for a run."""
        self._runs[run.task.key] = run
        self._count(run, 1)

    def remove(self, run: Run) -> None:
        """Free the resources of a run that has ended."""
        if self._runs.get(run.task.key) is run:
            del self._runs[run.task.key]
            self._count(run, -1)

    def begin_life(self, incarnation: int) -> None:
        """Forget what an earlier life told."""
        self.incarnation = incarnation
        self.clock_ms = 0
        self.seen_end = 0
        self.stored_end = 0
        self.taken_ends.clear()
        self.is_on_probation = False
        self.strays.clear()
        self.failures.clear()
        self.quarantined_until_ms = 0.0

    def is_usable(self, now_ms: float) -> bool:
        """Return whether new runs may be placed here."""
        return (
            self.is_listed
            and self.heard_ms is not None
            and not self.is_silent
            and not self._entry.draining
            # What a run that must not be here holds is not counted.
            and not self.strays
            and now_ms >= self.quarantined_until_ms
        )

    def extend_lease(
        self, settings: FleetSettings, length_ms: int, sent_ms: float
    ) -> None:
        """Note when a lease that an order of `sent_ms` grants is surely over."""
        length = length_ms * (1 + settings.clock_slack) + settings.lease_margin_ms
        self.lease_end_ms = max(self.lease_end_ms, sent_ms + length)

    def _count(self, run: Run, sign: int) -> None:
        need = run.need
        self._cpu += sign * need.cpu_millis
        self._memory += sign * need.memory_mb
        self._accelerators += sign * need.accelerators
        step = run.task.step
        if step.job.queue.priority > 0:
            self._background_cpu += sign * need.cpu_millis
