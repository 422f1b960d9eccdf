"""Tests of job states: cancelled, final and pending."""

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
    FleetHarness,
    ended,
    entry,
    job,
    step,
    stops,
)


class CancellationTests(unittest.TestCase):
    """A cancelled job must not start tasks, whatever the order of the events."""

    def test_a_cancelled_job_is_stopped_and_starts_no_task(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(width=2)))
        commands = harness.dispatch_starts()
        self.assertEqual(len(stops(harness.handle(JobCancelled(JOB)))), len(commands))
        harness.report("a", ended=[ended(1, commands[0], TerminationReason.STOPPED)])
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertIs(harness.scheduler.job_state(JOB), JobState.CANCELLED)

    def test_a_cancellation_may_arrive_before_its_job(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.handle(JobCancelled(JOB))
        harness.accept(job(step()))
        self.assertEqual(harness.dispatch_starts(), [])


class RetentionTests(unittest.TestCase):
    """Final jobs are removed, but only after the time in which callers query them.

    Guards against a store that fills up, and against queries that find no job.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"))
        self.harness.report_all()
        self.harness.accept(job(step()))
        (command,) = self.harness.dispatch_starts()
        self.harness.report("a", ended=[ended(1, command)])
        self.harness.commit()

    def test_the_state_of_a_final_job_is_kept_for_its_retention_time(self):
        scheduler = self.harness.scheduler
        retention_ms = FleetSettings().final_job_retention_ms
        self.assertEqual(
            scheduler.expired_jobs(self.harness.now_ms + retention_ms - 1, 9), ()
        )
        self.assertEqual(
            scheduler.expired_jobs(self.harness.now_ms + retention_ms, 9), (JOB,)
        )

    def test_the_progress_of_a_removed_job_is_deleted_by_a_commit(self):
        scheduler = self.harness.scheduler
        scheduler.forget((JOB,))
        self.assertIsNone(scheduler.job_state(JOB))
        commit = scheduler.begin_commit(9)
        self.assertEqual(commit.removed_jobs, (JOB,))
        scheduler.commit_failed(commit)
        self.assertEqual(scheduler.begin_commit(9).removed_jobs, (JOB,))


class PendingTests(unittest.TestCase):
    """Guards against a wrong reported backlog: started jobs are not pending."""

    def test_only_jobs_that_have_not_started_are_pending(self):
        harness = FleetHarness(entry("a", cpu=1_000))
        harness.report_all()
        harness.accept(job(step()))
        harness.accept(job(step(), job_id="00000000000000ab"))
        (command,) = harness.dispatch_starts()
        harness.confirm_start(command)
        self.assertEqual(harness.scheduler.pending(), {URGENT.name: 1})


if __name__ == "__main__":
    unittest.main()
