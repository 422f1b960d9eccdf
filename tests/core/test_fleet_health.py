"""Tests of workers that are unresponsive, failing, draining or overloaded."""

import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    RunningTask,
    TerminationReason,
    ThrottleRun,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import TaskKey
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
)


class PollWaitTests(unittest.TestCase):
    """Guards against polls that cost more than they find out, and against blind spots.

    A termination ends the wait of a poll, so only load and progress need short waits.
    """

    def setUp(self):
        self.settings = FleetSettings()
        self.harness = FleetHarness(entry("a"))
        self.harness.report_all()

    def wait_ms(self):
        # Without a recent commit, the leader could not grant a lease.
        self.harness.commit()
        return self.harness.scheduler.next_poll("a", self.harness.now_ms).wait_ms

    def start(self, **fields):
        self.harness.accept(job(step(estimate_ms=9_000, **fields)))
        (command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(command)
        return command

    def test_an_idle_worker_and_one_with_progress_may_wait_long(self):
        self.assertEqual(self.wait_ms(), self.settings.poll_wait_ms)
        command = self.start()
        self.harness.now_ms += 2_000
        self.harness.report("a", [running(command, 20)])
        self.assertEqual(self.wait_ms(), self.settings.poll_wait_ms)

    def test_a_run_without_progress_is_polled_more_often(self):
        """A stall is found by several reports with the same progress."""
        self.start()
        self.harness.now_ms += 2_000
        self.assertEqual(self.wait_ms(), self.settings.watched_poll_wait_ms)

    def test_a_filler_is_polled_more_often(self):
        """The load of the tasks beside it decides whether it is throttled."""
        self.start(fills=True)
        self.assertEqual(self.wait_ms(), self.settings.watched_poll_wait_ms)

    def test_without_a_recent_row_every_worker_is_polled_more_often(self):
        """Guards against a leader that loses its authority in an outage of the store.

        The age of a proof counts from the time at which its poll was sent. It is the
        reply to the last poll until the next one returns, so two waits have to fit into
        the window.
        """
        self.harness.commit()
        self.harness.now_ms += self.settings.row_age_for_short_polls_ms + 1
        poll = self.harness.scheduler.next_poll("a", self.harness.now_ms)
        self.assertEqual(poll.wait_ms, self.settings.watched_poll_wait_ms)
        self.assertLess(2 * poll.wait_ms, self.settings.majority_window_ms)
        # Polls with a long wait have returned when the row no longer proves authority.
        self.assertLessEqual(
            self.settings.row_age_for_short_polls_ms + self.settings.poll_wait_ms,
            self.settings.row_authority_ms,
        )

    def test_an_idle_majority_counts_as_reachable(self):
        """Guards against a leader that gives up because idle workers reply late."""
        self.harness.commit()
        sent_ms = self.harness.now_ms
        wait_ms = self.wait_ms()
        self.harness.now_ms += 2 * wait_ms
        self.harness.report("a", polled_ms=sent_ms)
        self.assertTrue(
            self.harness.scheduler.is_majority_reachable(self.harness.now_ms)
        )


class SuspendedLeaderTests(unittest.TestCase):
    """Guards against a leader that acts on a permission that ran out meanwhile.

    The replies that arrived while a leader was suspended say nothing about the time at
    which it reads them: another leader may have been elected since.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.commit()
        self.harness.report_all()
        self.suspended_ms = self.harness.now_ms
        self.harness.now_ms += 5_000

    def test_replies_from_before_prove_no_authority(self):
        for each in self.harness.entries:
            self.harness.report(each.worker_id, polled_ms=self.suspended_ms)
        scheduler = self.harness.scheduler
        self.assertFalse(scheduler.may_send_commands(self.harness.now_ms))
        poll = scheduler.next_poll("a", self.harness.now_ms)
        self.assertIsNone(poll.until_clock_ms)
        self.harness.accept(job(step()))
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_replies_to_new_polls_prove_it_again(self):
        self.harness.report_all()
        self.assertTrue(self.harness.scheduler.may_send_commands(self.harness.now_ms))


class UnresponsiveWorkerTests(unittest.TestCase):
    """Guards against tasks that run twice.

    That happens if a task is started elsewhere before its worker's lease has expired.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        # By this time all leases of previous leaders have expired.
        self.harness.now_ms += 9_000
        self.harness.commit()
        self.harness.report_all()
        self.harness.accept(job(step()))
        (self.command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(self.command)
        self.harness.scheduler.next_poll(self.command.worker_id, self.harness.now_ms)
        self.other = "b" if self.command.worker_id == "a" else "a"

    def test_a_task_of_an_unresponsive_worker_waits_for_lease_expiry(self):
        self.harness.handle(WorkerUnresponsive(self.command.worker_id))
        for _ in range(4):
            self.harness.advance(1_000)
            self.harness.commit()
            self.harness.report(self.other)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.advance(1_000)
        self.harness.report(self.other)
        self.assertEqual(
            [each.worker_id for each in self.harness.dispatch_starts()], [self.other]
        )

    def test_an_unresponsive_worker_gets_no_new_lease(self):
        self.harness.handle(WorkerUnresponsive("a"))
        poll = self.harness.scheduler.next_poll("a", self.harness.now_ms)
        self.assertIsNone(poll.until_clock_ms)

    def test_no_termination_is_acknowledged_to_an_unresponsive_worker(self):
        """After a restart, the number would acknowledge unread terminations."""
        worker_id = self.command.worker_id
        self.harness.report(worker_id, ended=[ended(1, self.command)])
        self.harness.commit()
        self.harness.handle(WorkerUnresponsive(worker_id))
        poll = self.harness.scheduler.next_poll(worker_id, self.harness.now_ms)
        self.assertEqual(poll.last_acknowledged, 0)

    def test_a_leader_without_row_or_majority_neither_renews_nor_starts(self):
        self.harness.now_ms += 3_500
        poll = self.harness.scheduler.next_poll(self.other, self.harness.now_ms)
        self.assertIsNone(poll.until_clock_ms)
        self.harness.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_majority_of_workers_suffices_while_the_store_is_down(self):
        self.harness.now_ms += 3_500
        self.harness.report_all()
        poll = self.harness.scheduler.next_poll(self.other, self.harness.now_ms)
        self.assertIsNotNone(poll.until_clock_ms)


class HealthTests(unittest.TestCase):
    """Guards against starts on faulty workers and quarantine of healthy ones."""

    def test_a_worker_that_fails_several_jobs_is_quarantined(self):
        harness = FleetHarness(*(entry(name) for name in "abcde"))
        harness.report("a")
        harness.accept(job(step()))
        harness.accept(job(step(), job_id="00000000000000ab"))
        for number in (1, 3):
            commands = harness.dispatch_starts()
            ends = [
                ended(number + index, command, TerminationReason.FAILED)
                for index, command in enumerate(commands)
            ]
            harness.report("a", ended=ends)
        harness.accept(job(step(), job_id="00000000000000ff"))
        self.assertEqual(harness.dispatch_starts(), [])
        harness.advance(6_500)
        harness.commit()
        harness.report("a")
        self.assertTrue(harness.dispatch_starts())

    def test_failures_of_one_job_do_not_quarantine_a_worker(self):
        harness = FleetHarness(
            entry("a"), entry("b"), entry("c"), entry("d"), entry("e")
        )
        harness.report("a")
        harness.accept(job(step(width=4), queue=BACKGROUND._replace(attempts=9)))
        for number, command in enumerate(harness.dispatch_starts()):
            harness.report(
                "a", ended=[ended(number + 1, command, TerminationReason.FAILED)]
            )
        self.assertTrue(harness.dispatch_starts())

    def test_a_run_without_progress_is_stopped(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(estimate_ms=1_000)))
        (command,) = harness.dispatch_starts()
        harness.report("a", running=[running(command, percent=20)])
        stopped = []
        for _ in range(5):
            harness.now_ms += 700
            harness.report("a", running=[running(command, percent=20)])
            stopped.extend(stops(harness.advance(0)))
        self.assertEqual(stopped[0].task, command.task)


class SilentWorkerTests(unittest.TestCase):
    """Guards against healthy runs that are stopped because reports were late."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"))
        self.harness.report_all()
        self.harness.accept(job(step(long_running=True), queue=LONG_RUNNING))
        (self.command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(self.command)

    def report(self, percent, **fields):
        self.harness.report("a", [running(self.command, percent)], **fields)
        return stops(self.harness.advance(0))

    def test_a_suspended_leader_does_not_stop_a_task_that_is_starting_up(self):
        read_ms = int(self.harness.now_ms)
        self.harness.now_ms += 5_000
        self.assertEqual(stops(self.harness.advance(0)), [])
        # These replies arrived while the leader was suspended.
        for late_ms in (100, 200, 300, 400):
            self.assertEqual(self.report(0, clock_ms=read_ms + late_ms), [])

    def test_a_worker_that_was_silent_keeps_its_runs(self):
        for _ in range(4):
            self.harness.now_ms += 100
            self.report(50)
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.now_ms += 4_400
        for _ in range(4):
            self.harness.now_ms += 100
            self.assertEqual(self.report(50), [])

    def test_a_task_that_does_not_start_up_is_stopped(self):
        stopped = []
        for _ in range(9):
            self.harness.now_ms += 500
            stopped += self.report(0)
        self.assertEqual([each.task for each in stopped], [self.command.task])


class RetiredLeaderTests(unittest.TestCase):
    """Guards against commands of two leaders around a hand-over.

    The successor may act as soon as the released row is stored, while the process of
    the former leader still runs.
    """

    def test_a_leader_that_releases_its_row_sends_nothing_more(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.commit()
        harness.accept(job(step()))
        harness.scheduler.retire()
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertFalse(harness.scheduler.may_send_commands(harness.now_ms))
        self.assertIsNone(harness.scheduler.next_poll("a", harness.now_ms))

    def test_its_last_commit_does_not_revive_it(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.scheduler.retire()
        harness.commit()
        harness.accept(job(step()))
        self.assertEqual(harness.dispatch_starts(), [])


class DrainingTests(unittest.TestCase):
    """Guards against the loss of work when a draining worker is removed.

    Runs that could not complete before the removal are stopped, the others are not.
    """

    def test_a_long_running_task_moves_before_its_worker_is_removed(self):
        harness = FleetHarness(entry("a"), entry("b"))
        harness.report_all()
        harness.accept(job(step(long_running=True), queue=LONG_RUNNING))
        (command,) = harness.dispatch_starts()
        harness.report(command.worker_id, running=[running(command, percent=100)])
        draining = entry(command.worker_id, draining=True, remaining_ms=9_000)
        harness.handle(WorkersListed((draining,)))
        self.assertEqual(
            [stop.task for stop in stops(harness.advance(10))], [command.task]
        )

    def test_a_run_that_completes_in_time_is_not_stopped(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(estimate_ms=1_000)))
        (command,) = harness.dispatch_starts()
        harness.report("a", running=[running(command, percent=50)])
        draining = entry("a", draining=True, remaining_ms=5_000)
        harness.handle(WorkersListed((draining,)))
        self.assertEqual(stops(harness.advance(10)), [])


class ThrottlingTests(unittest.TestCase):
    """Guards against fillers that make services miss their response time target."""

    def test_fillers_pause_while_a_task_on_their_worker_is_over_its_target(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        serving = step(long_running=True, target_ms=100)
        harness.accept(job(serving, queue=LONG_RUNNING))
        filler = step(fills=True, estimate_ms=60_000)
        harness.accept(job(filler, queue=BACKGROUND, job_id="00000000000000ab"))
        commands = {
            command.task.job_id: command for command in harness.dispatch_starts()
        }
        speeds = []
        for load in (150, 150, 150, 20, 20, 20, 20, 20, 20):
            harness.now_ms += 700
            harness.report(
                "a",
                running=[
                    running(commands[JOB], percent=100, load=load),
                    running(commands["00000000000000ab"]),
                ],
            )
            effects = harness.advance(0)
            speeds += [
                each.percent for each in effects if isinstance(each, ThrottleRun)
            ]
        self.assertEqual(speeds, [0, 100])

    def test_a_new_leader_resumes_the_fillers_that_the_previous_one_paused(self):
        """No report contains the speed of a run, so the new leader does not know it."""
        harness = FleetHarness(entry("a"), epoch=2)
        filler = step(fills=True, estimate_ms=60_000)
        harness.accept(job(filler, queue=BACKGROUND))
        run = RunningTask(TaskKey(JOB, 0, 0, 0), 1, "", 30, 0)
        harness.report("a", running=[run])
        speeds = [
            each.percent
            for _ in range(3)
            for each in harness.advance(700)
            if isinstance(each, ThrottleRun)
        ]
        self.assertEqual(speeds, [100])


if __name__ == "__main__":
    unittest.main()
