"""Tests of jobs whose steps run several times, across changes of the leader."""

import unittest

from marigoldpath_core.fleet import (
    JobCancelled,
    RunningTask,
    TerminatedRun,
    TerminationReason,
    Tick,
)
from marigoldpath_core.jobs import JobState, Progress, RecordedStart, TaskKey
from tests.core.fleet_fixture import (
    JOB,
    FleetHarness,
    ended,
    entry,
    job,
    step,
    stops,
)

START_MS = 50_000
INTERVAL_MS = 6_000


def scheduled(*steps, occurrences=2):
    """Return a job whose first occurrence is due at `START_MS`."""
    accepted = job(*steps)
    spec = accepted.spec._replace(
        occurrences=occurrences, start_ms=START_MS, interval_ms=INTERVAL_MS
    )
    return accepted._replace(spec=spec)


def key(occurrence=0, task_index=0):
    return TaskKey(JOB, occurrence, 0, task_index)


def run(occurrence=0, task_index=0, number=1):
    """Return a running task of an earlier leader in a worker's report."""
    return RunningTask(key(occurrence, task_index), number, "", 30, 0)


def done(number, occurrence=0, task_index=0):
    """Return a done task of an earlier leader in a worker's report."""
    task = key(occurrence, task_index)
    return TerminatedRun(number, task, 1, TerminationReason.DONE, "")


