"""Tests of the summary of a run."""

import unittest
from typing import ClassVar

from marigoldpath_bench.demo import Summary, summarise
from marigoldpath_bench.load import CallOutcome, CallResult
from marigoldpath_bench.oracle import Interval, Verdict


def result(ending: CallOutcome) -> CallResult:
    work = {"team": "t", "availability_zone": "z", "id": "1", "kind": "k", "size": {}}
    return CallResult("t/z/1", work, ending, 5, 1)  # type: ignore[arg-type]


def run(status: str = "done", end_ms: int | None = 5) -> Interval:
    return Interval("w1", "t/z/1#1.0", 0, end_ms, True, status)


class SummaryTests(unittest.TestCase):
    cancelled: ClassVar[dict[str, int]] = {"t/z/1": 5}

    def summarise(self, ending: CallOutcome | None, *runs: Interval) -> Summary:
        verdict = Verdict(0, 0, 0, 0, (), {"t/z/1": list(runs)} if runs else {})
        results = [] if ending is None else [result(ending)]
        return summarise(["t/z/1"], results, verdict, self.cancelled)

    def test_a_request_with_an_answer_and_a_completed_run_is_answered(self) -> None:
        summary = self.summarise(CallOutcome.DONE, run())
        self.assertEqual(
            summary.line(),
            "demo: requests=1 answered=1 refused=0 lost=0 duplicated=0 overcommitted=0",
        )
        self.assertTrue(summary.passed)

    def test_a_refused_request_that_ran_does_not_pass(self) -> None:
        self.assertEqual(self.summarise(CallOutcome.NOT_RUN).refused, 1)
        self.assertFalse(self.summarise(CallOutcome.NOT_RUN, run()).passed)

    def test_a_request_without_a_known_outcome_is_lost(self) -> None:
        for ending in (None, CallOutcome.UNKNOWN, CallOutcome.WRONG):
            self.assertEqual(self.summarise(ending, run()).lost, 1)

    def test_a_long_running_request_must_have_run_and_terminated(self) -> None:
        self.assertEqual(
            self.summarise(CallOutcome.ACCEPTED, run("stopped")).answered, 1
        )
        self.assertEqual(self.summarise(CallOutcome.ACCEPTED, run("", None)).lost, 1)
        self.assertEqual(self.summarise(CallOutcome.ACCEPTED).lost, 1)
        later = run()._replace(start_ms=6, end_ms=9)
        self.assertEqual(self.summarise(CallOutcome.ACCEPTED, run(), later).lost, 1)

    def test_a_long_running_request_that_was_not_cancelled_is_lost(self) -> None:
        self.cancelled = {}  # type: ignore[misc]
        self.assertEqual(self.summarise(CallOutcome.ACCEPTED, run()).lost, 1)
