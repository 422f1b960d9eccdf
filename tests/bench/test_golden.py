"""Compare simulated sessions with their golden files."""

import unittest

from marigoldpath_bench.golden import SESSIONS, golden_path, run_session


class GoldenTests(unittest.TestCase):
    """Detect unintended changes of outcomes, histories, reports and their texts.

    After an intended change, run `python -m marigoldpath_bench.golden --update` and
    review the differences before you commit them.
    """

    maxDiff = None

    def check(self, name: str) -> None:
        golden = golden_path(name).read_text(encoding="utf-8")
        self.assertEqual(run_session(name), golden)

    def test_skala_session_matches_its_golden_file(self) -> None:
        self.check("skala")

    def test_sfax_session_matches_its_golden_file(self) -> None:
        self.check("sfax")

    def test_every_session_has_a_test(self) -> None:
        self.assertEqual(set(SESSIONS), {"skala", "sfax"})


if __name__ == "__main__":
    unittest.main()
