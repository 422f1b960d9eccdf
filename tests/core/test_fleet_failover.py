"""Tests of a new leader: adopted runs, jobs of earlier epochs and the roster."""

import unittest

from marigoldpath_core.fleet import (
    EndedLeaders,
    JobCancelled,
    JobsRead,
    LogEvent,
    RosterEntry,
    RunningTask,
    TerminatedRun,
    TerminationReason,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import JobState, Progress
from tests.core.fleet_fixture import (
    JOB,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
    task,
)


class FailoverTests(unittest.TestCase):
    """Guards against a new leader that starts a task too early and so runs it twice."""

    def test_a_reported_run_is_adopted(self):
        harness = FleetHarness(entry("a"), epoch=2)
        harness.accept(job(step()))
        harness.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertIs(harness.scheduler.job_state(JOB), JobState.RUNNING)

    def test_a_worker_unresponsive_after_its_first_report_keeps_its_runs(self):
        """The lease of the previous leader is valid, although this one granted none."""
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step()))
        harness.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        harness.report("b")
        harness.handle(WorkerUnresponsive("a"))
        harness.advance(1_000)
        harness.report("b")
        self.assertEqual(harness.dispatch_starts(), [])

    def test_an_earlier_job_waits_for_workers_that_have_not_reported(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step()))
        harness.report("a")
        self.assertEqual(harness.dispatch_starts(), [])
        harness.report("b")
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_an_earlier_job_starts_after_all_leases_have_expired(self):
        harness = FleetHarness(entry("a"), entry("b"), entry("c"), epoch=2)
        harness.accept(job(step()))
        for _ in range(6):
            harness.report("a")
            harness.report("b")
            harness.advance(1_000)
            harness.commit()
        self.assertEqual(harness.dispatch_starts(), [])
        harness.advance(1_000)
        harness.report("a")
        harness.report("b")
        harness.advance(0)
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_no_lease_counts_as_expired_until_a_majority_has_reported(self):
        """Until then, the previous leader could have a majority and renew leases."""
        harness = FleetHarness(entry("a"), entry("b"), entry("c"), epoch=2)
        harness.accept(job(step()))
        for _ in range(20):
            harness.advance(1_000)
            harness.commit()
            harness.report("a")
        self.assertEqual(harness.dispatch_starts(), [])

    def test_a_worker_that_restarts_after_its_first_report_has_to_report_again(self):
        """The previous leader can still start tasks on the new incarnation."""
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.report_all()
        harness.handle(WorkersListed((entry("a", incarnation=2_000), entry("b"))))
        harness.accept(job(step()))
        harness.accept(job(step(width=30), job_id="00000000000000ab", epoch=2))
        starts = harness.dispatch_starts()
        self.assertEqual({command.worker_id for command in starts}, {"b"})
        self.assertNotIn(JOB, {command.task.job_id for command in starts})
        run = RunningTask(task(), 1, "", 30, 0)
        harness.report("a", running=[run], incarnation=2_000, clock_ms=500)
        harness.advance(0)
        harness.commit()
        starts = harness.dispatch_starts()
        self.assertEqual({command.worker_id for command in starts}, {"a"})
        self.assertNotIn(JOB, {command.task.job_id for command in starts})

    def test_a_job_of_the_new_epoch_starts_at_once(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step(), epoch=2))
        harness.report("a")
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def observe_a_run_and_its_end(self, after_ms):
        """Return the starts after the end of a run of a previous leader.

        The run is in a report `after_ms` after the leader began. One worker is silent.
        """
        harness = FleetHarness(*(entry(each) for each in "abc"), epoch=2)
        harness.accept(job(step(), step(after=(0,))))
        run = RunningTask(task(), 1, "", 30, 0)
        for _ in range(2):
            harness.report("a", running=[run])
            harness.report("b")
            harness.commit()
            harness.advance(after_ms)
        harness.report("a", running=[run])
        harness.report("b")
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        return [each.task for each in harness.dispatch_starts()]

    def test_a_step_after_one_observed_running_starts_at_once(self):
        """No previous leader can have started it, so waiting would only delay it."""
        self.assertEqual(self.observe_a_run_and_its_end(1_100), [task(step_number=1)])

    def test_a_step_waits_while_a_previous_leader_may_hear_of_the_end(self):
        """Guards against a step that two leaders start.

        A poll of the previous leader, which the worker accepted before that of the new
        one, returns the end of the run, and that leader may still send commands.
        """
        self.assertEqual(self.observe_a_run_and_its_end(500), [])

    def test_a_step_after_a_repeated_run_waits_for_workers(self):
        """Another run of the task may have been done, and the next step be started.

        The previous leader then stopped the repeated run, but had not stored the end.
        """
        terminations = {
            "the other run is reported done": ("c", 1, TerminationReason.DONE),
            "the repeated run ends first": ("b", 2, TerminationReason.DONE),
        }
        for name, (worker_id, number, kind) in terminations.items():
            with self.subTest(name):
                workers = (entry("a"), entry("b"), entry("c"))
                harness = FleetHarness(*workers, epoch=2)
                harness.accept(job(step(), step(after=(0,))))
                harness.report("b", running=[RunningTask(task(), 2, "", 30, 0)])
                end = TerminatedRun(1, task(), number, kind, "")
                harness.report(worker_id, ended=[end])
                self.assertEqual(harness.dispatch_starts(), [])

    def test_a_step_after_one_started_by_this_leader_starts_at_once(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step(), step(after=(0,))))
        harness.report_all()
        (first,) = harness.dispatch_starts()
        harness.report(first.worker_id, running=[running(first)])
        other = "b" if first.worker_id == "a" else "a"
        listed = [entry(other, incarnation=2_000), entry(first.worker_id)]
        harness.handle(WorkersListed(tuple(listed)))
        harness.report(first.worker_id, ended=[ended(1, first)])
        self.assertEqual(
            [each.task for each in harness.dispatch_starts()], [task(step_number=1)]
        )

    def test_a_step_after_one_not_observed_running_waits_for_workers(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.accept(job(step(), step(after=(0,))))
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertEqual(harness.dispatch_starts(), [])

    def test_a_job_of_a_later_epoch_ends_the_leadership(self):
        harness = FleetHarness(entry("a"))
        harness.accept(job(step(), epoch=2))
        self.assertTrue(harness.scheduler.is_superseded)

    def test_no_task_starts_on_a_worker_with_an_orphaned_run(self):
        """The run's resources are not recorded: a start could overload the worker."""
        harness = FleetHarness(entry("a"), epoch=2)
        harness.accept(job(step()), Progress(JobState.CANCELLED))
        row = RunningTask(task(), 1, "", 30, 0)
        self.assertEqual(len(stops(harness.report("a", running=[row]))), 1)
        harness.accept(job(step(), job_id="00000000000000ab", epoch=2))
        self.assertEqual(harness.dispatch_starts(), [])
        harness.now_ms += 500
        harness.report("a")
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_the_log_says_why_a_run_is_stopped_and_an_end_ignored(self):
        harness = FleetHarness(entry("a"), epoch=2)
        harness.accept(job(step()), Progress(JobState.CANCELLED))
        effects = harness.report(
            "a",
            running=[RunningTask(task(), 1, "", 30, 0)],
            ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")],
        )
        fields = {
            each.event: each.fields for each in effects if isinstance(each, LogEvent)
        }
        reason = "the job is final"
        self.assertEqual(fields["stray_run_stopping"]["reason"], reason)
        self.assertEqual(fields["run_ended"]["ignored"], reason)

    def test_a_termination_after_one_of_an_unknown_job_is_applied(self):
        """If it were deferred too, its task would start again after this report."""
        harness = FleetHarness(entry("a"), epoch=2)
        harness.accept(job(step()))
        unknown = task(job_id="00000000000000ab")
        ends = [
            TerminatedRun(1, unknown, 1, TerminationReason.DONE, ""),
            TerminatedRun(2, task(), 1, TerminationReason.DONE, ""),
        ]
        harness.report("a", ended=ends)
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertFalse(harness.scheduler.has_unstored_terminations("a"))
        harness.accept(job(step(), job_id="00000000000000ab"))
        harness.report("a", ended=ends)
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertEqual(harness.commit().ends, {"a": (1_000, 2)})

    def test_a_job_reported_before_it_was_read_waits_for_the_next_report(self):
        """The first report is not kept: a start now would repeat the tasks in it."""
        named = {
            "running": {"running": [RunningTask(task(), 1, "", 30, 0)]},
            "ended": {
                "ended": [TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
            },
        }
        for name, lists in named.items():
            with self.subTest(name):
                harness = FleetHarness(entry("a"), entry("b"), epoch=2)
                harness.report("a", **lists)
                harness.report("b")
                harness.accept(job(step()))
                self.assertEqual(harness.dispatch_starts(), [])
                harness.now_ms += 100
                harness.report("a", **lists)
                self.assertEqual(harness.dispatch_starts(), [])

    def test_a_job_reported_by_a_previous_incarnation_starts(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        harness.report("b")
        harness.accept(job(step()))
        harness.report("a", incarnation=2_000)
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_a_termination_of_an_unknown_job_waits_until_jobs_were_read(self):
        """Without a complete read, a leader cannot tell that the job does not exist."""
        harness = FleetHarness(entry("a"), epoch=2)
        ends = [TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        for _ in range(20):
            harness.report("a", ended=ends)
            harness.advance(1_000)
        self.assertFalse(harness.scheduler.has_unstored_terminations("a"))
        harness.handle(JobsRead(harness.now_ms))
        harness.report("a", ended=ends)
        self.assertTrue(harness.scheduler.has_unstored_terminations("a"))

    def test_a_run_of_an_unknown_job_continues_until_jobs_were_read(self):
        harness = FleetHarness(entry("a"), epoch=2)
        row = RunningTask(task(), 1, "", 30, 0)
        for _ in range(20):
            self.assertEqual(stops(harness.report("a", running=[row])), [])
            harness.advance(1_000)
        harness.handle(JobsRead(harness.now_ms))
        self.assertEqual(len(stops(harness.report("a", running=[row]))), 1)

    def test_a_termination_of_an_unknown_job_is_not_acknowledged_at_first(self):
        harness = FleetHarness(entry("a"), epoch=2)
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertFalse(harness.scheduler.has_unstored_terminations("a"))
        harness.accept(job(step()))
        harness.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertEqual(harness.dispatch_starts(), [])


class EarlierLeadersTests(unittest.TestCase):
    """Guards against a wait for earlier leaders that has no end, or ends too early."""

    def begin(self, ended, roster=None, epoch=3):
        """Begin a term; no majority of the three workers ever reports."""
        entries = (entry("a"), entry("b"), entry("c"))
        self.harness = FleetHarness(*entries, epoch=epoch, roster=roster, ended=ended)
        self.harness.accept(job(step()))
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.handle(WorkerUnresponsive("b"))
        self.harness.report("c")

    def starts_after(self, for_ms):
        """Return whether the task of an earlier epoch starts after this time."""
        self.harness.advance(for_ms)
        self.harness.commit()
        self.harness.report("c")
        self.harness.advance(0)
        return bool(self.harness.dispatch_starts())

    def test_a_predecessor_that_ended_and_knew_of_the_others_needs_no_majority(self):
        self.begin((EndedLeaders(3, 0.0),))
        self.assertFalse(self.starts_after(4_500))
        self.assertTrue(self.starts_after(500))

    def test_a_predecessor_that_did_not_know_of_the_others_is_no_proof(self):
        self.begin((EndedLeaders(2, 0.0),))
        self.assertFalse(self.starts_after(60_000))

    def test_a_worker_without_a_lease_of_later_leaders_waits_for_the_earlier_ones(self):
        roster = {
            "a": RosterEntry("a:1", None, "zone", 2),
            "b": RosterEntry("b:1", None, "zone", 2),
            "c": RosterEntry("c:1", None, "zone"),
        }
        self.begin((EndedLeaders(2, 3_000.0),), roster)
        self.assertFalse(self.starts_after(1_500))
        self.assertTrue(self.starts_after(500))

    def test_what_was_waited_passes_on(self):
        self.begin((EndedLeaders(2, 3_000.0), EndedLeaders(3, 0.0)))
        self.harness.advance(1_000)
        ended = self.harness.scheduler.ended_leaders(self.harness.now_ms)
        self.assertEqual(ended, (EndedLeaders(2, 4_000.0), EndedLeaders(3, 1_000.0)))
        # Of those whose leases have ended, only the last one is needed.
        self.harness.advance(9_000)
        ended = self.harness.scheduler.ended_leaders(self.harness.now_ms)
        self.assertEqual(ended, (EndedLeaders(3, 10_000.0),))

    def test_a_worker_that_reports_late_gets_a_lease_once_its_mark_is_gone(self):
        """Otherwise a successor would not wait for the lease that it was given."""
        self.begin((EndedLeaders(3, 0.0),))
        self.harness.advance(2_000)
        self.assertEqual(self.harness.commit().roster["a"].unleased_since, 3)
        self.harness.report("a")
        self.assertIsNone(self.next_lease("a"))
        self.harness.advance(10)
        commit = self.harness.scheduler.begin_commit(100)
        self.assertEqual(commit.roster["a"].unleased_since, 0)
        self.assertIsNone(self.next_lease("a"))
        now_ms = self.harness.now_ms
        self.harness.scheduler.commit_succeeded(commit, now_ms, now_ms)
        self.assertIsNotNone(self.next_lease("a"))

    def test_a_successor_grants_no_lease_under_an_inherited_mark(self):
        roster = {"c": RosterEntry("c:1", None, "zone", 2)}
        self.begin((EndedLeaders(3, 0.0),), roster)
        self.assertIsNone(self.next_lease("c"))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.advance(10)
        self.harness.commit()
        self.assertIsNotNone(self.next_lease("c"))

    def next_lease(self, worker_id):
        scheduler = self.harness.scheduler
        return scheduler.next_poll(worker_id, self.harness.now_ms).until_clock_ms


class RosterTests(unittest.TestCase):
    """The next leader reads from the roster which jobs could be running on a worker.

    The tasks of a job that is missing there would run twice. A job that is listed
    without need would wait for the worker without need.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()
        self.harness.commit()

    def test_an_unresponsive_worker_is_stored_with_the_jobs_it_may_run(self):
        self.harness.accept(job(step(max_per_worker=1, width=2)))
        self.harness.dispatch_starts()
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.advance(10)
        roster = self.harness.commit().roster
        self.assertEqual(roster["a"], RosterEntry("a:1", (JOB,), "zone"))
        self.assertEqual(roster["b"].jobs, None)

    def test_an_unresponsive_or_draining_worker_without_runs_is_removed(self):
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.handle(WorkersListed((entry("a"), entry("b", draining=True))))
        self.harness.advance(10)
        self.assertEqual(self.harness.commit().roster, {})

    def test_an_unlisted_worker_that_never_reported_stays_until_its_lease_ends(self):
        """Guards against a successor that does not wait for a worker that is cut off.

        The leader granted the worker no lease, but an earlier one did.
        """
        harness = FleetHarness(entry("a"), entry("b"), entry("c"), epoch=2)
        harness.report("b")
        harness.report("c")
        harness.handle(WorkerUnresponsive("a"))
        harness.handle(WorkersListed((entry("b"), entry("c"))))
        harness.advance(6_000)
        harness.commit()
        self.assertIn("a", harness.scheduler._fleet.roster)
        harness.advance(1_000)
        harness.advance(0)
        self.assertEqual(set(harness.commit().roster), {"b", "c"})
        self.assertEqual(set(harness.scheduler.workers), {"b", "c"})

    def test_an_unresponsive_worker_is_stored_with_a_job_that_was_not_read(self):
        """Guards against a successor that reads the job and starts it elsewhere."""
        run = RunningTask(task(), 1, "", 30, 0)
        self.harness.report("a", running=[run])
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.advance(10)
        self.assertEqual(self.harness.commit().roster["a"].jobs, (JOB,))
        # Its lease has ended, and with it the run.
        self.harness.advance(6_000)
        self.harness.advance(10)
        self.assertNotIn("a", self.harness.commit().roster)

    def test_an_unresponsive_worker_stays_until_its_terminations_are_stored(self):
        """Guards against a row that is removed before the progress is stored.

        A commit has the whole roster, but a limited number of jobs.
        """
        other = "00000000000000ab"
        self.harness.accept(job(step(cpu=10_000)))
        (start,) = self.harness.dispatch_starts()
        self.harness.confirm_start(start)
        self.harness.commit()
        worker_id = start.worker_id
        self.harness.accept(job(step(), job_id=other))
        self.harness.handle(JobCancelled(other))
        self.harness.report(worker_id, ended=[ended(1, start)])
        self.harness.handle(WorkerUnresponsive(worker_id))
        self.harness.advance(10)
        scheduler = self.harness.scheduler
        first = scheduler.begin_commit(1)
        scheduler.commit_succeeded(first, self.harness.now_ms, self.harness.now_ms)
        is_stored = JOB in first.progress
        self.assertEqual(worker_id in scheduler._fleet.roster, not is_stored)
        self.harness.commit()
        self.harness.advance(10)
        self.assertNotIn(worker_id, self.harness.commit().roster)

    def test_a_worker_that_restarted_is_stored_until_it_has_reported_again(self):
        """Guards against a successor that does not wait for an earlier leader's starts.

        The new incarnation executes them until it has replied to a later leader.
        """
        entries = [entry("a"), entry("b"), entry("c")]
        harness = FleetHarness(*entries, epoch=2)
        harness.report_all()
        harness.handle(WorkerUnresponsive("a"))
        harness.advance(10)
        self.assertNotIn("a", harness.commit().roster)
        entries[0] = entry("a", incarnation=2_000)
        harness.handle(WorkersListed(tuple(entries)))
        harness.advance(10)
        self.assertEqual(harness.commit().roster["a"].jobs, None)

    def test_no_task_starts_on_a_returned_worker_before_its_entry_is_stored(self):
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.handle(WorkerUnresponsive("b"))
        self.harness.advance(10)
        self.harness.commit()
        self.harness.report_all()
        self.harness.advance(10)
        self.harness.accept(job(step()))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_no_task_starts_while_the_result_of_a_roster_commit_is_unknown(self):
        """The removal of the entries could be stored although its reply was lost."""
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.handle(WorkerUnresponsive("b"))
        self.harness.advance(10)
        self.harness.scheduler.begin_commit(100)
        self.harness.report_all()
        self.harness.advance(10)
        self.harness.accept(job(step()))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_only_jobs_in_the_entry_of_an_unreported_worker_wait(self):
        other = "00000000000000ab"
        roster = {
            "a": RosterEntry("a:1", (JOB,), "zone"),
            "b": RosterEntry("b:1", None, "zone"),
        }
        harness = FleetHarness(entry("a"), entry("b"), epoch=2, roster=roster)
        harness.accept(job(step()))
        harness.accept(job(step(), job_id=other))
        harness.report("b")
        self.assertEqual(
            [each.task.job_id for each in harness.dispatch_starts()], [other]
        )


if __name__ == "__main__":
    unittest.main()
