"""Tests of the worker pools of a scheduling pass and of free capacity."""

import unittest
from random import Random

from marigoldpath_core.fleet import WorkerUnresponsive
from marigoldpath_core.fleet._capacity import count_fitting
from marigoldpath_core.fleet._pools import POOL_LIFETIME_MS, Pools, current_pools
from marigoldpath_core.fleet._run import Run
from marigoldpath_core.jobs import Resources
from tests.core.fleet_fixture import FleetHarness, entry, job, step


class PoolsTests(unittest.TestCase):
    """Guards against starts on workers that must not get any."""

    def pools(self, harness):
        return Pools(harness.scheduler._fleet)

    def test_a_pool_contains_the_usable_workers_of_its_service(self):
        other = entry("other", service="other")
        harness = FleetHarness(
            entry("a"), entry("leaving", draining=True), other, entry("silent")
        )
        for worker_id in ("a", "leaving", "other"):
            harness.report(worker_id)
        self.assertEqual(set(self.pools(harness).get("service").usable), {"a"})
        self.assertEqual(set(self.pools(harness).get("missing").usable), set())

    def test_a_worker_is_startable_after_its_roster_entry_is_stored(self):
        """Without the stored entry, the next leader would not wait for the worker."""
        harness = FleetHarness(entry("a"), roster={})
        harness.report_all()
        harness.advance(10)
        self.assertEqual(set(self.pools(harness).get("service").startable), set())
        harness.commit()
        self.assertEqual(set(self.pools(harness).get("service").startable), {"a"})

    def test_the_ids_stay_the_same_object_while_the_workers_are_the_same(self):
        """Guards against repeated searches, and against overlooking an added worker.

        After no unqueried worker was found for a step of a job, the next search is
        skipped as long as `worker_ids` is the same object.
        """
        harness = FleetHarness(entry("a"), entry("b"))
        harness.report("a")
        first = self.pools(harness).get("service").worker_ids
        self.assertIs(self.pools(harness).get("service").worker_ids, first)
        harness.report("b")
        self.assertIsNot(self.pools(harness).get("service").worker_ids, first)

    def test_a_label_selects_workers(self):
        harness = FleetHarness(entry("a"), entry("b", labels=("b", "rack-1")))
        harness.report_all()
        harness.accept(job(step(required_label="b")))
        (waiting,) = harness.open_steps()
        found = [worker.worker_id for worker in self.pools(harness).usable(waiting)]
        self.assertEqual(found, ["b"])


class CurrentPoolsTests(unittest.TestCase):
    """Guards against passes whose cost grows with the fleet, and against stale pools.

    Passes share the pools for a while, so a worker can become unusable meanwhile.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()
        self.fleet = self.harness.scheduler._fleet

    def test_passes_share_the_pools_for_a_limited_time(self):
        first = current_pools(self.fleet)
        self.assertIs(current_pools(self.fleet), first)
        self.fleet.now_ms += POOL_LIFETIME_MS
        self.assertIsNot(current_pools(self.fleet), first)

    def test_a_worker_that_reports_again_is_in_the_pools_at_once(self):
        self.harness.handle(WorkerUnresponsive("a"))
        self.fleet.now_ms += POOL_LIFETIME_MS
        self.assertEqual(set(current_pools(self.fleet).get("service").usable), {"b"})
        self.harness.report("a")
        usable = current_pools(self.fleet).get("service").usable
        self.assertEqual(set(usable), {"a", "b"})

    def test_no_run_starts_on_a_worker_that_became_unusable(self):
        """A start there would last until its lease expires, or fail for certain."""
        gang = step(width=2, cpu=4_000, gang=True)
        for shape in (step(width=2), gang):
            with self.subTest(gang=shape.gang):
                self.setUp()
                current_pools(self.fleet)
                self.harness.handle(WorkerUnresponsive("a"))
                self.harness.accept(job(shape))
                commands = self.harness.dispatch_starts()
                self.assertEqual([each.worker_id for each in commands], ["b", "b"])


class WaitingTasksTests(unittest.TestCase):
    """Guards against steps that a pass skips although one of their tasks waits."""

    def test_the_count_follows_every_change_of_a_task(self):
        random = Random(7)
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(width=5)))
        (waiting,) = harness.open_steps()
        for _ in range(200):
            task = random.choice(waiting.tasks)
            task.run = random.choice([None, Run(task, 1, "a", step().need, 0)])
            task.done = random.random() < 0.3
            self.assertEqual(waiting.waiting_tasks, len(list(waiting.waiting)))


class FreeCapacityTests(unittest.TestCase):
    """Guards against overloaded workers: the count of tasks must not be too high."""

    def fitting(self, room, **fields):
        spec = step(cpu=1_000, memory=100, **fields)
        return count_fitting(spec, spec.need, Resources(*room))

    def test_the_scarcest_resource_limits_the_tasks(self):
        self.assertEqual(self.fitting((5_000, 200, 0)), 2)
        self.assertEqual(self.fitting((500, 900, 0)), 0)

    def test_the_limit_per_worker_limits_the_tasks(self):
        self.assertEqual(self.fitting((9_000, 900, 0), max_per_worker=3), 3)

    def test_an_overloaded_worker_has_no_free_capacity(self):
        self.assertEqual(self.fitting((-1_000, 900, 0)), 0)


if __name__ == "__main__":
    unittest.main()
