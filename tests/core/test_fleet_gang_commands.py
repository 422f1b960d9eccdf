"""Tests of how many commands a gang, a lost worker or a cancellation causes."""

import unittest
from unittest import mock

from marigoldpath_core.fleet import (
    JobCancelled,
    StartResult,
    StopReplied,
    TerminationReason,
    WorkerUnresponsive,
)
from marigoldpath_core.fleet import _terminations as terminations
from marigoldpath_core.jobs import JobState, Progress, Resources, TaskKey, Workspace
from tests.core.fleet_fixture import (
    JOB,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
)

WIDTH = 300
WORKERS = 6
RETRY_MS = 1_300


class GangHarness(FleetHarness):
    """A cell with a gang whose members have been sent to six workers."""

    def __init__(self, **fields):
        entries = [entry(f"w{number}", cpu=100_000) for number in range(WORKERS)]
        super().__init__(*entries, **fields)
        self.report_all()

    def start_gang(self):
        self.accept(job(step(width=WIDTH, gang=True)))
        return self.dispatch_starts()

    def run_states(self):
        """Return the number of runs that are allocated."""
        workers = self.scheduler._fleet.workers.values()
        return sum(len(each.runs) for each in workers)


class GangCommandTests(unittest.TestCase):
    """Guards against stops by the square of a gang's width.

    Each member that did not start stopped every other member again, which hung a leader
    or took its memory, and then its successor's.
    """

    def setUp(self):
        self.harness = GangHarness()
        self.starts = self.harness.start_gang()
        self.assertEqual(len(self.starts), WIDTH)

    def refuse(self, result, count=50):
        effects = []
        for start in self.starts[:count]:
            effects += self.harness.reply_to_start(start, result)
        return stops(effects)

    def check(self, sent):
        keys = [(each.task, each.run) for each in sent]
        self.assertEqual(len(keys), len(set(keys)))
        self.assertLessEqual(len(keys), WIDTH)

    def test_refused_starts_stop_each_other_member_once(self):
        sent = self.refuse(StartResult.REFUSED)
        self.check(sent)
        # All members but the refused one, also those that are refused later.
        self.assertEqual(len(sent), WIDTH - 1)

    def test_expired_starts_stop_each_other_member_once(self):
        self.check(self.refuse(StartResult.EXPIRED))

    def test_unreachable_workers_stop_each_other_member_once(self):
        self.check(self.refuse(StartResult.NOT_SENT))

    def test_members_that_a_report_lacks_stop_each_other_member_once(self):
        """Guards against 18,480 stops for one report, as in the log of review/7."""
        on_first = [each for each in self.starts if each.worker_id == "w0"]
        self.assertGreater(len(on_first), 10)
        self.harness.now_ms += 1_000
        self.check(stops(self.harness.report("w0")))

    def test_a_lost_worker_stops_no_member_twice(self):
        for start in self.starts:
            self.harness.confirm_start(start)
        self.harness.handle(WorkerUnresponsive("w0", "timeout"))
        sent = []
        for _ in range(10):
            sent += stops(self.harness.advance(1_000))
        self.check(sent)

    def test_a_cancellation_stops_each_member_once(self):
        sent = stops(self.harness.handle(JobCancelled(JOB)))
        sent += self.refuse(StartResult.EXPIRED)
        self.check(sent)
        self.assertEqual(len(sent), WIDTH)

    def test_the_gang_starts_again_after_it_has_stopped(self):
        """Guards against a stop that is left out and so never confirmed."""
        sent = self.refuse(StartResult.REFUSED)
        for each in sent:
            self.harness.handle(
                StopReplied(
                    each.worker_id, each.task, each.run, int(self.harness.now_ms)
                )
            )
        self.harness.now_ms += 1_500
        self.harness.report_all()
        self.assertEqual(self.harness.run_states(), 0)
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), WIDTH)

    def test_a_stop_without_effect_is_repeated(self):
        """Guards against a lost stop after which a member runs on."""
        first = self.refuse(StartResult.REFUSED, 1)
        members = {each.worker_id: [] for each in self.starts}
        for start in self.starts[1:]:
            members[start.worker_id].append(running(start))
        self.harness.now_ms += RETRY_MS + 400
        for worker_id, rows in members.items():
            self.harness.report(worker_id, rows)
        again = stops(self.harness.advance(1))
        self.assertEqual(len(again), len(first))

    def test_the_end_of_a_gang_completes_it_once(self):
        """Guards against reports of many members that each complete all members."""
        for start in self.starts:
            self.harness.confirm_start(start)
        by_worker = {}
        for start in self.starts:
            by_worker.setdefault(start.worker_id, []).append(start)
        complete = terminations.complete_task
        with mock.patch.object(
            terminations, "complete_task", side_effect=complete
        ) as completed:
            for worker_id, started in by_worker.items():
                ends = [ended(1 + n, each) for n, each in enumerate(started)]
                self.harness.report(worker_id, ended=ends)
        self.assertEqual(completed.call_count, WIDTH)
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)


