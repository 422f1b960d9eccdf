"""Tests of the benchmark of the cell's scheduler."""

import unittest

from marigoldpath_bench.scheduler_bench import SchedulerLoad, measures


class SchedulerLoadTests(unittest.TestCase):
    """Guards against a benchmark that measures a scheduler without work."""

    def test_the_load_starts_tasks_in_proportion_to_the_workers(self):
        small = SchedulerLoad(24, 1).play(6)
        large = SchedulerLoad(96, 1).play(6)
        self.assertGreater(small.starts, 50)
        self.assertGreater(large.starts, 2 * small.starts)

    def test_the_same_seed_starts_the_same_number_of_tasks(self):
        counts = {SchedulerLoad(24, 3).play(2).starts for _ in range(2)}
        self.assertEqual(len(counts), 1)

    def test_each_size_yields_the_cost_of_a_start(self):
        lines = list(measures(1, sizes=(12,), play_s=2.0))
        names = [line["measure"] for line in lines]
        self.assertEqual(names[0], "scheduler.start")
        self.assertGreater(lines[0]["value"], 0)
