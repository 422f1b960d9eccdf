"""Gives each scenario a world of its own, judged when the scenario ends."""

from typing import Any

from marigoldpath_bench.soak import check_world


def after_scenario(context: Any, scenario: Any) -> None:
    """No scenario may leave a fault in the workers' records."""
    served = getattr(context, "served", None)
    if served is None or scenario.status.has_failed():
        return
    findings = check_world(served.world, served.callers)
    assert not findings.faults, findings.faults
