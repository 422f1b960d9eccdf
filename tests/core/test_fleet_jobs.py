"""Guards the states of jobs: cancelled, ended, pending."""

import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    JobCancelled,
    TerminationReason,
)
from marigoldpath_core.jobs import JobState
from tests.core.fleet_fixture import (
    JOB,
    URGENT,
    Cell,
    ended,
    entry,
    job,
    step,
    stops,
)


class CancellationTests(unittest.TestCase):
    def test_a_cancelled_job_stops_and_starts_nothing(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2)))
        orders = cell.starts()
        self.assertEqual(len(stops(cell.handle(JobCancelled(JOB)))), len(orders))
        cell.report("a", ended=[ended(1, orders[0], TerminationReason.STOPPED)])
        self.assertEqual(cell.starts(), [])
        self.assertIs(cell.scheduler.job_state(JOB), JobState.CANCELLED)

    def test_a_cancellation_may_come_before_its_job(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.handle(JobCancelled(JOB))
        cell.accept(job(step()))
        self.assertEqual(cell.starts(), [])


class RetentionTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"))
        self.cell.hear_all()
        self.cell.accept(job(step()))
        (order,) = self.cell.starts()
        self.cell.report("a", ended=[ended(1, order)])
        self.cell.commit()

    def test_the_state_of_an_ended_job_is_kept_for_a_time(self):
        scheduler = self.cell.scheduler
        kept_ms = FleetSettings().final_job_retention_ms
        self.assertEqual(scheduler.expired_jobs(self.cell.now_ms + kept_ms - 1, 9), ())
        self.assertEqual(scheduler.expired_jobs(self.cell.now_ms + kept_ms, 9), (JOB,))

    def test_the_progress_of_a_forgotten_job_goes_with_a_commit(self):
        scheduler = self.cell.scheduler
        scheduler.forget((JOB,))
        self.assertIsNone(scheduler.job_state(JOB))
        commit = scheduler.begin_commit(9)
        self.assertEqual(commit.removed_jobs, (JOB,))
        scheduler.commit_failed(commit)
        self.assertEqual(scheduler.begin_commit(9).removed_jobs, (JOB,))


class PendingTests(unittest.TestCase):
    def test_only_jobs_that_have_not_started_are_pending(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step()))
        cell.accept(job(step(), job_id="00000000000000ab"))
        (order,) = cell.starts()
        cell.started(order)
        self.assertEqual(cell.scheduler.pending(), {URGENT.name: 1})


if __name__ == "__main__":
    unittest.main()
