"""Gives each scenario a world of its own, judged when the scenario ends."""

import json
from typing import Any

from marigoldpath_bench.process_harness import SHARED_HARNESS
from marigoldpath_bench.soak import check_invariants


def before_scenario(context: Any, scenario: Any) -> None:
    """Pass over the scenarios that the runner names as known to fail."""
    known = json.loads(context.config.userdata.get("known_red", "[]"))
    if f"{scenario.filename}: {scenario.name}" in known:
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Any, scenario: Any) -> None:
    """No scenario may leave a fault in the workers' records, nor a process behind."""
    failed = scenario.status.has_failed()
    SHARED_HARNESS.after_scenario(failed)
    served = getattr(context, "served", None)
    if served is None or failed:
        return
    findings = check_invariants(served.simulation, served.callers)
    assert not findings.violations, findings.violations


def after_all(_context: Any) -> None:
    """End the processes that scenarios shared."""
    SHARED_HARNESS.close()
