"""Runs the unit tests and the behave features and prints one closing line."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SCENARIO_COUNTS = re.compile(r"^(\d+) scenarios? passed, (\d+) failed", re.MULTILINE)
ERROR_COUNT = re.compile(r"^\d+ scenarios? passed.*?, (\d+) error", re.MULTILINE)


def run_unit_tests() -> tuple[int, int]:
    """Return the counts of passed and failed unit tests."""
    suite = unittest.defaultTestLoader.discover(str(ROOT / "tests"), top_level_dir=ROOT)
    result = unittest.TextTestRunner(stream=sys.stderr, verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return result.testsRun - failed - len(result.skipped), failed


def run_features() -> tuple[int, int]:
    """Return the counts of passed and failed behave scenarios."""
    command = [sys.executable, "-m", "behave", "--no-color", "--format", "progress"]
    done = subprocess.run(
        [*command, str(ROOT / "features")],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    print(done.stdout, done.stderr, sep="\n")
    counts = SCENARIO_COUNTS.search(done.stdout)
    if counts is None:
        return 0, 1
    errors = ERROR_COUNT.search(done.stdout)
    failed = int(counts[2]) + (int(errors[1]) if errors else 0)
    if done.returncode != 0:
        failed = max(failed, 1)
    return int(counts[1]), failed


def main() -> int:
    unit_passed, unit_failed = run_unit_tests()
    passed, failed = run_features()
    passed, failed = passed + unit_passed, failed + unit_failed
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
