"""Run the unit tests and the behave scenarios and print the total counts.

The tests and scenarios that KNOWN-RED.txt lists are skipped and printed.
"""

import json
import re
import subprocess
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_FILE = ROOT / "KNOWN-RED.txt"
SCENARIO_COUNTS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed", re.MULTILINE)
ERROR_COUNT = re.compile(r"^\d+ scenarios? passed.*?, (\d+) error", re.MULTILINE)
TEST_ENTRY = re.compile(r"^test: *(.*?) *$", re.MULTILINE)
SCENARIO_ENTRY = re.compile(r"(features/\S+\.feature): (.+)")


class KnownFailures(NamedTuple):
    """The tests to skip: dotted names of unit tests, and scenarios as `FILE: NAME`."""

    unit_tests: tuple[str, ...]
    scenarios: tuple[str, ...]


def read_known_failures(text: str) -> KnownFailures:
    """Return the tests that are listed in lines of the form `test: NAME`."""
    names = TEST_ENTRY.findall(text)
    scenarios = tuple(name for name in names if SCENARIO_ENTRY.fullmatch(name))
    unit_tests = tuple(name for name in names if name not in scenarios)
    return KnownFailures(unit_tests, scenarios)


def missing_scenarios(names: tuple[str, ...], root: Path) -> list[str]:
    """Return the listed scenarios that no feature file contains."""
    return [name for name in names if not _has_scenario(name, root)]


def split_suite(
    suite: unittest.TestSuite, names: tuple[str, ...]
) -> tuple[unittest.TestSuite, list[str]]:
    """Return a suite without the named tests, and the ids of the removed tests."""
    remaining = unittest.TestSuite()
    skipped = []
    for test in _iterate_tests(suite):
        if test.id() in names:
            skipped.append(test.id())
        else:
            remaining.addTest(test)
    return remaining, skipped


def run_unit_tests(names: tuple[str, ...]) -> tuple[int, int]:
    """Run the unit tests and return the counts of passed and failed ones.

    A listed name without a test counts as a failure, which keeps the list up to date.
    """
    discovered = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), top_level_dir=ROOT
    )
    suite, skipped = split_suite(discovered, names)
    unknown = _print_listed("test", skipped, sorted(set(names) - set(skipped)))
    result = unittest.TextTestRunner(stream=sys.stderr, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return result.testsRun - failed - len(result.skipped), failed + unknown


def run_features(names: tuple[str, ...]) -> tuple[int, int]:
    """Run the behave scenarios and return the counts of passed and failed ones."""
    missing = missing_scenarios(names, ROOT)
    skipped = [name for name in names if name not in missing]
    unknown = _print_listed("scenario", skipped, missing)
    command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
    # features/environment.py skips the scenarios in this list.
    userdata = f"known_failures={json.dumps(skipped)}"
    completed = subprocess.run(
        [*command, "--define", userdata, str(ROOT / "features")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(completed.stdout, completed.stderr, sep="\n")
    counts = SCENARIO_COUNTS.search(completed.stdout)
    if counts is None:
        return 0, 1 + unknown
    errors = ERROR_COUNT.search(completed.stdout)
    failed = int(counts[2]) + (int(errors[1]) if errors else 0)
    if completed.returncode != 0:
        failed = max(failed, 1)
    return int(counts[1]), failed + unknown


def main() -> int:
    known = KnownFailures((), ())
    if KNOWN_FAILURES_FILE.is_file():
        known = read_known_failures(KNOWN_FAILURES_FILE.read_text())
    unit_passed, unit_failed = run_unit_tests(known.unit_tests)
    passed, failed = run_features(known.scenarios)
    passed, failed = passed + unit_passed, failed + unit_failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _print_listed(kind: str, skipped: list[str], unknown: list[str]) -> int:
    """Print the skipped and the unknown names; return the number of unknown ones."""
    for name in skipped:
        print(f"known failure, skipped: {kind} {name}", flush=True)
    for name in unknown:
        print(f"{KNOWN_FAILURES_FILE.name} lists an unknown {kind}: {name}", flush=True)
    return len(unknown)


def _iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _iterate_tests(item)
        else:
            yield item


def _has_scenario(name: str, root: Path) -> bool:
    match = SCENARIO_ENTRY.fullmatch(name)
    if match is None or not (root / match[1]).is_file():
        return False
    title = rf"^\s*Scenario(?: Outline)?: {re.escape(match[2])}\s*$"
    return bool(re.search(title, (root / match[1]).read_text(), re.MULTILINE))


if __name__ == "__main__":
    sys.exit(main())
