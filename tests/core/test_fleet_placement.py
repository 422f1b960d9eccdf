"""Guards where the fleet's scheduler places tasks, and what it stops for them."""

import unittest

from marigoldpath_core.fleet import (
    JobCancelled,
    RosterEntry,
    StartResult,
)
from marigoldpath_core.jobs import JobState, Progress
from tests.core.fleet_fixture import (
    BACKGROUND,
    JOB,
    Cell,
    ended,
    entry,
    job,
    running,
    step,
    stops,
)


class PlacementTests(unittest.TestCase):
    def test_no_worker_holds_more_than_its_capacity(self):
        cell = Cell(entry("a", cpu=2_500), entry("b", cpu=2_500))
        cell.hear_all()
        cell.accept(job(step(width=9)))
        orders = cell.starts()
        counts = {"a": 0, "b": 0}
        for order in orders:
            counts[order.worker_id] += 1
        self.assertEqual(counts, {"a": 2, "b": 2})

    def test_a_stopping_run_still_counts(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step()))
        (order,) = cell.starts()
        cell.started(order)
        cell.handle(JobCancelled(JOB))
        cell.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(cell.starts(), [])

    def test_a_label_and_a_limit_for_each_worker_are_kept(self):
        cell = Cell(entry("a", labels=("b", "r")), entry("b"), entry("c"))
        cell.hear_all()
        cell.accept(job(step(width=6, required_label="a", max_per_worker=1)))
        self.assertEqual(sorted(o.worker_id for o in cell.starts()), ["b", "c"])

    def test_urgent_work_starts_before_background_work(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        cell.accept(job(step()))
        self.assertEqual([order.task.job_id for order in cell.starts()], [JOB])

    def test_background_work_leaves_a_share_for_urgent_work(self):
        cell = Cell(entry("a", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(width=20), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 8)

    def test_a_task_larger_than_the_background_share_starts(self):
        cell = Cell(entry("a", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(cpu=9_500), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 1)

    def test_nothing_starts_on_a_worker_that_leaves(self):
        cell = Cell(entry("a", draining=True, remaining_ms=9_000))
        cell.hear_all()
        cell.accept(job(step()))
        self.assertEqual(cell.starts(), [])

    def test_nothing_starts_on_a_worker_that_is_not_in_the_stored_roster(self):
        cell = Cell(entry("a"), roster={})
        cell.hear_all()
        cell.accept(job(step()))
        cell.wait(10)
        self.assertEqual(cell.starts(), [])
        self.assertEqual(cell.commit().roster, {"a": RosterEntry("a:1", None, "zone")})
        self.assertEqual(len(cell.starts()), 1)

    def test_a_step_waits_for_the_steps_before_it(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(), step(after=(0,))))
        (first,) = cell.starts()
        cell.report("a", ended=[ended(1, first)])
        self.assertEqual([order.task.step for order in cell.starts()], [1])


class GangTests(unittest.TestCase):
    def test_all_tasks_start_with_one_run_number_or_none_does(self):
        cell = Cell(entry("a", cpu=2_000), entry("b", cpu=2_000))
        cell.hear_all()
        cell.accept(job(step(width=5, gang=True)))
        self.assertEqual(cell.starts(), [])
        cell.accept(job(step(width=4, gang=True), job_id="00000000000000ab"))
        orders = cell.starts()
        self.assertEqual((len(orders), {order.run for order in orders}), (4, {1}))

    def test_a_gang_that_cannot_leave_the_urgent_share_free_starts(self):
        cell = Cell(entry("a", cpu=10_000), entry("b", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(width=4, cpu=5_000, gang=True), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 4)

    def test_a_refused_member_stops_the_others(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True)))
        first, second = cell.starts()
        cell.started(first)
        (stop,) = stops(cell.answer(second, StartResult.NO_ROOM))
        self.assertEqual(stop.task, first.task)

    def test_a_member_that_turns_out_not_to_run_stops_the_others(self):
        cell = Cell(entry("a"), entry("b"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True, max_per_worker=1)))
        first, second = cell.starts()
        cell.started(first)
        cell.answer(second, StartResult.UNKNOWN)
        cell.now_ms += 2_000
        (stop,) = stops(cell.report(second.worker_id))
        self.assertEqual(stop.task, first.task)

    def test_one_end_stands_for_all(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True)))
        first, second = cell.starts()
        cell.report("a", running=[running(second)], ended=[ended(1, first)])
        cell.commit()
        self.assertIs(cell.scheduler.job_state(JOB), JobState.DONE)