class PlannedGangTests(unittest.TestCase):
    """Guards against recorded starts of a gang that release each other many times."""

    def test_a_quota_that_was_lowered_releases_each_member_once(self):
        harness = GangHarness(epoch=2)
        harness.configure(Workspace("team"))
        stored = Progress(JobState.QUEUED, crashes={(0, 0, 0): (1,)})
        accepted = job(step(width=WIDTH, gang=True), workspace="team", epoch=2)
        harness.accept(accepted, stored)
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertEqual(harness.run_states(), WIDTH)
        harness.commit()
        harness.configure(Workspace("team", quota=Resources(1_000, 0, 0)))
        fleet = harness.scheduler._fleet
        release = fleet.release
        with mock.patch.object(fleet, "release", side_effect=release) as released:
            self.assertEqual(stops(harness.dispatch()), [])
        self.assertEqual(released.call_count, WIDTH)
        self.assertEqual(harness.run_states(), 0)


class RepeatedStopTests(unittest.TestCase):
    """Guards against stops that are sent again while they are under way."""

    def test_a_stray_run_is_stopped_once_until_the_stop_is_overdue(self):
        """A worker replies to a poll with each end, and lists all others again."""
        harness = FleetHarness(entry("a"), epoch=2)
        harness.accept(job(step()), Progress(JobState.CANCELLED))
        harness.report("a")
        rows = [
            running(mock.Mock(task=TaskKey(JOB, 0, 0, n), run=1)) for n in range(100)
        ]
        sent = []
        for _ in range(10):
            harness.now_ms += 30
            sent += stops(harness.report("a", rows))
        self.assertEqual(len(sent), 100)
        harness.now_ms += RETRY_MS
        self.assertEqual(len(stops(harness.report("a", rows))), 100)

    def test_stops_are_not_repeated_for_a_silent_worker(self):
        """Guards against commands that queue up for a worker that does not reply."""
        harness = FleetHarness(entry("a", cpu=500_000))
        harness.report_all()
        harness.accept(job(step(width=400)))
        starts = harness.dispatch_starts()
        for start in starts:
            harness.confirm_start(start)
        harness.handle(WorkerUnresponsive("a", "timeout"))
        harness.handle(JobCancelled(JOB))
        sent = []
        for _ in range(40):
            sent += stops(harness.advance(100))
        self.assertEqual(sent, [])
        harness.report("a", [running(each) for each in starts])
        self.assertEqual(len(stops(harness.advance(400))), len(starts))

    def test_an_interrupted_member_is_not_stopped_again(self):
        """Guards against a stop for each report of a gang that is stopping."""
        harness = GangHarness()
        starts = harness.start_gang()
        for start in starts:
            harness.confirm_start(start)
        harness.handle(JobCancelled(JOB))
        first = starts[0]
        sent = []
        for number in range(5):
            harness.now_ms += 50
            end = ended(1 + number, starts[number], TerminationReason.STOPPED)
            sent += stops(harness.report(first.worker_id, ended=[end]))
        self.assertEqual(sent, [])


if __name__ == "__main__":
    unittest.main()
