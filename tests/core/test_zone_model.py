"""A property-based test of the zone scheduler with injected faults of all kinds.

The operations and the checks are those of `make soak`. The seeds are fixed, so every
run executes the same steps.
"""

import unittest

from hypothesis import HealthCheck, settings, strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from marigoldpath_bench.soak import ZoneSearch, operations

EXAMPLES = 24
STEPS = 120


class ZoneMachine(RuleBasedStateMachine):
    """A state machine whose operations Hypothesis runs in an order that it chooses."""

    @initialize(seed=strategies.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.search = ZoneSearch(seed)

    @rule(name=strategies.sampled_from([n for n in operations if "submit" in n]))
    def submit(self, name: str) -> None:
        self.search.step(name)

    @rule(name=strategies.sampled_from([n for n in operations if "submit" not in n]))
    def inject_fault(self, name: str) -> None:
        self.search.step(name)

    def teardown(self) -> None:
        findings = self.search.finish()
        assert not findings.violations, findings.violations


class ZoneModelTests(unittest.TestCase):
    def test_invariants_hold_under_any_order_of_operations_and_faults(self) -> None:
        """Guards against overcommitment, double runs, wrong answers, false NOT_RUN."""
        run_state_machine_as_test(
            ZoneMachine,
            settings=settings(
                max_examples=EXAMPLES,
                stateful_step_count=STEPS,
                derandomize=True,
                deadline=None,
                database=None,
                suppress_health_check=list(HealthCheck),
            ),
        )


if __name__ == "__main__":
    unittest.main()
