"""Hooks that skip known failures and check the invariants after each scenario."""

import json
import sys
from typing import Any

from marigoldpath_bench.process_harness import SHARED_HARNESS
from marigoldpath_bench.soak import check_invariants


def before_scenario(context: Any, scenario: Any) -> None:
    """Skip the scenario if the test runner lists it as a known failure."""
    known_failures = json.loads(context.config.userdata.get("known_failures", "[]"))
    if f"{scenario.filename}: {scenario.name}" in known_failures:
        scenario.skip("listed in KNOWN-RED.txt")


def after_step(context: Any, step: Any) -> None:
    """Print why a step failed.

    The progress formatter names only the scenario, and a failure that depends on the
    timing of processes cannot be repeated to find out.
    """
    if step.status.has_failed():
        print(
            f"{context.scenario.filename}: {context.scenario.name}: {step.name}: "
            f"{step.exception!r}",
            file=sys.__stderr__,
            flush=True,
        )


def after_scenario(context: Any, scenario: Any) -> None:
    """Restore or stop the shared processes and check the simulated zone."""
    failed = scenario.status.has_failed()
    SHARED_HARNESS.after_scenario(failed)
    served = getattr(context, "served", None)
    if served is None or failed:
        return
    findings = check_invariants(served.simulation, served.callers)
    assert not findings.violations, findings.violations


def after_all(_context: Any) -> None:
    """Stop the processes that the scenarios share."""
    SHARED_HARNESS.close()
