"""Tests of the oracle that counts violations in the workers' records."""

import unittest
from typing import Any

from marigoldpath_bench.oracle import Verdict, judge
from marigoldpath_bench.worker import StartItem, WorkerStateMachine
from marigoldpath_bench.worker._messages import encode_record
from marigoldpath_core.requests import Size

CAPACITY = Size(4_000, 100, 0, 2, 9)


def start(task: str, *, slots: int = 1, **work: Any) -> StartItem:
    work = {"run_ms": 100, **work}
    return StartItem(task, Size(1_000, 10, 0, slots, 1), 9_999, 9_999, work)


class OracleTests(unittest.TestCase):
    def setUp(self) -> None:
        self.workers = [WorkerStateMachine(name, CAPACITY, "") for name in ("w1", "w2")]
        for worker in self.workers:
            worker.boot(0, "one")

    def judge(self) -> Verdict:
        for worker in self.workers:
            worker.advance(9_999)
        records = [r for worker in self.workers for r in worker.take_records()]
        return judge(encode_record(record, 0) for record in records)

    def counts(self) -> tuple[int, int, int]:
        return self.judge()[:3]

    def test_starts_that_fit_exactly_are_no_violation(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0"), start("t/z/2#1.0")])
        self.workers[0].start(100, "h", [start("t/z/3#1.0", slots=2)])
        self.assertEqual(self.counts(), (0, 0, 0))

    def test_a_start_above_the_workers_capacity_is_counted(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0", slots=3)])
        self.assertEqual(self.counts(), (1, 0, 0))

    def test_measured_use_above_the_capacity_is_counted_separately(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0", use={"memory_mb": 101})])
        self.assertEqual(self.judge()[:4], (0, 0, 0, 1))

    def test_overlapping_attempts_on_two_workers_are_counted(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0")])
        self.workers[1].start(99, "h", [start("t/z/1#2.0")])
        self.assertEqual(self.counts(), (0, 1, 0))

    def test_an_attempt_after_the_first_has_terminated_is_no_violation(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0")])
        self.workers[1].start(100, "h", [start("t/z/1#2.0")])
        self.assertEqual(self.counts(), (0, 0, 0))

    def test_overlapping_runs_of_one_task_are_counted(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0")])
        self.workers[1].start(50, "h", [start("t/z/1#1.0")])
        self.assertEqual(self.counts(), (0, 1, 0))

    def test_members_of_one_gang_attempt_may_overlap(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0", repeatable=False)])
        self.workers[1].start(0, "h", [start("t/z/1#1.1", repeatable=False)])
        self.assertEqual(self.counts(), (0, 0, 0))

    def test_a_second_start_of_a_non_repeatable_request_is_counted(self) -> None:
        self.workers[0].start(0, "h", [start("t/z/1#1.0", repeatable=False)])
        self.workers[1].start(500, "h", [start("t/z/1#2.0", repeatable=False)])
        self.assertEqual(self.counts(), (0, 0, 1))

    def test_leadership_claims_are_not_counted(self) -> None:
        claims = [
            StartItem(f"claim:zadar:{epoch}:e1", Size(), 9_999, 9_999, {})
            for epoch in (1, 2)
        ]
        self.workers[0].start(0, "h", claims)
        self.assertEqual(self.counts(), (0, 0, 0))
