"""Placement policies, which choose a worker among those that a task fits."""

from collections.abc import Callable, Iterable
from itertools import islice
from typing import Protocol

from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

from ._model import WorkerView, share_sum_and_imbalance

# The number of workers from the fullest buckets that are compared. Comparing more took
# proportionally more time and did not pack the mixed trace better.
MAX_COMPARED_WORKERS = 16
# Free CPU is unusable without free memory on the same worker, and the reverse. Adding
# twice the difference of their free shares packs the mixed trace 0.8% better than the
# sum of free shares alone.
IMBALANCE_WEIGHT = 2.0


class Candidates(Protocol):
    """The workers as seen by a policy."""

    def in_order(self) -> Iterable[WorkerView]:
        """Return all schedulable workers in the order in which they were added."""

    def fitting(self, size: Size) -> Iterable[WorkerView]:
        """Return the schedulable workers that `size` fits, about the fullest first."""

    def racks(self, kind: str, team: str) -> list[str]:
        """Return the racks, those with the fewest tasks of the kind and team first."""

    def fitting_in_rack(self, rack: str, size: Size) -> Iterable[WorkerView]:
        """Return the schedulable workers of a rack that `size` fits."""

    def group_count(self, name: str, kind: str, team: str) -> int:
        """Return the number of the kind's and team's tasks on a worker."""


PlacementPolicy = Callable[[Candidates, Size, str, str], str | None]
placement_policies: Registry[str, PlacementPolicy] = Registry("placement policy")
placement_policy = placement_policies.register


@placement_policy("first_fit")
def first_fit(workers: Candidates, size: Size, kind: str, team: str) -> str | None:
    """Choose the first worker that the task fits: a baseline with a linear search."""
    for view in workers.in_order():
        if size.fits(view.free):
            return view.name
    return None


@placement_policy("best_fit")
def best_fit(workers: Candidates, size: Size, kind: str, team: str) -> str | None:
    """Choose the worker with the lowest `leftover_score` among those compared.

    A worker with more free accelerators is chosen only if the task fits no worker with
    fewer.
    """
    best = None
    lowest = 0.0
    for view in islice(workers.fitting(size), MAX_COMPARED_WORKERS):
        score = leftover_score(view, size)
        if best is None:
            best, lowest = view, score
        elif view.free[2] > best.free[2]:
            break
        elif score < lowest:
            best, lowest = view, score
    return None if best is None else best.name


@placement_policy("spread")
def spread(workers: Candidates, size: Size, kind: str, team: str) -> str | None:
    """Choose a worker in the rack with the fewest tasks of the kind and team."""
    for rack in workers.racks(kind, team):
        found = [
            (
                workers.group_count(view.name, kind, team),
                view.free[2] if not size[2] else 0,
                leftover_score(view, size),
                view.name,
            )
            for view in workers.fitting_in_rack(rack, size)
        ]
        if found:
            return min(found)[-1]
    return None


def leftover_score(view: WorkerView, size: Size) -> float:
    """Score the capacity that a worker has left once a new task is placed on it.

    The score is the sum of the free shares plus their weighted imbalance. A lower score
    is a better fit.
    """
    share_sum, imbalance = share_sum_and_imbalance(size, view.capacity)
    return (
        view.free_share_sum
        - share_sum
        + IMBALANCE_WEIGHT * abs(view.free_share_imbalance - imbalance)
    )
