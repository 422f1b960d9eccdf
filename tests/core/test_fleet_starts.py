"""Tests of start commands and of the handling of terminated runs."""

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
    LONG_RUNNING,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
    task,
)


class StartTests(unittest.TestCase):
    """Guards against tasks that run twice.

    That happens if a start is repeated while the first one could still be executed.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=1_000))
        self.harness.report_all()
        self.harness.accept(job(step()))
        (self.command,) = self.harness.dispatch_starts()

    def test_a_start_without_a_reply_is_repeated_after_its_time_limit(self):
        self.harness.reply_to_start(self.command, StartResult.UNKNOWN)
        self.harness.report("a", clock_ms=self.command.until_clock_ms - 1)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.now_ms += 1_500
        self.harness.report("a", clock_ms=self.command.until_clock_ms + 100)
        (again,) = self.harness.dispatch_starts()
        self.assertGreater(again.run, self.command.run)

    def test_a_start_without_a_reply_that_is_reported_keeps_running(self):
        self.harness.reply_to_start(self.command, StartResult.UNKNOWN)
        self.harness.now_ms += 2_000
        self.harness.report("a", running=[running(self.command)])
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_fenced_start_ends_the_leadership(self):
        self.harness.reply_to_start(self.command, StartResult.FENCED)
        self.assertTrue(self.harness.scheduler.is_superseded)

    def test_a_start_that_was_not_sent_is_placed_again(self):
        self.harness.reply_to_start(self.command, StartResult.NOT_SENT)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("a")
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_start_in_flight_to_a_restarted_worker_is_stopped_first(self):
        """The new incarnation's clock is behind the start's time limit.

        So the worker would execute a start that was sent before its restart.
        """
        # A restart a moment after the start would make the task a suspect.
        self.harness.now_ms += 1_500
        effects = self.harness.report("a", incarnation=2_000, clock_ms=5)
        self.assertEqual([stop.run for stop in stops(effects)], [self.command.run])
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("a", incarnation=2_000, clock_ms=400)
        self.assertEqual(self.harness.dispatch_starts(), [])
        stopped = StopReplied("a", self.command.task, self.command.run, 410, restarts=1)
        self.harness.handle(stopped)
        self.harness.report("a", incarnation=2_000, clock_ms=500)
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_start_in_flight_to_a_restarted_worker_is_refused_by_its_token(self):
        """The worker has seen the fencing token that follows its restart."""
        self.harness.now_ms += 1_500
        self.harness.report("a", incarnation=2_000, clock_ms=5)
        self.harness.report("a", incarnation=2_000, clock_ms=400)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("a", incarnation=2_000, clock_ms=430, restarts=1)
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_reported_run_of_a_restarted_worker_starts_again_at_once(self):
        self.harness.now_ms += 1_500
        self.harness.report("a", running=[running(self.command)])
        self.harness.report("a", incarnation=2_000, clock_ms=5)
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_reply_of_a_later_incarnation_is_not_compared_with_reports(self):
        self.harness.reply_to_start(self.command, StartResult.STARTED, clock_ms=100)
        self.harness.report("a", clock_ms=int(self.harness.now_ms) + 50)
        self.assertEqual(self.harness.dispatch_starts(), [])


class TerminationTests(unittest.TestCase):
    """Guards against wrong job states: each termination is applied exactly once."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()

    def test_a_termination_is_acknowledged_only_after_it_is_stored(self):
        self.harness.accept(job(step()))
        (command,) = self.harness.dispatch_starts()
        self.harness.report(command.worker_id, ended=[ended(1, command)])
        poll = self.harness.scheduler.next_poll(command.worker_id, self.harness.now_ms)
        self.assertEqual(poll.last_acknowledged, 0)
        commit = self.harness.commit()
        self.assertIs(commit.progress[JOB].state, JobState.DONE)
        poll = self.harness.scheduler.next_poll(command.worker_id, self.harness.now_ms)
        self.assertEqual(poll.last_acknowledged, 1)

    def test_a_job_is_shown_as_done_only_after_that_is_stored(self):
        self.harness.accept(job(step()))
        (command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(command)
        self.harness.report(command.worker_id, ended=[ended(1, command)])
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.RUNNING)
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)

    def test_a_failed_task_runs_on_another_worker_with_a_higher_run(self):
        self.harness.accept(job(step()))
        (first,) = self.harness.dispatch_starts()
        self.harness.report(
            first.worker_id, ended=[ended(1, first, TerminationReason.FAILED)]
        )
        (second,) = self.harness.dispatch_starts()
        self.assertNotEqual(second.worker_id, first.worker_id)
        self.assertGreater(second.run, first.run)

    def test_a_job_fails_after_its_attempts(self):
        self.harness.accept(job(step(), queue=BACKGROUND))
        for number in (1, 2):
            (command,) = self.harness.dispatch_starts()
            end = ended(number, command, TerminationReason.FAILED)
            self.harness.report(command.worker_id, ended=[end])
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.FAILED)

    def test_failed_runs_that_are_reported_out_of_order_all_count(self):
        """Guards against ignoring a failure of run 1 that is reported after run 2.

        The workers report to a new leader in any order.
        """
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step(), queue=BACKGROUND))
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 2, TerminationReason.FAILED, "")]
        )
        harness.report(
            "b", ended=[TerminatedRun(1, task(), 1, TerminationReason.FAILED, "")]
        )
        harness.commit()
        self.assertIs(harness.scheduler.job_state(JOB), JobState.FAILED)

    def test_a_failed_run_that_is_reported_again_counts_once(self):
        harness = FleetHarness(entry("a"), epoch=2)
        stored = Progress(JobState.RUNNING, failures={(0, 0, 0): (1,)})
        harness.accept(job(step(), queue=BACKGROUND), stored)
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.FAILED, "")]
        )
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_a_stopped_run_resumes_from_its_checkpoint(self):
        self.harness.accept(job(step(checkpointable=True)))
        (first,) = self.harness.dispatch_starts()
        end = ended(1, first, TerminationReason.STOPPED, checkpoint="point")
        self.harness.report(first.worker_id, ended=[end])
        (second,) = self.harness.dispatch_starts()
        self.assertEqual(second.checkpoint, "point")

    def test_a_long_running_task_starts_again_after_any_termination(self):
        for number, kind in enumerate(
            (
                TerminationReason.DONE,
                TerminationReason.FAILED,
                TerminationReason.LEASE_EXPIRED,
            )
        ):
            with self.subTest(kind=kind):
                job_id = f"{number:016x}"
                self.harness.accept(
                    job(step(long_running=True), queue=LONG_RUNNING, job_id=job_id)
                )
                (first,) = self.harness.dispatch_starts()
                end = ended(number + 1, first, kind)
                self.harness.report(first.worker_id, ended=[end])
                (second,) = self.harness.dispatch_starts()
                self.assertEqual(second.task, first.task)


if __name__ == "__main__":
    unittest.main()
