"""Guards orders to start, and what follows from the ends of runs."""

import unittest

from marigoldpath_core.fleet import (
    StartResult,
    StopReplied,
    TerminatedRun,
    TerminationReason,
)
from marigoldpath_core.jobs import JobState, Progress
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
    task,
)


class StartTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a", cpu=1_000))
        self.cell.hear_all()
        self.cell.accept(job(step()))
        (self.order,) = self.cell.starts()

    def test_an_unanswered_start_is_settled_by_a_list_after_its_limit(self):
        self.cell.answer(self.order, StartResult.UNKNOWN)
        self.cell.report("a", clock_ms=self.order.until_clock_ms - 1)
        self.assertEqual(self.cell.starts(), [])
        self.cell.now_ms += 1_500
        self.cell.report("a", clock_ms=self.order.until_clock_ms + 100)
        (again,) = self.cell.starts()
        self.assertGreater(again.run, self.order.run)

    def test_an_unanswered_start_that_is_listed_goes_on(self):
        self.cell.answer(self.order, StartResult.UNKNOWN)
        self.cell.now_ms += 2_000
        self.cell.report("a", running=[running(self.order)])
        self.assertEqual(self.cell.starts(), [])

    def test_a_fenced_start_ends_the_leadership(self):
        self.cell.answer(self.order, StartResult.FENCED)
        self.assertTrue(self.cell.scheduler.is_deposed)

    def test_a_start_that_was_not_sent_is_placed_again(self):
        self.cell.answer(self.order, StartResult.NOT_SENT)
        self.assertEqual(self.cell.starts(), [])
        self.cell.report("a")
        self.assertEqual(len(self.cell.starts()), 1)

    def test_an_order_under_way_to_a_restarted_worker_is_stopped_first(self):
        """The clock of the new life is behind the order's limit."""
        effects = self.cell.report("a", incarnation=2_000, clock_ms=5)
        self.assertEqual([stop.run for stop in stops(effects)], [self.order.run])
        self.assertEqual(self.cell.starts(), [])
        self.cell.report("a", incarnation=2_000, clock_ms=400)
        self.assertEqual(self.cell.starts(), [])
        self.cell.handle(StopReplied("a", self.order.task, self.order.run, 410))
        self.cell.report("a", incarnation=2_000, clock_ms=500)
        self.assertEqual(len(self.cell.starts()), 1)

    def test_a_listed_run_of_a_restarted_worker_starts_again_at_once(self):
        self.cell.report("a", running=[running(self.order)])
        self.cell.report("a", incarnation=2_000, clock_ms=5)
        self.assertEqual(len(self.cell.starts()), 1)

    def test_an_answer_of_another_life_is_not_compared_with_older_lists(self):
        self.cell.answer(self.order, StartResult.STARTED, clock_ms=100)
        self.cell.report("a", clock_ms=int(self.cell.now_ms) + 50)
        self.assertEqual(self.cell.starts(), [])


class EndTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        self.cell.hear_all()

    def test_an_end_is_acknowledged_only_after_it_is_stored(self):
        self.cell.accept(job(step()))
        (order,) = self.cell.starts()
        self.cell.report(order.worker_id, ended=[ended(1, order)])
        look = self.cell.scheduler.next_poll(order.worker_id, self.cell.now_ms)
        self.assertEqual(look.last_acknowledged, 0)
        commit = self.cell.commit()
        self.assertIs(commit.progress[JOB].state, JobState.DONE)
        look = self.cell.scheduler.next_poll(order.worker_id, self.cell.now_ms)
        self.assertEqual(look.last_acknowledged, 1)

    def test_a_job_is_shown_as_done_only_after_that_is_stored(self):
        self.cell.accept(job(step()))
        (order,) = self.cell.starts()
        self.cell.started(order)
        self.cell.report(order.worker_id, ended=[ended(1, order)])
        self.assertIs(self.cell.scheduler.job_state(JOB), JobState.RUNNING)
        self.cell.commit()
        self.assertIs(self.cell.scheduler.job_state(JOB), JobState.DONE)

    def test_a_task_that_failed_runs_elsewhere_with_a_higher_run(self):
        self.cell.accept(job(step()))
        (first,) = self.cell.starts()
        self.cell.report(
            first.worker_id, ended=[ended(1, first, TerminationReason.FAILED)]
        )
        (second,) = self.cell.starts()
        self.assertNotEqual(second.worker_id, first.worker_id)
        self.assertGreater(second.run, first.run)

    def test_a_job_fails_after_its_attempts(self):
        self.cell.accept(job(step(), queue=BACKGROUND))
        for number in (1, 2):
            (order,) = self.cell.starts()
            end = ended(number, order, TerminationReason.FAILED)
            self.cell.report(order.worker_id, ended=[end])
        self.cell.commit()
        self.assertIs(self.cell.scheduler.job_state(JOB), JobState.FAILED)

    def test_failed_runs_that_are_told_out_of_order_all_count(self):
        """A new leader reads the ends of several workers in any order."""
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), queue=BACKGROUND))
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 2, TerminationReason.FAILED, "")]
        )
        cell.report(
            "b", ended=[TerminatedRun(1, task(), 1, TerminationReason.FAILED, "")]
        )
        cell.commit()
        self.assertIs(cell.scheduler.job_state(JOB), JobState.FAILED)

    def test_a_failed_run_that_is_told_again_counts_once(self):
        cell = Cell(entry("a"), epoch=2)
        stored = Progress(JobState.RUNNING, failures={(0, 0, 0): (1,)})
        cell.accept(job(step(), queue=BACKGROUND), stored)
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.FAILED, "")]
        )
        self.assertEqual(len(cell.starts()), 1)

    def test_a_stopped_run_resumes_from_its_checkpoint(self):
        self.cell.accept(job(step(checkpointable=True)))
        (first,) = self.cell.starts()
        end = ended(1, first, TerminationReason.STOPPED, checkpoint="point")
        self.cell.report(first.worker_id, ended=[end])
        (second,) = self.cell.starts()
        self.assertEqual(second.checkpoint, "point")

    def test_a_lasting_task_starts_again_however_it_ended(self):
        for number, kind in enumerate(
            (
                TerminationReason.DONE,
                TerminationReason.FAILED,
                TerminationReason.LEASE_EXPIRED,
            )
        ):
            with self.subTest(kind=kind):
                job_id = f"{number:016x}"
                self.cell.accept(
                    job(step(long_running=True), queue=LASTING, job_id=job_id)
                )
                (first,) = self.cell.starts()
                end = ended(number + 1, first, kind)
                self.cell.report(first.worker_id, ended=[end])
                (second,) = self.cell.starts()
                self.assertEqual(second.task, first.task)


if __name__ == "__main__":
    unittest.main()
