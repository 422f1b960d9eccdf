"""Drives a zone through a user's day on a passed-in clock."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_bench.deployment import Deployment, find_deployment, load_deployment
from marigoldpath_bench.worker import RunFaults
from marigoldpath_bench.zone_simulation import (
    Callers,
    MessageFaults,
    ZoneSimulation,
    ZoneSimulationSettings,
)
from marigoldpath_core.configuration import Configuration
from marigoldpath_core.registry import Registry
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import Request
from marigoldpath_core.sheet import parse_sheet, to_configuration

SERVE_MS = 30_000
# 2031-05-07 07:59:50 UTC; a zone is served some 10 s after its hosts start.
START_MS = 1_935_993_590_000
WORKERS = 6


class Note(NamedTuple):
    """Something that the session did or that a leader logged."""

    at_ms: int
    text: str


class KnownState(NamedTuple):
    """What a leader last knew of a request."""

    host: str
    state: dict[str, Any]


SessionScript = Callable[["Session"], None]
SESSIONS: Registry[str, SessionScript] = Registry("session")
session = SESSIONS.register


class Session:
    """One zone of a deployment with its sheet in force, its callers and its faults."""

    def __init__(self, name: str) -> None:
        folder = find_deployment(name)
        self.deployment: Deployment = load_deployment(folder / "deployment.json")
        zone = self.deployment.availability_zones[0]
        hosts = tuple(
            host.name
            for host in self.deployment.entry_hosts
            if host.availability_zone == zone
        )
        capacity = self.deployment.racks[0].capacity._replace(accelerators=2)
        settings = ZoneSimulationSettings(
            hosts,
            WORKERS,
            capacity,
            self.deployment.kinds,
            zone,
            self.deployment.region,
            START_MS,
        )
        self.simulation = ZoneSimulation(settings, MessageFaults(1))
        self.callers = Callers(self.simulation)
        self.configuration = Configuration()
        self.notes: list[Note] = []
        self.records: list[DayRecord] = []
        self._sheet = (folder / "sheet.csv").read_bytes()
        self._known: dict[str, dict[str, KnownState]] = {}
        self._logs_seen = 0

    def serve(self) -> None:
        """Let time pass until the zone has a leader that serves."""
        served = self.simulation.run_until(
            lambda: bool(self.simulation.serving), SERVE_MS
        )
        assert served, "no host served in time"
        self.note(f"{self.leader} serves the zone")

    def apply_sheet(self, version: int) -> None:
        """Check the deployment's sheet, bring it into force and submit its work."""
        zones = self.deployment.availability_zones
        sheet = parse_sheet(self._sheet, zones).unwrap()
        self.configuration = to_configuration(sheet, version)
        for host in self.simulation.host_names:
            self.simulation.scheduler(host).configure(self.configuration)
        self.note(f"version {version} of the sheet is in force")
        for request in self.configuration.standing:
            if request.key.availability_zone == self.simulation.zone:
                self._submit_request(request)

    @property
    def leader(self) -> str:
        """The host that serves."""
        (host,) = self.simulation.serving
        return host

    def submit(self, name: str, team: str, kind: str, **fields: Any) -> None:
        """Submit a request."""
        self.callers.submit(name, team=team, kind=kind, **fields)

    def cancel(self, name: str) -> None:
        """Cancel a request."""
        self.note(f"the caller cancels {name}")
        self.callers.cancel(name)

    def kill_leader(self) -> None:
        """Kill the leader and wait for its successor."""
        self.close_record()
        leader = self.leader
        self.note(f"{leader} is killed")
        self.simulation.kill(leader)
        while not self.simulation.serving:
            self.run(100)
        self.note(f"{self.leader} serves the zone")

    def leave(self, worker: str) -> None:
        """Have the host list say that a worker is leaving."""
        self.note(f"{worker} is listed as leaving")
        self.simulation.leaving.add(worker)

    def fail(self, worker: str, fails: bool) -> None:
        """Have a worker fail everything that it starts, or end that."""
        self.note(f"{worker} fails what it starts" if fails else f"{worker} works")
        self.simulation.workers[worker].set_run_faults(RunFaults(fail=fails))

    def run(self, milliseconds: int) -> None:
        """Let time pass, with callers that come back, and look at the histories."""
        self.callers.run(milliseconds)
        for host in self.simulation.serving:
            scheduler = self.simulation.scheduler(host)
            for call in self.callers.calls:
                state = scheduler.request_state(call.request.key)
                if state is not None:
                    known = self._known.setdefault(call.request.key.id, {})
                    known[host] = KnownState(host, state)

    def close_record(self) -> None:
        """Keep the record of the day as the leader has it now."""
        scheduler = self.simulation.scheduler(self.leader)
        self.records.append(scheduler.day_record(self.simulation.now_ms))

    def known(self, name: str) -> list[KnownState]:
        """Return what each leader last knew of a request."""
        return list(self._known.get(name, {}).values())

    def note(self, text: str) -> None:
        """Note what the session does now."""
        self.notes.append(Note(self.simulation.now_ms, text))

    def _submit_request(self, request: Request) -> None:
        fields = request._asdict()
        key = fields.pop("key")
        self.submit(key.id, key.team, **fields)
