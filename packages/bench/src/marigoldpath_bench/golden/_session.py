"""Drive a simulated zone of a deployment through a scripted session."""

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

ELECTION_TIMEOUT_MS = 30_000
# 2031-05-07 07:59:50 UTC; a zone has a leader about 10 s after its hosts start.
START_TIME_MS = 1_935_993_590_000
WORKER_COUNT = 6


class Note(NamedTuple):
    """A line of the session's event list."""

    at_ms: int
    text: str


class RequestStateAtLeader(NamedTuple):
    """The state of a request that was read last from the leader on `host`."""

    host: str
    state: dict[str, Any]


SessionScript = Callable[["Session"], None]
SESSIONS: Registry[str, SessionScript] = Registry("session")
session = SESSIONS.register


class Session:
    """A simulated zone of a deployment, its callers, and a log of its events."""

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
            WORKER_COUNT,
            capacity,
            self.deployment.kinds,
            zone,
            self.deployment.region,
            START_TIME_MS,
        )
        self.simulation = ZoneSimulation(settings, MessageFaults(1))
        self.callers = Callers(self.simulation)
        self.configuration = Configuration()
        self.notes: list[Note] = []
        self.records: list[DayRecord] = []
        self._sheet = (folder / "sheet.csv").read_bytes()
        self._last_states: dict[str, dict[str, RequestStateAtLeader]] = {}
        self._logs_seen = 0

    def serve(self) -> None:
        """Run the simulation until the zone has a leader."""
        served = self.simulation.run_until(
            lambda: bool(self.simulation.serving), ELECTION_TIMEOUT_MS
        )
        assert served, "no host served in time"
        self.note(f"{self.leader} serves the zone")

    def apply_sheet(self, version: int) -> None:
        """Activate the deployment's sheet and submit its long-running requests."""
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
        """The host that serves the zone."""
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
        """Kill the leader and wait until another host serves the zone."""
        self.save_day_record()
        leader = self.leader
        self.note(f"{leader} is killed")
        self.simulation.kill(leader)
        while not self.simulation.serving:
            self.run(100)
        self.note(f"{self.leader} serves the zone")

    def mark_draining(self, worker: str) -> None:
        """List a worker as draining."""
        self.note(f"{worker} is listed as leaving")
        self.simulation.draining_workers.add(worker)

    def set_failing(self, worker: str, fails: bool) -> None:
        """Make a worker fail all its runs, or stop doing so."""
        self.note(f"{worker} fails what it starts" if fails else f"{worker} works")
        self.simulation.workers[worker].set_run_faults(RunFaults(fail=fails))

    def run(self, milliseconds: int) -> None:
        """Run the simulation and its callers, then record the state of each request."""
        self.callers.run(milliseconds)
        for host in self.simulation.serving:
            scheduler = self.simulation.scheduler(host)
            for call in self.callers.calls:
                state = scheduler.request_state(call.request.key)
                if state is not None:
                    last_states = self._last_states.setdefault(call.request.key.id, {})
                    last_states[host] = RequestStateAtLeader(host, state)

    def save_day_record(self) -> None:
        """Save the leader's current daily statistics."""
        scheduler = self.simulation.scheduler(self.leader)
        self.records.append(scheduler.day_record(self.simulation.now_ms))

    def last_states(self, name: str) -> list[RequestStateAtLeader]:
        """Return the last state of a request at each leader."""
        return list(self._last_states.get(name, {}).values())

    def note(self, text: str) -> None:
        """Record an event of the session at the current time."""
        self.notes.append(Note(self.simulation.now_ms, text))

    def _submit_request(self, request: Request) -> None:
        fields = request._asdict()
        key = fields.pop("key")
        self.submit(key.id, key.team, **fields)
