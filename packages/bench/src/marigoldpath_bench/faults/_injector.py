"""Decides how a stand-in treats each message; no input or output."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry


class FaultPlan(NamedTuple):
    """What goes wrong, for the next `remaining` messages or, with None, until changed.

    `cut` names the hosts that the mode `cut` gives no answer.
    """

    mode: str = "ok"
    delay_ms: int = 0
    remaining: int | None = None
    cut: tuple[str, ...] = ()


class FaultAction(NamedTuple):
    """How one message is treated; `held` keeps it until the mode changes."""

    handled: bool = True
    replied: bool = True
    delay_ms: int = 0
    held: bool = False


NORMAL = FaultAction()
UNHANDLED = FaultAction(handled=False, replied=False)

FaultMode = Callable[[FaultPlan, str, bool], FaultAction]
fault_modes: Registry[str, FaultMode] = Registry("fault mode")


@fault_modes.register("ok")
def _ok(_plan: FaultPlan, _host: str, _writes: bool) -> FaultAction:
    return NORMAL


@fault_modes.register("down")
def _down(_plan: FaultPlan, _host: str, _writes: bool) -> FaultAction:
    return UNHANDLED


@fault_modes.register("slow")
def _slow(plan: FaultPlan, _host: str, _writes: bool) -> FaultAction:
    return FaultAction(delay_ms=plan.delay_ms)


@fault_modes.register("lose_answers")
def _lose_answers(_plan: FaultPlan, _host: str, writes: bool) -> FaultAction:
    return FaultAction(replied=False) if writes else NORMAL


@fault_modes.register("drop_replies")
def _drop_replies(_plan: FaultPlan, _host: str, _writes: bool) -> FaultAction:
    return FaultAction(replied=False)


@fault_modes.register("cut")
def _cut(plan: FaultPlan, host: str, _writes: bool) -> FaultAction:
    return UNHANDLED if host in plan.cut else NORMAL


@fault_modes.register("freeze")
def _freeze(_plan: FaultPlan, _host: str, _writes: bool) -> FaultAction:
    return FaultAction(held=True)


class FaultInjector:
    """Applies the plan in force to each message."""

    def __init__(self) -> None:
        self._plan = FaultPlan()

    @property
    def plan(self) -> FaultPlan:
        """The plan in force."""
        return self._plan

    @property
    def is_frozen(self) -> bool:
        """Whether messages are held."""
        return self._plan.mode == "freeze"

    def set_fault_plan(self, plan: FaultPlan) -> None:
        """Put a plan in force; raises UnknownEntryError for an unknown mode."""
        fault_modes.get(plan.mode)
        self._plan = plan

    def next_action(self, host: str, writes: bool) -> FaultAction:
        """Return how to treat the next message from `host`."""
        plan = self._plan
        treatment = fault_modes.get(plan.mode)(plan, host, writes)
        if treatment != NORMAL and plan.remaining is not None:
            left = plan.remaining - 1
            self._plan = plan._replace(remaining=left) if left > 0 else FaultPlan()
        return treatment


def parse_plan(payload: dict[str, Any]) -> FaultPlan:
    """Return the plan in the body of a control message."""
    return FaultPlan(
        mode=payload.get("mode", "ok"),
        delay_ms=payload.get("delay_ms", 0),
        remaining=payload.get("count"),
        cut=tuple(payload.get("cut", ())),
    )
