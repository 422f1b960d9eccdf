"""The workers of each service that runs can be placed on, found once per pass."""

from typing import NamedTuple

from ._fleet import Fleet
from ._work import Step
from ._worker import Worker


class Pool(NamedTuple):
    """The usable workers of a service by id, and those of them that may start runs.

    `startable` holds the usable workers whose stored roster entry allows starts.
    `worker_ids` are the ids of `usable`; the set stays the same object from pass to
    pass while its content does not change.
    """

    usable: dict[str, Worker]
    startable: dict[str, Worker]
    worker_ids: frozenset[str]


class Pools:
    """The worker pools of one scheduling pass."""

    def __init__(self, fleet: Fleet) -> None:
        # The workers in the slow advice requests in flight.
        self.requested_worker_ids = {
            worker_id
            for worker_ids in fleet.slow_requests.values()
            for worker_id in worker_ids
        }
        usable: dict[str, dict[str, Worker]] = {}
        for worker_id, worker in fleet.workers.items():
            if worker.is_usable(fleet.now_ms):
                usable.setdefault(worker.entry.service, {})[worker_id] = worker
        self._pools = {
            service: Pool(
                workers,
                {
                    worker_id: worker
                    for worker_id, worker in workers.items()
                    if fleet.may_start_on(worker_id)
                },
                _stable_ids(fleet, service, workers),
            )
            for service, workers in usable.items()
        }

    def get(self, service: str) -> Pool:
        """Return the pool of a service, which may be empty."""
        return self._pools.get(service, _EMPTY)

    def usable(self, step: Step) -> list[Worker]:
        """Return the workers on which runs of the step may be placed.

        They have the label that the step requires, if it requires one.
        """
        return _labelled(step, self.get(step.job.queue.service).usable)

    def startable(self, step: Step) -> list[Worker]:
        """Return those of the `usable` workers that `Fleet.may_start_on` allows."""
        return _labelled(step, self.get(step.job.queue.service).startable)


_EMPTY = Pool({}, {}, frozenset())


def has_label(step: Step, worker: Worker) -> bool:
    """Return whether the worker has the label that the step requires."""
    label = step.spec.required_label
    return not label or label in worker.entry.labels


def _labelled(step: Step, workers: dict[str, Worker]) -> list[Worker]:
    return [each for each in workers.values() if has_label(step, each)]


def _stable_ids(
    fleet: Fleet, service: str, workers: dict[str, Worker]
) -> frozenset[str]:
    worker_ids = frozenset(workers)
    if fleet.usable_worker_ids.get(service) != worker_ids:
        fleet.usable_worker_ids[service] = worker_ids
    return fleet.usable_worker_ids[service]
