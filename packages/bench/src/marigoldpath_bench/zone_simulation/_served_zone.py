"""A zone that a leader serves, with its callers."""

from typing import Any

from marigoldpath_bench.oracle import Interval
from marigoldpath_core.messages import StartTasks
from marigoldpath_core.requests import OutcomeKind

from ._callers import Callers
from ._faults import MessageFaults
from ._simulation import ZoneSimulation, ZoneSimulationSettings

SERVE_MS = 20_000
SUCCEED_MS = 60_000
START_MS = 20_000


class ServedZone:
    """A world, its callers and the leader that served first."""

    def __init__(self, **settings: Any) -> None:
        self.simulation = ZoneSimulation(
            ZoneSimulationSettings(**settings), MessageFaults(1)
        )
        self.callers = Callers(self.simulation)
        assert self.simulation.run_until(
            lambda: bool(self.simulation.serving), SERVE_MS
        )
        self.leader = self.simulation.serving[0]

    @property
    def other_hosts(self) -> list[str]:
        """The entry hosts that do not lead."""
        return [name for name in self.simulation.host_names if name != self.leader]

    def outcome(self, name: str) -> tuple[OutcomeKind | None, str]:
        """Return the kind and the code of what a caller was told last."""
        call = self.callers.call(name)
        return call.outcome, call.outcomes[-1].code if call.outcomes else ""

    def runs(self, name: str) -> list[Interval]:
        """Return the runs of a request from the workers' records."""
        return self.simulation.verdict().intervals.get(f"counter/zadar/{name}", [])

    def wait_for_next_leader(self) -> None:
        """Let time pass until another host serves."""
        other_hosts = set(self.other_hosts)
        found = self.simulation.run_until(
            lambda: bool(other_hosts & set(self.simulation.serving)), SUCCEED_MS
        )
        assert found, "no other entry host took over within 60 s"

    def advance_to_start_decision(self) -> None:
        """Stop time between the decision to start a task and the sending of it."""
        host = self.simulation.unsent_of(self.leader)
        for _ in range(START_MS):
            if any(isinstance(effect, StartTasks) for effect in host()):
                return
            self.simulation.run(1, step_ms=1)
        raise AssertionError("no start was decided within 20 s")
