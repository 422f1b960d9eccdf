"""Counts the resources that the runs of each workspace may be using."""

from typing import NamedTuple

from marigoldpath_core.jobs import Resources

from ._run import Run

NOTHING = Resources()


class StrayRun(NamedTuple):
    """A reported run that has no resources allocated on its worker.

    `workspace` is None if the job is not known, and may still be read from the store.
    `need` is then the most that the run can need.
    """

    workspace: str | None
    need: Resources


class WorkspaceUsage:
    """The resources of the runs of each workspace, over all workers.

    A run counts from the decision to start it until its resources are free: also while
    its start is not confirmed, while it is being stopped, and while its worker does not
    reply. A filler counts with its processors, unlike in the allocation on a worker.
    """

    def __init__(self) -> None:
        self._used: dict[str, Resources] = {}
        self._runs: dict[str, int] = {}
        self._strays: dict[str, tuple[StrayRun, ...]] = {}
        self._unattributed = NOTHING

    @property
    def unattributed(self) -> Resources:
        """The most that the stray runs whose workspace is not known can be using."""
        return self._unattributed

    def used(self, workspace: str) -> Resources:
        """Return the resources of all runs of a workspace."""
        return self._used.get(workspace, NOTHING)

    def runs(self, workspace: str) -> int:
        """Return the number of runs of a workspace."""
        return self._runs.get(workspace, 0)

    @property
    def workspaces(self) -> tuple[str, ...]:
        """The names of the workspaces that have runs."""
        return tuple(self._runs)

    def add(self, run: Run) -> None:
        """Count a run whose resources were allocated."""
        step = run.task.step
        self._adjust(step.job.accepted.workspace, step.spec.need, 1)

    def remove(self, run: Run) -> None:
        """Stop counting a run whose resources were freed."""
        step = run.task.step
        self._adjust(step.job.accepted.workspace, step.spec.need, -1)

    def replace_strays(self, worker_id: str, strays: tuple[StrayRun, ...]) -> None:
        """Count the stray runs in a worker's newest report instead of earlier ones."""
        if not strays and worker_id not in self._strays:
            return
        for stray in self._strays.pop(worker_id, ()):
            self._adjust_stray(stray, -1)
        for stray in strays:
            self._adjust_stray(stray, 1)
        if strays:
            self._strays[worker_id] = strays

    def _adjust_stray(self, stray: StrayRun, sign: int) -> None:
        if stray.workspace is None:
            self._unattributed = add_resources(self._unattributed, stray.need, sign)
        else:
            self._adjust(stray.workspace, stray.need, sign)

    def _adjust(self, workspace: str, need: Resources, sign: int) -> None:
        if not workspace:
            return
        runs = self._runs.get(workspace, 0) + sign
        if not runs:
            del self._used[workspace], self._runs[workspace]
            return
        self._runs[workspace] = runs
        used = self._used.get(workspace, NOTHING)
        self._used[workspace] = add_resources(used, need, sign)


def add_resources(total: Resources, amount: Resources, factor: int = 1) -> Resources:
    """Return `total` plus `factor` times `amount`."""
    return Resources(
        total.cpu_millis + factor * amount.cpu_millis,
        total.memory_mb + factor * amount.memory_mb,
        total.accelerators + factor * amount.accelerators,
    )
