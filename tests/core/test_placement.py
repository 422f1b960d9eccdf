"""Tests of worker capacity, placement policies, gangs and preemption."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marigoldpath_core.messages import HostState, WorkerHost
from marigoldpath_core.placement import (
    PreemptionCandidate,
    UnknownWorkerError,
    Workers,
    choose_preemptions,
    placement_policies,
)
from marigoldpath_core.registry import UnknownEntryError
from marigoldpath_core.requests import Size

CAPACITY = Size(8_000, 16_000, 2, 8, 16)


def host(name: str, rack: str = "r1", capacity: Size = CAPACITY) -> WorkerHost:
    return WorkerHost(name, "zadar", rack, "", capacity)


def fleet(*hosts: WorkerHost) -> Workers:
    workers = Workers()
    for each in hosts:
        workers.add(each)
        workers.set_ready(each.name, True)
    return workers


class CapacityTests(unittest.TestCase):
    def test_no_task_is_placed_on_a_worker_that_is_not_ready(self) -> None:
        """Guards against starting tasks before the leader holds the worker's claim."""
        workers = Workers()
        workers.add(host("a"))
        self.assertIsNone(workers.choose_worker("best_fit", Size(1), "k", "t"))

    def test_each_flag_makes_a_worker_unschedulable(self) -> None:
        """Guards against new tasks on draining, removed or unclaimed workers."""
        for make_unschedulable in (
            lambda workers: workers.set_leaving("a", True),
            lambda workers: workers.set_healthy("a", False),
            lambda workers: workers.set_ready("a", False),
            lambda workers: workers.add(host("a")._replace(state=HostState.LEAVING)),
            lambda workers: workers.remove("a"),
        ):
            workers = fleet(host("a"))
            make_unschedulable(workers)
            for policy in placement_policies:
                self.assertIsNone(workers.choose_worker(policy, Size(1), "k", "t"))
            self.assertEqual(workers.capacity, Size())

    def test_adopted_tasks_beyond_capacity_are_counted(self) -> None:
        workers = fleet(host("a"))
        workers.allocate("a", "t1", Size(9_000, 1), "k")
        self.assertEqual(workers.free("a").cpu_millis, -1_000)
        self.assertIsNone(workers.choose_worker("best_fit", Size(1), "k", "t"))
        workers.release("a", "t1")
        self.assertEqual(workers.free("a"), CAPACITY)

    def test_a_repeated_allocation_for_a_task_replaces_the_first(self) -> None:
        """Guards against leaked capacity when a reported task is adopted again."""
        workers = fleet(host("a"))
        workers.allocate("a", "t1", Size(1_000), "k")
        workers.allocate("a", "t1", Size(2_000), "k")
        self.assertEqual(workers.used, Size(2_000))
        self.assertIsNotNone(workers.release("a", "t1"))
        self.assertIsNone(workers.release("a", "t1"))
        self.assertEqual(workers.utilization(), 0.0)

    def test_a_changed_capacity_keeps_tasks_and_flags(self) -> None:
        workers = fleet(host("a"))
        workers.allocate("a", "t1", Size(1_000), "k")
        workers.add(host("a", "r2", Size(2_000, 100, 0, 1, 1)))
        self.assertEqual(workers.free("a").cpu_millis, 1_000)
        self.assertEqual(workers.used, Size(1_000))
        self.assertEqual(workers.choose_worker("spread", Size(1_000), "k", "t"), "a")

    def test_unknown_workers_and_policies_raise(self) -> None:
        with self.assertRaises(UnknownWorkerError):
            Workers().allocate("a", "t1", Size(1), "k")
        with self.assertRaises(UnknownEntryError):
            Workers().choose_worker("no_such_policy", Size(1), "k", "t")

    def test_unsatisfiable_dimensions_are_those_exceeded_on_every_worker(self) -> None:
        workers = fleet(host("a"), host("b", capacity=Size(90_000, 10, 0, 1, 1)))
        self.assertEqual(workers.unsatisfiable_dimensions(Size(8_000, 16_000)), [])
        self.assertEqual(
            workers.unsatisfiable_dimensions(Size(9_000, 20_000, 3)),
            ["memory_mb", "accelerators"],
        )
        # Each dimension alone fits some worker, but both together fit none.
        self.assertEqual(
            workers.unsatisfiable_dimensions(Size(9_000, 20)), ["cpu_millis"]
        )

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(
        st.sampled_from(["first_fit", "best_fit", "spread"]),
        st.lists(
            st.tuples(
                st.builds(
                    Size,
                    st.integers(0, 5_000),
                    st.integers(0, 9_000),
                    st.integers(0, 2),
                    st.integers(0, 3),
                    st.integers(0, 7),
                ),
                st.integers(1, 4),
                st.booleans(),
            ),
            max_size=60,
        ),
    )
    def test_allocations_never_exceed_the_capacity_of_a_worker(
        self, policy, steps
    ) -> None:
        """Guards against overload, and against not finding a worker that fits.

        `first_fit`, which tries all workers, shows whether there is one.
        """
        workers = fleet(*(host(f"w{n}", f"r{n % 2}") for n in range(4)))
        allocations: list[tuple[str, str]] = []
        for number, (size, count, releases) in enumerate(steps):
            if releases and allocations:
                workers.release(*allocations.pop(0))
            names = workers.choose_gang_workers(policy, size, count, "k", "t")
            if count == 1:
                known = workers.choose_worker("first_fit", size, "k", "t")
                self.assertEqual(names is None, known is None)
            for index, name in enumerate(names or ()):
                workers.allocate(name, f"{number}.{index}", size, "k", "t")
                allocations.append((name, f"{number}.{index}"))
            for view in workers:
                self.assertTrue(view.used.fits(view.capacity))
                total = Size()
                for task in workers.tasks_on(view.name):
                    total = total.plus(task.size)
                self.assertEqual(view.used, total)


