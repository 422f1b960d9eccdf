"""Skip the scenarios that are known to fail and check the invariants after each."""

import json
from typing import Any

from marigoldpath_bench.process_run import SHARED
from marigoldpath_bench.soak import check_world


def before_scenario(context: Any, scenario: Any) -> None:
    """Skip the scenario if the test runner lists it as a known failure."""
    known_failures = json.loads(context.config.userdata.get("known_failures", "[]"))
    if f"{scenario.filename}: {scenario.name}" in known_failures:
        scenario.skip("listed in KNOWN-RED.txt")


def after_scenario(context: Any, scenario: Any) -> None:
    """Release the shared processes and check the invariants of a simulated zone."""
    failed = scenario.status.has_failed()
    SHARED.after_scenario(failed)
    served = getattr(context, "served", None)
    if served is None or failed:
        return
    findings = check_world(served.world, served.callers)
    assert not findings.faults, findings.faults


def after_all(_context: Any) -> None:
    """Stop the processes that the scenarios share."""
    SHARED.end()
