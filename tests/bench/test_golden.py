"""Tests of whole sessions against their golden files."""

import unittest

from marigoldpath_bench.golden import SESSIONS, golden_path, run_session


class GoldenTests(unittest.TestCase):
    """After a wanted change: `python -m marigoldpath_bench.golden --update`.

    Read the difference of the files before you commit them.
    """

    maxDiff = None

    def check(self, name: str) -> None:
        golden = golden_path(name).read_text(encoding="utf-8")
        self.assertEqual(run_session(name), golden)

    def test_the_day_of_skala(self) -> None:
        self.check("skala")

    def test_the_day_of_sfax(self) -> None:
        self.check("sfax")

    def test_every_session_has_a_test(self) -> None:
        self.assertEqual(set(SESSIONS), {"skala", "sfax"})


if __name__ == "__main__":
    unittest.main()
