"""Guards what a pass gathers of the workers."""

import unittest

from marigoldpath_core.fleet._pools import Pools
from marigoldpath_core.fleet._room import count_fitting
from marigoldpath_core.jobs import Resources
from tests.core.fleet_fixture import Cell, entry, job, step


class PoolsTests(unittest.TestCase):
    def gather(self, cell):
        return Pools(cell.scheduler._fleet)

    def test_a_pool_has_the_usable_workers_of_its_service(self):
        other = entry("other", service="other")
        cell = Cell(entry("a"), entry("leaving", draining=True), other, entry("silent"))
        for worker_id in ("a", "leaving", "other"):
            cell.report(worker_id)
        self.assertEqual(set(self.gather(cell).get("service").usable), {"a"})
        self.assertEqual(set(self.gather(cell).get("missing").usable), set())

    def test_a_worker_is_open_once_its_use_is_stored(self):
        """A successor would not know that it may run anything."""
        cell = Cell(entry("a"), roster={})
        cell.hear_all()
        cell.wait(10)
        self.assertEqual(set(self.gather(cell).get("service").open), set())
        cell.commit()
        self.assertEqual(set(self.gather(cell).get("service").open), {"a"})

    def test_the_names_stay_the_same_object_while_the_workers_do(self):
        """A step compares the object to know that it has asked about all of them."""
        cell = Cell(entry("a"), entry("b"))
        cell.report("a")
        first = self.gather(cell).get("service").names
        self.assertIs(self.gather(cell).get("service").names, first)
        cell.report("b")
        self.assertIsNot(self.gather(cell).get("service").names, first)

    def test_a_label_selects_workers(self):
        cell = Cell(entry("a"), entry("b", labels=("b", "rack-1")))
        cell.hear_all()
        cell.accept(job(step(required_label="b")))
        (waiting,) = cell.steps()
        found = [worker.worker_id for worker in self.gather(cell).usable(waiting)]
        self.assertEqual(found, ["b"])


class RoomTests(unittest.TestCase):
    def fitting(self, room, **fields):
        spec = step(cpu=1_000, memory=100, **fields)
        return count_fitting(spec, spec.need, Resources(*room))

    def test_the_scarcest_resource_bounds_the_tasks(self):
        self.assertEqual(self.fitting((5_000, 200, 0)), 2)
        self.assertEqual(self.fitting((500, 900, 0)), 0)

    def test_the_limit_for_a_worker_bounds_the_tasks(self):
        self.assertEqual(self.fitting((9_000, 900, 0), max_per_worker=3), 3)

    def test_an_overloaded_worker_has_no_room(self):
        self.assertEqual(self.fitting((-1_000, 900, 0)), 0)


if __name__ == "__main__":
    unittest.main()
