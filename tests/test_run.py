"""Tests of the test runner's list of known failures."""

import tempfile
import unittest
from pathlib import Path

from tests.run import missing_scenarios, read_known_failures, split_suite

KNOWN_FAILURES = """Tests that fail because of an error in the code.

test: features/a.feature: The leader is re-elected
command: python -m behave features/a.feature
seed: 1
seen: test: not an entry
issue: #1

test: tests.core.test_a.Tests.test_a
"""


def test_listed() -> None:
    """Represent a test that is listed as a known failure."""


def test_listed_prefix() -> None:
    """Represent a test whose name starts with that of a listed test."""


class KnownFailuresTests(unittest.TestCase):
    """Guards against a runner that skips more or fewer tests than the list names."""

    def test_only_lines_that_begin_with_test_are_entries(self) -> None:
        known = read_known_failures(KNOWN_FAILURES)
        self.assertEqual(known.unit_tests, ("tests.core.test_a.Tests.test_a",))
        self.assertEqual(
            known.scenarios, ("features/a.feature: The leader is re-elected",)
        )

    def test_only_the_listed_unit_test_is_skipped(self) -> None:
        functions = (test_listed, test_listed_prefix)
        inner = unittest.TestSuite(map(unittest.FunctionTestCase, functions))
        suite = unittest.TestSuite([inner])
        remaining, skipped = split_suite(suite, ("test_listed", "test_absent"))
        ids = [test.id() for test in remaining if isinstance(test, unittest.TestCase)]
        self.assertEqual(ids, ["test_listed_prefix"])
        self.assertEqual(skipped, ["test_listed"])

    def test_a_listed_scenario_that_no_feature_contains_is_reported(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            features = Path(directory, "features")
            features.mkdir()
            (features / "a.feature").write_text("Feature: A\n  Scenario: One\n")
            names = (
                "features/a.feature: One",
                "features/a.feature: On",
                "features/b.feature: One",
            )
            self.assertEqual(missing_scenarios(names, Path(directory)), list(names[1:]))
