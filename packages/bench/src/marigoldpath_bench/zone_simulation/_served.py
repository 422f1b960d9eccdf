"""A zone that a leader serves, with its callers."""

from typing import Any

from marigoldpath_bench.oracle import Interval
from marigoldpath_core.messages import StartTasks
from marigoldpath_core.requests import OutcomeKind

from ._callers import Callers
from ._faults import Faults
from ._world import World, WorldSettings

SERVE_MS = 20_000
SUCCEED_MS = 60_000
START_MS = 20_000


class ServedZone:
    """A world, its callers and the leader that served first."""

    def __init__(self, **settings: Any) -> None:
        self.world = World(WorldSettings(**settings), Faults(1))
        self.callers = Callers(self.world)
        assert self.world.run_until(lambda: bool(self.world.serving), SERVE_MS)
        self.leader = self.world.serving[0]

    @property
    def others(self) -> list[str]:
        """The entry hosts that do not lead."""
        return [name for name in self.world.host_names if name != self.leader]

    def outcome(self, name: str) -> tuple[OutcomeKind | None, str]:
        """Return the kind and the code of what a caller was told last."""
        call = self.callers.call(name)
        return call.outcome, call.outcomes[-1].code if call.outcomes else ""

    def runs(self, name: str) -> list[Interval]:
        """Return the runs of a request from the workers' records."""
        return self.world.verdict().intervals.get(f"counter/zadar/{name}", [])

    def wait_for_successor(self) -> None:
        """Let time pass until another host serves."""
        others = set(self.others)
        found = self.world.run_until(
            lambda: bool(others & set(self.world.serving)), SUCCEED_MS
        )
        assert found, "no other entry host took over within 60 s"

    def advance_to_start(self) -> None:
        """Stop time between the decision to start a task and the sending of it."""
        host = self.world.unsent_of(self.leader)
        for _ in range(START_MS):
            if any(isinstance(effect, StartTasks) for effect in host()):
                return
            self.world.run(1, step_ms=1)
        raise AssertionError("no start was decided within 20 s")