class PreemptionTests(unittest.TestCase):
    def test_a_run_that_saves_its_work_is_stopped_for_urgent_work(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(
            job(
                step(checkpointable=True),
                queue=BACKGROUND,
                job_id="00000000000000ab",
            )
        )
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=60)])
        cell.accept(job(step()))
        self.assertEqual([stop.run for stop in stops(cell.dispatch())], [order.run])

    def test_a_run_that_would_lose_its_work_is_not_stopped(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=60)])
        cell.accept(job(step()))
        self.assertEqual(stops(cell.dispatch()), [])


class ZoneTests(unittest.TestCase):
    """A job that is confined to a zone is not held up by the cut of another."""

    def setUp(self):
        self.near = entry("near", cpu=2_000, zone="near")
        self.far = entry("far", zone="far")
        self.cell = Cell(self.near, self.far)
        self.cell.hear_all()

    def accept(self, width, progress=None, cell=None):
        confined = job(step(width=width))._replace(zone="near")
        (cell or self.cell).accept(confined, progress)

    def test_a_confined_job_starts_in_its_zone_alone(self):
        self.accept(1)
        self.assertEqual([each.worker_id for each in self.cell.starts()], ["near"])

    def test_a_job_leaves_its_zone_only_after_that_is_stored(self):
        """A successor would take it for certain that it does not run outside."""
        self.accept(6)
        starts = self.cell.starts()
        self.assertEqual({each.worker_id for each in starts}, {"near"})
        commit = self.cell.scheduler.begin_commit(10)
        self.assertTrue(commit.progress[JOB].may_leave_zone)
        self.assertEqual(self.cell.starts(), [])
        self.cell.scheduler.commit_succeeded(commit, self.cell.now_ms, self.cell.now_ms)
        self.assertEqual({each.worker_id for each in self.cell.starts()}, {"far"})

    def test_a_job_without_workers_in_its_zone_leaves_it(self):
        lonely = job(step())._replace(zone="empty")
        self.cell.accept(lonely)
        self.assertEqual(self.cell.starts(), [])
        self.cell.commit()
        self.assertEqual(len(self.cell.starts()), 1)

    def test_an_old_job_stays_at_home_while_workers_are_unheard(self):
        """Elsewhere it would have to wait for them."""
        cell = Cell(self.near, self.far, epoch=2)
        cell.report("near")
        self.accept(3, cell=cell)
        self.assertEqual(len(cell.starts()), 2)
        self.assertEqual(cell.commit().progress, {})
        cell.report("far")
        cell.scheduler.dispatch(cell.now_ms)
        self.assertTrue(cell.commit().progress[JOB].may_leave_zone)

    def test_a_new_leader_spreads_no_job_before_it_has_heard_workers(self):
        cell = Cell(self.near, self.far, epoch=2)
        self.accept(1, cell=cell)
        self.assertEqual(cell.commit().progress, {})

    def test_only_unheard_workers_where_it_may_run_hold_an_old_job_up(self):
        spread = Progress(JobState.QUEUED, may_leave_zone=True)
        for heard, progress, may_start in (
            ("near", None, True),
            ("far", None, False),
            ("near", spread, False),
        ):
            with self.subTest(heard=heard, progress=progress):
                cell = Cell(self.near, self.far, epoch=2)
                cell.report(heard)
                self.accept(1, progress, cell)
                self.assertEqual(bool(cell.starts()), may_start)


if __name__ == "__main__":
    unittest.main()
