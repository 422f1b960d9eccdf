"""Runs the unit tests and the behave features and prints one closing line.

The tests and scenarios that KNOWN-RED.txt lists are passed over and printed.
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
KNOWN_RED = ROOT / "KNOWN-RED.txt"
SCENARIO_COUNTS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed", re.MULTILINE)
ERROR_COUNT = re.compile(r"^\d+ scenarios? passed.*?, (\d+) error", re.MULTILINE)
ENTRY = re.compile(r"^test: *(.*?) *$", re.MULTILINE)
FEATURE_ENTRY = re.compile(r"(features/\S+\.feature): (.+)")


class KnownRed(NamedTuple):
    """The tests that are passed over: dotted unit tests and `FILE: SCENARIO`."""

    unit_tests: tuple[str, ...]
    scenarios: tuple[str, ...]


def read_known_red(text: str) -> KnownRed:
    """Return the tests that the lines `test: NAME` list."""
    names = ENTRY.findall(text)
    scenarios = tuple(name for name in names if FEATURE_ENTRY.fullmatch(name))
    others = tuple(name for name in names if name not in scenarios)
    return KnownRed(others, scenarios)


def missing_scenarios(names: tuple[str, ...], root: Path) -> list[str]:
    """Return the listed scenarios that no feature file has."""
    return [name for name in names if not _has_scenario(name, root)]


def split_suite(
    suite: unittest.TestSuite, names: tuple[str, ...]
) -> tuple[unittest.TestSuite, list[str]]:
    """Return the tests that are not named, and the ids of those that are."""
    kept = unittest.TestSuite()
    passed_over = []
    for test in _tests(suite):
        if test.id() in names:
            passed_over.append(test.id())
        else:
            kept.addTest(test)
    return kept, passed_over


def run_unit_tests(names: tuple[str, ...]) -> tuple[int, int]:
    """Return the counts of passed and failed unit tests.

    A listed name that is no test counts as failed, so that the list stays exact.
    """
    found = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    suite, passed_over = split_suite(found, names)
    unknown = _report("test", passed_over, sorted(set(names) - set(passed_over)))
    result = unittest.TextTestRunner(stream=sys.stderr, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return result.testsRun - failed - len(result.skipped), failed + unknown


def run_features(names: tuple[str, ...]) -> tuple[int, int]:
    """Return the counts of passed and failed behave scenarios."""
    missing = missing_scenarios(names, ROOT)
    passed_over = [name for name in names if name not in missing]
    unknown = _report("scenario", passed_over, missing)
    command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
    # features/environment.py skips the scenarios of this value.
    known_red = f"known_red={json.dumps(passed_over)}"
    done = subprocess.run(
        [*command, "--define", known_red, str(ROOT / "features")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(done.stdout, done.stderr, sep="\n")
    counts = SCENARIO_COUNTS.search(done.stdout)
    if counts is None:
        return 0, 1 + unknown
    errors = ERROR_COUNT.search(done.stdout)
    failed = int(counts[2]) + (int(errors[1]) if errors else 0)
    if done.returncode != 0:
        failed = max(failed, 1)
    return int(counts[1]), failed + unknown


def main() -> int:
    known = KnownRed((), ())
    if KNOWN_RED.is_file():
        known = read_known_red(KNOWN_RED.read_text())
    unit_passed, unit_failed = run_unit_tests(known.unit_tests)
    passed, failed = run_features(known.scenarios)
    passed, failed = passed + unit_passed, failed + unit_failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def _report(sort: str, passed_over: list[str], unknown: list[str]) -> int:
    """Print what is passed over and return how many entries name nothing."""
    for name in passed_over:
        print(f"known red, passed over: {sort} {name}", flush=True)
    for name in unknown:
        print(f"{KNOWN_RED.name} lists no {sort}: {name}", flush=True)
    return len(unknown)


def _tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _tests(item)
        else:
            yield item


def _has_scenario(name: str, root: Path) -> bool:
    match = FEATURE_ENTRY.fullmatch(name)
    if match is None or not (root / match[1]).is_file():
        return False
    title = rf"^\s*Scenario(?: Outline)?: {re.escape(match[2])}\s*$"
    return bool(re.search(title, (root / match[1]).read_text(), re.MULTILINE))


if __name__ == "__main__":
    sys.exit(main())
