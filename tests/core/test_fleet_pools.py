"""Tests of the worker pools of a scheduling pass and of free capacity."""

import unittest

from marigoldpath_core.fleet._capacity import count_fitting
from marigoldpath_core.fleet._pools import Pools
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