class OccurrenceReportTests(unittest.TestCase):
    """Guards against a new leader that starts reported tasks of an occurrence again.

    A previous leader began the occurrence; the new one does so with a later Tick, or
    later still if its clock is behind.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        self.harness.handle(Tick(START_MS + 1_500))

    def tick(self, wall_ms=START_MS + 2_000):
        self.harness.now_ms += 100
        self.harness.handle(Tick(wall_ms))

    def test_a_reported_run_continues(self):
        self.harness.accept(scheduled(step()))
        self.assertEqual(stops(self.harness.report("a", [run()])), [])
        self.harness.report("b")
        self.tick()
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_reported_end_is_stored_before_it_is_acknowledged(self):
        self.harness.accept(scheduled(step(width=2)))
        self.harness.report("a", ended=[done(1)])
        commit = self.harness.commit()
        self.assertEqual(commit.ends, {"a": (1_000, 1)})
        self.assertEqual(commit.progress[JOB].done, {(0, 0): 0b1})
        self.harness.report("b")
        self.tick()
        starts = self.harness.dispatch_starts()
        self.assertEqual([each.task for each in starts], [key(task_index=1)])

    def test_a_leader_whose_clock_is_behind_keeps_what_is_reported(self):
        self.harness.handle(Tick(START_MS - 4_000))
        self.harness.accept(scheduled(step(width=2)))
        effects = self.harness.report("a", [run()], [done(1, task_index=1)])
        self.assertEqual(stops(effects), [])
        self.harness.report("b")
        self.tick(START_MS - 3_900)
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_occurrences_overlap(self):
        """The later one is reported first; both began under the previous leader."""
        self.harness.accept(scheduled(step()))
        self.assertEqual(stops(self.harness.report("a", [run(occurrence=1)])), [])
        self.assertEqual(stops(self.harness.report("b", [run()])), [])
        self.tick(START_MS + INTERVAL_MS + 10)
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_gang_continues(self):
        self.harness.accept(scheduled(step(width=2, gang=True)))
        effects = self.harness.report("a", [run()])
        effects += self.harness.report("b", [run(task_index=1)])
        self.assertEqual(stops(effects), [])
        self.tick()
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_job_that_is_read_after_the_report(self):
        self.harness.report("a", [run()], [done(1, task_index=1)])
        self.harness.report("b")
        self.harness.accept(scheduled(step(width=2)))
        self.assertEqual(self.harness.dispatch_starts(), [])
        effects = self.harness.report("a", [run()], [done(1, task_index=1)])
        self.assertEqual(stops(effects), [])
        self.tick()
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_an_occurrence_that_no_worker_reports_waits_for_all_of_them(self):
        self.harness.accept(scheduled(step()))
        self.harness.report("a")
        self.tick()
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.report("b")
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_run_of_a_cancelled_job_is_stopped(self):
        self.harness.handle(JobCancelled(JOB))
        self.harness.accept(scheduled(step()))
        self.assertEqual(len(stops(self.harness.report("a", [run()]))), 1)
        self.assertEqual(self.harness.open_steps(), [])

    def test_a_task_that_the_job_does_not_have_begins_nothing(self):
        """Its end has no effect, so it is acknowledged."""
        self.harness.accept(scheduled(step()))
        ends = [done(1, occurrence=2), done(2, task_index=1)]
        effects = self.harness.report("a", [run(occurrence=7)], ends)
        self.assertEqual(len(stops(effects)), 1)
        self.assertEqual(self.harness.open_steps(), [])
        self.assertEqual(self.harness.commit().ends, {"a": (1_000, 2)})

    def test_the_job_is_done_after_its_last_occurrence(self):
        self.harness.accept(scheduled(step()))
        self.harness.report("a", ended=[done(1), done(2, occurrence=1)])
        self.harness.commit()
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)
        self.tick(START_MS + INTERVAL_MS)
        self.assertEqual(self.harness.dispatch_starts(), [])


class OccurrenceProgressTests(unittest.TestCase):
    """Guards against a leader that drops the stored progress of an occurrence.

    A commit replaces the whole progress of a job. If it omits an occurrence that this
    leader has not begun, the leader after it runs the tasks of the occurrence again.
    """

    def test_a_commit_keeps_the_progress_of_all_occurrences(self):
        stored = Progress(
            JobState.RUNNING,
            done={(0, 0): 0b01, (1, 0): 0b10},
            failures={(1, 0, 0): (3,)},
            checkpoints={(1, 0, 0): "saved"},
            crashes={(1, 0, 0): (4,)},
        )
        harness = FleetHarness(entry("a"), epoch=2)
        harness.handle(Tick(START_MS + 10))
        harness.accept(scheduled(step(width=2)), stored)
        harness.report("a", ended=[done(1, task_index=1)])
        progress = harness.commit().progress[JOB]
        # Occurrence 0 has begun and has no entry, so it is done.
        self.assertEqual(progress.begun_occurrences, 2)
        self.assertEqual(progress.done, {(1, 0): 0b10})
        self.assertEqual(progress.failures, stored.failures)
        self.assertEqual(progress.checkpoints, stored.checkpoints)
        self.assertEqual(progress.crashes, stored.crashes)

    def test_a_task_done_two_leaders_ago_does_not_run_again(self):
        stored = Progress(JobState.RUNNING, done={(1, 0): 0b1})
        second = FleetHarness(entry("a"), epoch=2)
        second.handle(Tick(START_MS + 10))
        second.accept(scheduled(step()), stored)
        second.report("a", ended=[done(1)])
        third = FleetHarness(entry("a"), epoch=3)
        third.handle(Tick(START_MS + INTERVAL_MS))
        third.accept(scheduled(step()), second.commit().progress[JOB])
        third.report("a")
        third.handle(Tick(START_MS + INTERVAL_MS))
        self.assertEqual(third.dispatch_starts(), [])

    def test_an_occurrence_that_is_done_does_not_run_again(self):
        """Its progress is no longer stored for each of its steps."""
        second = FleetHarness(entry("a"), epoch=2)
        second.handle(Tick(START_MS + 10))
        second.accept(scheduled(step(width=2), occurrences=3))
        second.report("a", ended=[done(1), done(2, task_index=1)])
        stored = second.commit().progress[JOB]
        third = FleetHarness(entry("a"), entry("b"), epoch=3)
        third.handle(Tick(START_MS + INTERVAL_MS))
        third.accept(scheduled(step(width=2), occurrences=3), stored)
        third.report("a")
        self.assertEqual(len(stops(third.report("b", [run(0)]))), 1)
        third.handle(Tick(START_MS + INTERVAL_MS))
        starts = third.dispatch_starts()
        self.assertEqual([each.task for each in starts], [key(1), key(1, 1)])

    def test_an_occurrence_that_was_adopted_early_is_stored(self):
        """A leader whose clock is behind adopts occurrence 2 and sees its end."""
        second = FleetHarness(entry("a"), epoch=2)
        second.handle(Tick(START_MS - 10))
        second.accept(scheduled(step(), occurrences=4))
        second.report("a", ended=[done(1, occurrence=2)])
        stored = second.commit().progress[JOB]
        third = FleetHarness(entry("a"), epoch=3)
        third.handle(Tick(START_MS + 10 * INTERVAL_MS))
        third.accept(scheduled(step(), occurrences=4), stored)
        third.report("a")
        third.handle(Tick(START_MS + 10 * INTERVAL_MS))
        starts = third.dispatch_starts()
        self.assertEqual([each.task for each in starts], [key(0), key(1), key(3)])
        ends = [ended(2 + n, each) for n, each in enumerate(starts)]
        third.report("a", ended=ends)
        third.commit()
        self.assertIs(third.scheduler.job_state(JOB), JobState.DONE)

    def test_a_start_that_was_only_recorded_begins_its_occurrence(self):
        """The start could have been sent, so its outcome has to be kept."""
        start = RecordedStart(5, "a", 1_000)
        stored = Progress(JobState.RUNNING, recorded_starts={(1, 0, 0): start})
        harness = FleetHarness(entry("a"), epoch=2)
        harness.handle(Tick(START_MS - 10))
        harness.accept(scheduled(step()), stored)
        harness.report("a", ended=[done(1)])
        progress = harness.commit().progress[JOB]
        self.assertEqual(progress.recorded_starts, stored.recorded_starts)


class OccurrenceScheduleTests(unittest.TestCase):
    """Guards against occurrences that begin early, late or twice."""

    def test_each_occurrence_begins_when_it_is_due(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(scheduled(step()))
        harness.handle(Tick(START_MS - 1))
        self.assertEqual(harness.dispatch_starts(), [])
        harness.handle(Tick(START_MS))
        (first,) = harness.dispatch_starts()
        harness.handle(Tick(START_MS + INTERVAL_MS))
        (second,) = harness.dispatch_starts()
        self.assertEqual([first.task, second.task], [key(0), key(1)])
        harness.report("a", ended=[ended(1, first), ended(2, second)])
        harness.commit()
        self.assertIs(harness.scheduler.job_state(JOB), JobState.DONE)


if __name__ == "__main__":
    unittest.main()
