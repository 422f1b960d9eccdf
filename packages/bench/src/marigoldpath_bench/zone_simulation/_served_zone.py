"""A simulated zone that has elected a leader, and its callers."""

from typing import Any

from marigoldpath_bench.oracle import Interval
from marigoldpath_core.messages import StartTasks
from marigoldpath_core.requests import OutcomeKind

from ._callers import Callers
from ._faults import MessageFaults
from ._simulation import ZoneSimulation, ZoneSimulationSettings

ELECTION_TIMEOUT_MS = 20_000
FAILOVER_TIMEOUT_MS = 60_000
START_TIMEOUT_MS = 20_000


class ServedZone:
    """A simulation, its callers, and the host that was elected leader first."""

    def __init__(self, **settings: Any) -> None:
        self.simulation = ZoneSimulation(
            ZoneSimulationSettings(**settings), MessageFaults(1)
        )
        self.callers = Callers(self.simulation)
        assert self.simulation.run_until(
            lambda: bool(self.simulation.serving), ELECTION_TIMEOUT_MS
        )
        self.leader = self.simulation.serving[0]

    @property
    def other_hosts(self) -> list[str]:
        """The entry hosts other than the first leader."""
        return [name for name in self.simulation.host_names if name != self.leader]

    def outcome(self, name: str) -> tuple[OutcomeKind | None, str]:
        """Return the kind and the code of the last outcome of a request."""
        call = self.callers.call(name)
        return call.outcome, call.outcomes[-1].code if call.outcomes else ""

    def runs(self, name: str) -> list[Interval]:
        """Return the runs of a request, read from the workers' records."""
        return self.simulation.verdict().intervals.get(f"counter/zadar/{name}", [])

    def wait_for_next_leader(self) -> None:
        """Run the simulation until another host serves the zone."""
        other_hosts = set(self.other_hosts)
        found = self.simulation.run_until(
            lambda: bool(other_hosts & set(self.simulation.serving)),
            FAILOVER_TIMEOUT_MS,
        )
        assert found, "no other entry host became leader within 60 s"

    def advance_to_start_decision(self) -> None:
        """Run the simulation until a start of a task is decided but not yet sent."""
        unsent_effects = self.simulation.unsent_effects_of(self.leader)
        for _ in range(START_TIMEOUT_MS):
            if any(isinstance(effect, StartTasks) for effect in unsent_effects()):
                return
            self.simulation.run(1, step_ms=1)
        raise AssertionError("no start was decided within 20 s")
