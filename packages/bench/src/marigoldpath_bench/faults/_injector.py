"""Decide what a fake server does with each message; no input or output."""

from collections.abc import Callable
from typing import Any, NamedTuple

from marigoldpath_core.registry import Registry


class FaultPlan(NamedTuple):
    """A fault mode and its parameters.

    The plan applies to the next `remaining` messages or, if that is None, until another
    plan is set. In the mode `cut`, the messages of `partitioned_hosts` are dropped.
    """

    mode: str = "ok"
    delay_ms: int = 0
    remaining: int | None = None
    partitioned_hosts: tuple[str, ...] = ()


class FaultAction(NamedTuple):
    """What is done with one message.

    The message is processed if `handled`, and its reply is sent if `replied`. A `held`
    message waits until the mode changes.
    """

    handled: bool = True
    replied: bool = True
    delay_ms: int = 0
    held: bool = False


NO_FAULT = FaultAction()
DROPPED = FaultAction(handled=False, replied=False)

FaultMode = Callable[[FaultPlan, str, bool], FaultAction]
fault_modes: Registry[str, FaultMode] = Registry("fault mode")


@fault_modes.register("ok")
def _ok(_plan: FaultPlan, _host: str, _is_write: bool) -> FaultAction:
    return NO_FAULT


@fault_modes.register("down")
def _down(_plan: FaultPlan, _host: str, _is_write: bool) -> FaultAction:
    return DROPPED


@fault_modes.register("slow")
def _slow(plan: FaultPlan, _host: str, _is_write: bool) -> FaultAction:
    return FaultAction(delay_ms=plan.delay_ms)


@fault_modes.register("lose_answers")
def _lose_answers(_plan: FaultPlan, _host: str, is_write: bool) -> FaultAction:
    return FaultAction(replied=False) if is_write else NO_FAULT


@fault_modes.register("drop_replies")
def _drop_replies(_plan: FaultPlan, _host: str, _is_write: bool) -> FaultAction:
    return FaultAction(replied=False)


@fault_modes.register("cut")
def _partition(plan: FaultPlan, host: str, _is_write: bool) -> FaultAction:
    return DROPPED if host in plan.partitioned_hosts else NO_FAULT


@fault_modes.register("freeze")
def _freeze(_plan: FaultPlan, _host: str, _is_write: bool) -> FaultAction:
    return FaultAction(held=True)


class FaultInjector:
    """Apply the active fault plan to each message."""

    def __init__(self) -> None:
        self._plan = FaultPlan()

    @property
    def plan(self) -> FaultPlan:
        """The active fault plan."""
        return self._plan

    @property
    def is_frozen(self) -> bool:
        """Whether messages are held."""
        return self._plan.mode == "freeze"

    def set_fault_plan(self, plan: FaultPlan) -> None:
        """Activate a plan; raise UnknownEntryError if its mode is unknown."""
        fault_modes.get(plan.mode)
        self._plan = plan

    def next_action(self, host: str, is_write: bool) -> FaultAction:
        """Return what to do with the next message from `host`."""
        plan = self._plan
        treatment = fault_modes.get(plan.mode)(plan, host, is_write)
        if treatment != NO_FAULT and plan.remaining is not None:
            left = plan.remaining - 1
            self._plan = plan._replace(remaining=left) if left > 0 else FaultPlan()
        return treatment


def parse_fault_plan(payload: dict[str, Any]) -> FaultPlan:
    """Return the fault plan in the body of a control message."""
    return FaultPlan(
        mode=payload.get("mode", "ok"),
        delay_ms=payload.get("delay_ms", 0),
        remaining=payload.get("count"),
        partitioned_hosts=tuple(payload.get("cut", ())),
    )
