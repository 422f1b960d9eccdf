"""Guards what is done about workers that are silent, failing, leaving or disturbed."""

import unittest

from marigoldpath_core.fleet import (
    TerminationReason,
    ThrottleRun,
    WorkersListed,
    WorkerUnresponsive,
)
from tests.core.fleet_fixture import (
    BACKGROUND,
    JOB,
    LASTING,
    Cell,
    ended,
    entry,
    job,
    running,
    step,
    stops,
)


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        # After this time no lease of an earlier leader is left.
        self.cell.now_ms += 9_000
        self.cell.commit()
        self.cell.hear_all()
        self.cell.accept(job(step()))
        (self.order,) = self.cell.starts()
        self.cell.started(self.order)
        self.cell.scheduler.next_poll(self.order.worker_id, self.cell.now_ms)
        self.other = "b" if self.order.worker_id == "a" else "a"

    def test_a_task_of_a_silent_worker_waits_for_the_end_of_its_lease(self):
        self.cell.handle(WorkerUnresponsive(self.order.worker_id))
        for _ in range(4):
            self.cell.wait(1_000)
            self.cell.commit()
            self.cell.report(self.other)
        self.assertEqual(self.cell.starts(), [])
        self.cell.wait(1_000)
        self.cell.report(self.other)
        self.assertEqual([o.worker_id for o in self.cell.starts()], [self.other])

    def test_a_silent_worker_gets_no_new_lease(self):
        self.cell.handle(WorkerUnresponsive("a"))
        look = self.cell.scheduler.next_poll("a", self.cell.now_ms)
        self.assertIsNone(look.until_clock_ms)

    def test_a_silent_worker_is_not_told_to_forget_ends(self):
        """It may have restarted, and its numbers of ends begin anew."""
        worker_id = self.order.worker_id
        self.cell.report(worker_id, ended=[ended(1, self.order)])
        self.cell.commit()
        self.cell.handle(WorkerUnresponsive(worker_id))
        look = self.cell.scheduler.next_poll(worker_id, self.cell.now_ms)
        self.assertEqual(look.last_acknowledged, 0)

    def test_a_leader_without_proof_neither_renews_nor_starts(self):
        self.cell.now_ms += 3_500
        look = self.cell.scheduler.next_poll(self.other, self.cell.now_ms)
        self.assertIsNone(look.until_clock_ms)
        self.cell.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(self.cell.starts(), [])

    def test_most_workers_are_proof_while_the_store_is_down(self):
        self.cell.now_ms += 3_500
        self.cell.hear_all()
        look = self.cell.scheduler.next_poll(self.other, self.cell.now_ms)
        self.assertIsNotNone(look.until_clock_ms)


class HealthTests(unittest.TestCase):
    def test_a_worker_that_fails_several_jobs_is_taken_out_of_use(self):
        cell = Cell(*(entry(name) for name in "abcde"))
        cell.report("a")
        cell.accept(job(step()))
        cell.accept(job(step(), job_id="00000000000000ab"))
        for number in (1, 3):
            orders = cell.starts()
            ends = [
                ended(number + index, order, TerminationReason.FAILED)
                for index, order in enumerate(orders)
            ]
            cell.report("a", ended=ends)
        cell.accept(job(step(), job_id="00000000000000ff"))
        self.assertEqual(cell.starts(), [])
        cell.wait(6_500)
        cell.commit()
        cell.report("a")
        self.assertTrue(cell.starts())

    def test_failures_of_one_job_do_not_take_a_worker_out_of_use(self):
        cell = Cell(entry("a"), entry("b"), entry("c"), entry("d"), entry("e"))
        cell.report("a")
        cell.accept(job(step(width=4), queue=BACKGROUND._replace(attempts=9)))
        for number, order in enumerate(cell.starts()):
            cell.report("a", ended=[ended(number + 1, order, TerminationReason.FAILED)])
        self.assertTrue(cell.starts())

    def test_a_run_without_progress_is_stopped(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(estimate_ms=1_000)))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=20)])
        found = []
        for _ in range(5):
            cell.now_ms += 700
            cell.report("a", running=[running(order, percent=20)])
            found.extend(stops(cell.wait(0)))
        self.assertEqual(found[0].task, order.task)


class LeavingTests(unittest.TestCase):
    def test_a_lasting_task_moves_before_its_worker_is_gone(self):
        cell = Cell(entry("a"), entry("b"))
        cell.hear_all()
        cell.accept(job(step(long_running=True), queue=LASTING))
        (order,) = cell.starts()
        cell.report(order.worker_id, running=[running(order, percent=100)])
        leaving = entry(order.worker_id, draining=True, remaining_ms=9_000)
        cell.handle(WorkersListed((leaving,)))
        self.assertEqual([stop.task for stop in stops(cell.wait(10))], [order.task])

    def test_a_run_that_ends_in_time_is_left_alone(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(estimate_ms=1_000)))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=50)])
        leaving = entry("a", draining=True, remaining_ms=5_000)
        cell.handle(WorkersListed((leaving,)))
        self.assertEqual(stops(cell.wait(10)), [])


class PacingTests(unittest.TestCase):
    def test_fillers_rest_while_a_task_beside_them_is_over_its_target(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        serving = step(long_running=True, target_ms=100)
        cell.accept(job(serving, queue=LASTING))
        filler = step(fills=True, estimate_ms=60_000)
        cell.accept(job(filler, queue=BACKGROUND, job_id="00000000000000ab"))
        orders = {order.task.job_id: order for order in cell.starts()}
        paces = []
        for load in (150, 150, 150, 20, 20, 20, 20, 20, 20):
            cell.now_ms += 700
            cell.report(
                "a",
                running=[
                    running(orders[JOB], percent=100, load=load),
                    running(orders["00000000000000ab"]),
                ],
            )
            effects = cell.wait(0)
            paces += [each.percent for each in effects if isinstance(each, ThrottleRun)]
        self.assertEqual(paces, [0, 100])


if __name__ == "__main__":
    unittest.main()
