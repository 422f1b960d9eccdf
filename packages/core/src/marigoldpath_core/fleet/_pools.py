"""The workers of each service that may take new runs, gathered once for a pass."""

from typing import NamedTuple

from ._fleet import Fleet
from ._work import Step
from ._worker import Worker


class Pool(NamedTuple):
    """The usable workers of a service by id, and those whose use is stored.

    `names` stays the same object while the usable workers do.
    """

    usable: dict[str, Worker]
    open: dict[str, Worker]
    names: frozenset[str]


class Pools:
    """The pools of one pass."""

    def __init__(self, fleet: Fleet) -> None:
        # Workers whose room a slow question is asked for.
        self.claimed = {
            name for named in fleet.slow_questions.values() for name in named
        }
        usable: dict[str, dict[str, Worker]] = {}
        for worker_id, worker in fleet.workers.items():
            if worker.is_usable(fleet.now_ms):
                usable.setdefault(worker.entry.service, {})[worker_id] = worker
        self._pools = {
            service: Pool(
                workers,
                {name: each for name, each in workers.items() if fleet.is_open(name)},
                _names(fleet, service, workers),
            )
            for service, workers in usable.items()
        }

    def get(self, service: str) -> Pool:
        """Return the pool of a service; it may be empty."""
        return self._pools.get(service, _EMPTY)

    def usable(self, step: Step) -> list[Worker]:
        """Return the usable workers that have the step's label."""
        return _labelled(step, self.get(step.job.queue.service).usable)

    def open(self, step: Step) -> list[Worker]:
        """Return the workers with the step's label on which it may start."""
        return _labelled(step, self.get(step.job.queue.service).open)


_EMPTY = Pool({}, {}, frozenset())


def has_label(step: Step, worker: Worker) -> bool:
    """Return whether the worker has the label that the step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def _labelled(step: Step, workers: dict[str, Worker]) -> list[Worker]:
    return [each for each in workers.values() if has_label(step, each)]


def _names(fleet: Fleet, service: str, workers: dict[str, Worker]) -> frozenset[str]:
    names = frozenset(workers)
    if fleet.usable_names.get(service) != names:
        fleet.usable_names[service] = names
    return fleet.usable_names[service]
