"""Data types of a deployment file."""

import json
from pathlib import Path
from typing import Any, NamedTuple

from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.messages import WorkerHost
from marigoldpath_core.requests import Size
from marigoldpath_core.settings import AccessKey

RANGE_FIELDS = ("run_ms", "gang_tasks")


class EntryHostPlan(NamedTuple):
    """The name and zone of an entry host; its port is assigned per run."""

    name: str
    availability_zone: str


class Rack(NamedTuple):
    """A rack of workers, which are named `prefix` plus a number from 1.

    `exceptions` maps a worker's name to the dimensions that differ from `capacity`.
    """

    name: str
    availability_zone: str
    prefix: str
    worker_count: int
    capacity: Size
    exceptions: dict[str, dict[str, int]] = {}  # noqa: RUF012

    def workers(self) -> list[WorkerHost]:
        """Return the workers of the rack; their addresses are empty."""
        names = [f"{self.prefix}{number}" for number in range(1, self.worker_count + 1)]
        return [
            WorkerHost(
                name,
                self.availability_zone,
                self.name,
                "",
                self.capacity._replace(**self.exceptions.get(name, {})),
            )
            for name in names
        ]


class MixPart(NamedTuple):
    """One kind of work in a trace.

    `share` is the weight of this kind among the requests. `run_ms` is the range of
    run times; without it a task runs until it is stopped. `once_share` is the fraction
    of requests that are not repeatable, and `gang_share` the fraction that have several
    tasks, whose number lies in the range `gang_tasks`.
    """

    kind: str
    team: str
    share: float
    sizes: tuple[Size, ...]
    wait: bool = True
    standing: bool = False
    deadline_ms: int = 30_000
    run_ms: tuple[int, int] | None = None
    once_share: float = 0.0
    gang_share: float = 0.0
    gang_tasks: tuple[int, int] = (2, 2)


class Deployment(NamedTuple):
    """One deployment: its hosts, its kinds of work and its callers' keys.

    `daemon` overrides fields of the daemons' settings.
    """

    name: str
    service: str
    region: str
    availability_zones: tuple[str, ...]
    entry_hosts: tuple[EntryHostPlan, ...]
    racks: tuple[Rack, ...]
    kinds: tuple[WorkKind, ...]
    keys: tuple[AccessKey, ...]
    mix: tuple[MixPart, ...] = ()
    hosts_lag_ms: int = 1_000
    usage_lag_ms: int = 2_000
    daemon: dict[str, Any] = {}  # noqa: RUF012

    def workers(self) -> list[WorkerHost]:
        """Return all workers; their addresses are empty."""
        return [worker for rack in self.racks for worker in rack.workers()]

    def key_of(self, team: str) -> str:
        """Return the key of a team; raise LookupError if it has none.

        The empty team name selects the operator's key.
        """
        for key in self.keys:
            if key.team == team:
                return key.key
        raise LookupError(f"deployment {self.name} has no key for team {team!r}")


def load_deployment(path: Path) -> Deployment:
    """Return the deployment in a file; raise TypeError for an unknown field."""
    payload = json.loads(path.read_text())
    racks = [
        Rack(**{**rack, "capacity": Size(**rack["capacity"])})
        for rack in payload["racks"]
    ]
    return Deployment(
        **{
            **payload,
            "availability_zones": tuple(payload["availability_zones"]),
            "entry_hosts": tuple(EntryHostPlan(**e) for e in payload["entry_hosts"]),
            "racks": tuple(racks),
            "kinds": tuple(WorkKind(**kind) for kind in payload["kinds"]),
            "keys": tuple(AccessKey(**key) for key in payload["keys"]),
            "mix": tuple(_mix_part(part) for part in payload["mix"]),
        }
    )


def _mix_part(payload: dict[str, Any]) -> MixPart:
    lists = {name: tuple(payload[name]) for name in RANGE_FIELDS if name in payload}
    sizes = tuple(Size(**size) for size in payload["sizes"])
    return MixPart(**{**payload, **lists, "sizes": sizes})
