"""Tests of the runner's list of tests that are known to fail."""

import tempfile
import unittest
from pathlib import Path

from tests.run import missing_scenarios, read_known_red, split_suite

LISTED = """Tests that fail because of a fault in the code.

test: features/a.feature: The leader, once more
command: python -m behave features/a.feature
seed: 1
seen: test: nothing that counts
issue: #1

test: tests.core.test_a.Tests.test_red
"""


def test_red() -> None:
    """Stand for a test that fails."""


def test_red_too() -> None:
    """Stand for a test whose name begins like that of another."""


class KnownRedTests(unittest.TestCase):
    """Guards against a list that passes over more, or less, than it names."""

    def test_only_the_lines_that_name_a_test_count(self) -> None:
        known = read_known_red(LISTED)
        self.assertEqual(known.unit_tests, ("tests.core.test_a.Tests.test_red",))
        self.assertEqual(
            known.scenarios, ("features/a.feature: The leader, once more",)
        )

    def test_exactly_the_named_unit_test_is_left_out(self) -> None:
        functions = (test_red, test_red_too)
        inner = unittest.TestSuite(map(unittest.FunctionTestCase, functions))
        suite = unittest.TestSuite([inner])
        kept, passed_over = split_suite(suite, ("test_red", "test_none"))
        ids = [test.id() for test in kept if isinstance(test, unittest.TestCase)]
        self.assertEqual(ids, ["test_red_too"])
        self.assertEqual(passed_over, ["test_red"])

    def test_a_scenario_that_no_feature_has_is_found(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "features")
            path.mkdir()
            (path / "a.feature").write_text("Feature: A\n  Scenario: One\n")
            names = (
                "features/a.feature: One",
                "features/a.feature: On",
                "features/b.feature: One",
            )
            self.assertEqual(missing_scenarios(names, Path(folder)), list(names[1:]))