class PolicyTests(unittest.TestCase):
    def test_best_fit_prefers_the_fuller_worker(self) -> None:
        workers = fleet(host("a"), host("b"))
        workers.allocate("b", "t1", Size(4_000, 8_000, 0, 1, 1), "k")
        size = Size(1_000, 2_000, 0, 1, 1)
        self.assertEqual(workers.choose_worker("first_fit", size, "k", "t"), "a")
        self.assertEqual(workers.choose_worker("best_fit", size, "k", "t"), "b")

    def test_best_fit_keeps_free_accelerators_for_tasks_that_need_them(self) -> None:
        plain = CAPACITY._replace(accelerators=0)
        workers = fleet(host("gpu"), host("plain", capacity=plain))
        workers.allocate("gpu", "t1", Size(4_000, 8_000, 1), "k")
        size = Size(4_000, 8_000)
        self.assertEqual(workers.choose_worker("best_fit", size, "k", "t"), "plain")
        needs_one = size._replace(accelerators=1)
        self.assertEqual(workers.choose_worker("best_fit", needs_one, "k", "t"), "gpu")

    def test_spread_distributes_tasks_evenly_over_racks(self) -> None:
        """Guards against losing all tasks of a service when one rack fails."""
        workers = fleet(*(host(f"w{n}", f"r{n // 2}") for n in range(6)))
        racks = []
        for number in range(6):
            name = workers.choose_worker("spread", Size(100, 100), "service", "t")
            assert name is not None
            workers.allocate(name, f"t{number}", Size(100, 100), "service", "t")
            racks.append(workers.view(name).rack)
        self.assertEqual(racks, ["r0", "r1", "r2"] * 2)
        self.assertTrue(all(len(workers.tasks_on(view.name)) == 1 for view in workers))


