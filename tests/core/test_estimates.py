"""Tests of estimates and of preemption on overloaded hosts."""

import unittest

from marigoldpath_core.estimates import Estimates, select_pressure_preemptions
from marigoldpath_core.placement import PreemptionCandidate
from marigoldpath_core.requests import Size

DECLARED = Size(1_000, 2_000, 1, 1, 4)


class SizeTests(unittest.TestCase):
    def test_a_single_wrong_report_has_little_effect(self) -> None:
        estimates = Estimates()
        estimates.observe_usage("k", DECLARED, Size(10**9, 10**9))
        size = estimates.size("k", DECLARED)
        self.assertLessEqual(size.cpu_millis, 1_100)
        self.assertLessEqual(size.memory_mb, 2_200)
        self.assertEqual(estimates.size("other", DECLARED), DECLARED)

    def test_the_estimate_converges_to_steady_usage_above_the_declared_size(
        self,
    ) -> None:
        estimates = Estimates()
        for _ in range(30):
            estimates.observe_usage("k", DECLARED, Size(3_000, 500))
        self.assertEqual(estimates.size("k", DECLARED), Size(3_000, 2_000, 1, 1, 4))

    def test_a_size_is_never_below_the_declared_size(self) -> None:
        """Guards against overload when an idle task starts to use its declared size."""
        estimates = Estimates()
        for _ in range(1_000):
            estimates.observe_usage("k", DECLARED, Size())
        self.assertEqual(estimates.size("k", DECLARED), DECLARED)

    def test_a_correction_never_exceeds_the_largest_worker(self) -> None:
        """Guards against a correction that makes a request impossible to place."""
        estimates = Estimates()
        for _ in range(100):
            estimates.observe_usage("k", DECLARED, Size(90_000, 90_000))
        most = Size(4_000, 1_000, 9, 9, 9)
        self.assertEqual(estimates.size("k", DECLARED, most)[:2], (4_000, 2_000))

    def test_the_declared_estimator_keeps_the_declared_size(self) -> None:
        estimates = Estimates("declared")
        estimates.observe_usage("k", DECLARED, Size(9_000, 9_000))
        self.assertEqual(estimates.size("k", DECLARED), DECLARED)


class RunTimeTests(unittest.TestCase):
    def test_declared_run_times_are_corrected_up_and_down(self) -> None:
        for ran_ms in (100, 10_000):
            estimates = Estimates()
            for _ in range(200):
                estimates.observe_run("k", 1_000, ran_ms)
            self.assertAlmostEqual(estimates.run_ms("k", 500), ran_ms // 2, delta=10)

    def test_an_undeclared_run_time_is_estimated(self) -> None:
        estimates = Estimates()
        self.assertEqual(estimates.run_ms("k", 0), 0)
        estimates.observe_run("k", 0, 400)
        estimates.observe_run("k", 0, 10**9)
        self.assertLess(estimates.run_ms("k", 0), 450)

    def test_factors_of_removed_kinds_are_dropped(self) -> None:
        estimates = Estimates()
        estimates.observe_run("k", 0, 400)
        estimates.retain_kinds(["other"])
        self.assertEqual(estimates.run_ms("k", 0), 0)


class PressurePreemptionTests(unittest.TestCase):
    capacity = Size(10_000, 10_000)

    def select(self, used: Size, *candidates: tuple[str, Size, int, bool, bool]):
        running = [
            PreemptionCandidate(
                task, "a", size, priority, started, repeatable, checkpoint
            )
            for started, (task, size, priority, repeatable, checkpoint) in enumerate(
                candidates
            )
        ]
        preemptions = select_pressure_preemptions(self.capacity, used, running)
        return [(preemption.task, preemption.action) for preemption in preemptions]

    def test_a_host_below_the_high_watermark_needs_no_preemption(self) -> None:
        candidate = ("a", Size(9_000, 9_000), 1, True, True)
        self.assertEqual(self.select(Size(9_000, 9_000), candidate), [])

    def test_cpu_pressure_throttles_the_least_urgent_task(self) -> None:
        urgent = ("urgent", Size(5_000), 0, True, True)
        late = ("late", Size(4_500), 2, False, False)
        found = self.select(Size(9_500), urgent, late)
        self.assertEqual(found, [("late", "throttle")])

    def test_memory_pressure_never_stops_a_task_that_cannot_be_repeated(self) -> None:
        protected = ("keep", Size(0, 5_000), 9, False, False)
        stop = ("stop", Size(0, 2_000), 1, True, False)
        pause = ("pause", Size(0, 2_500), 1, False, True)
        found = self.select(Size(0, 9_500), protected, stop, pause)
        self.assertEqual(found, [("pause", "checkpoint")])
        self.assertEqual(self.select(Size(0, 9_500), protected), [])