class GangTests(unittest.TestCase):
    def test_a_gang_that_does_not_fit_leaves_no_allocation(self) -> None:
        workers = fleet(host("a"), host("b"))
        size = Size(5_000)
        self.assertIsNone(workers.choose_gang_workers("best_fit", size, 3, "k", "t"))
        self.assertEqual(workers.used, Size())
        self.assertEqual(
            sorted(workers.choose_gang_workers("best_fit", size, 2, "k", "t") or ()),
            ["a", "b"],
        )
        self.assertEqual(workers.used, Size())

    def test_a_gang_that_did_not_fit_is_tried_again_after_a_release(self) -> None:
        """Guards against using a cached failure after capacity was freed."""
        workers = fleet(host("a"))
        workers.allocate("a", "t1", Size(1), "k")
        self.assertIsNone(
            workers.choose_gang_workers("best_fit", CAPACITY, 1, "k", "t")
        )
        workers.release("a", "t1")
        chosen = workers.choose_gang_workers("best_fit", CAPACITY, 1, "k", "t")
        self.assertEqual(chosen, ["a"])


class ReservationTests(unittest.TestCase):
    def test_a_reserved_worker_is_used_only_for_its_request(self) -> None:
        workers = fleet(host("a"), host("b"))
        workers.allocate("a", "t1", Size(7_000), "k")
        workers.allocate("b", "t2", Size(1_000), "k")
        self.assertTrue(workers.reserve("large", Size(8_000)))
        self.assertIsNone(workers.choose_worker("best_fit", Size(5_000), "k", "t"))
        workers.release("b", "t2")
        self.assertIsNone(workers.choose_worker("best_fit", Size(8_000), "k", "t"))
        chosen = workers.choose_worker(
            "best_fit", Size(8_000), "k", "t", reservation="large"
        )
        self.assertEqual(chosen, "b")
        workers.unreserve("large")
        self.assertEqual(workers.choose_worker("best_fit", Size(5_000), "k", "t"), "b")

    def test_a_request_that_exceeds_the_fleet_reserves_nothing(self) -> None:
        workers = fleet(host("a"))
        self.assertFalse(workers.reserve("gang", Size(5_000), 2))
        self.assertEqual(workers.choose_worker("best_fit", Size(5_000), "k", "t"), "a")


class PreemptionTests(unittest.TestCase):
    def work(self, task: str, size: Size, priority: int, started: int, **flags: bool):
        flags = {"repeatable": False, "checkpoint": False, **flags}
        return PreemptionCandidate(task, "a", size, priority, started, **flags)

    def choose(self, size: Size, *running: PreemptionCandidate):
        workers = fleet(host("a"))
        for work in running:
            workers.allocate("a", work.task, work.size, "k")
        found = choose_preemptions(size, 0, workers, running)
        return found and [
            (preemption.task, preemption.action) for preemption in found[1]
        ]

    def test_the_least_urgent_and_then_the_newest_task_is_preempted(self) -> None:
        half = Size(0, 8_000)
        old = self.work("old", half, 2, 1, checkpoint=True)
        young = self.work("young", half, 2, 9, checkpoint=True)
        self.assertEqual(self.choose(half, old, young), [("young", "checkpoint")])
        urgent = self.work("urgent", half, 1, 9, repeatable=True)
        self.assertEqual(self.choose(half, old, urgent), [("old", "checkpoint")])

    def test_a_task_that_is_neither_repeatable_nor_checkpointable_is_not_stopped(
        self,
    ) -> None:
        keep = self.work("keep", CAPACITY, 9, 1)
        self.assertIsNone(self.choose(Size(1, 1), keep))
        stop = self.work("stop", CAPACITY, 9, 1, repeatable=True)
        self.assertEqual(self.choose(Size(1, 1), stop), [("stop", "stop")])

    def test_tasks_of_the_same_priority_are_not_preempted(self) -> None:
        equal = self.work("equal", CAPACITY, 0, 1, repeatable=True)
        self.assertIsNone(self.choose(Size(1, 1), equal))

    def test_tasks_are_throttled_if_only_cpu_is_short(self) -> None:
        work = self.work("w", Size(8_000), 2, 1)
        self.assertEqual(self.choose(Size(4_000), work), [("w", "throttle")])
        self.assertIsNone(self.choose(Size(4_001), work))
