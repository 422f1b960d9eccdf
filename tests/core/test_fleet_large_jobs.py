"""Tests of what a leader keeps of one job with very many tasks or occurrences."""

import random
import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    JobCancelled,
    StartRun,
    TerminatedRun,
    TerminationReason,
    Tick,
)
from marigoldpath_core.jobs import JobState, Progress, TaskKey
from tests.core.fleet_fixture import (
    BACKGROUND,
    JOB,
    URGENT,
    FleetHarness,
    ended,
    entry,
    job,
    step,
)

SETTINGS = FleetSettings()
# The largest job that the adapter accepts: 100 steps of 10,000 tasks.
MAX_STEPS = 100
MAX_WIDTH = 10_000
OTHER_JOB = "00000000000000bb"
# Any number of occurrences is accepted. An unlimited loop over so many takes a second
# and about 200 MB.
MANY = 50_000


def repeated(*steps, occurrences=MANY, start_ms=0, interval_ms=0, **fields):
    """Return a job with several occurrences."""
    accepted = job(*steps, **fields)
    spec = accepted.spec._replace(
        occurrences=occurrences, start_ms=start_ms, interval_ms=interval_ms
    )
    return accepted._replace(spec=spec)


class DueOccurrenceTests(unittest.TestCase):
    """Guards against a leader that keeps all occurrences of a job that are due.

    One accepted job with `times` 1,000,000,000 took the memory of each leader in turn.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()
        self.ends = {"a": 0, "b": 0}

    def tick(self, wall_ms=1_000_000_000):
        self.harness.now_ms += 100
        self.harness.handle(Tick(wall_ms))

    def end(self, starts):
        """Report that runs are done, and store that."""
        for worker_id in self.ends:
            done = []
            for start in starts:
                if start.worker_id == worker_id:
                    self.harness.confirm_start(start)
                    self.ends[worker_id] += 1
                    done.append(ended(self.ends[worker_id], start))
            self.harness.report(worker_id, ended=done)
        return self.harness.commit()

    def open_steps(self, job_id=JOB):
        return [
            each for each in self.harness.open_steps() if each.job.spec.job_id == job_id
        ]

    def test_only_some_of_the_due_occurrences_are_open(self):
        """Guards against memory in proportion to the number of occurrences."""
        self.harness.accept(repeated(step()))
        for _ in range(20):
            self.tick()
        limit = SETTINGS.max_waiting_occurrence_steps
        self.assertLessEqual(len(self.open_steps()), limit)

    def test_a_start_time_long_past(self):
        """Guards against the same after an outage, or with an old `start_ms`."""
        self.harness.accept(repeated(step(), start_ms=1_000, interval_ms=1))
        self.tick()
        limit = SETTINGS.max_waiting_occurrence_steps
        self.assertLessEqual(len(self.open_steps()), limit)

    def test_all_occurrences_run_once_and_the_job_is_done(self):
        """Guards against occurrences that the limit drops or starts twice."""
        times = 500
        self.harness.accept(repeated(step(), occurrences=times))
        started = []
        for _ in range(times):
            self.tick()
            starts = self.harness.dispatch_starts()
            started += [each.task for each in starts]
            self.end(starts)
        expected = [TaskKey(JOB, number, 0, 0) for number in range(times)]
        self.assertEqual(sorted(started), expected)
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.DONE)

    def test_the_stored_progress_does_not_grow_with_the_occurrences(self):
        """Guards against a progress that exceeds the size of a row."""
        self.harness.accept(repeated(step()))
        for _ in range(100):
            self.tick()
            progress = self.end(self.harness.dispatch_starts()).progress.get(JOB)
        self.assertGreater(progress.begun_occurrences, 1_000)
        limit = SETTINGS.max_waiting_occurrence_steps
        self.assertLessEqual(len(progress.done), limit)

    def test_a_new_leader_creates_only_the_open_occurrences(self):
        """Guards against a successor that takes up all occurrences so far."""
        self.harness.accept(repeated(step()))
        for _ in range(100):
            self.tick()
            progress = self.end(self.harness.dispatch_starts()).progress.get(JOB)
        successor = FleetHarness(entry("a"), entry("b"), epoch=2)
        successor.handle(Tick(1_000_000_000))
        successor.accept(repeated(step()), progress)
        self.assertEqual(len(successor.open_steps()), len(progress.done))

    def test_a_task_that_never_starts_does_not_hold_back_another_job(self):
        """Guards against due occurrences that use all room of the other callers."""
        self.harness.accept(repeated(step(cpu=20_000)))
        self.tick()
        self.harness.accept(job(step(), queue=BACKGROUND, job_id=OTHER_JOB))
        started = []
        for _ in range(20):
            self.tick()
            started += [each.task.job_id for each in self.harness.dispatch_starts()]
        self.assertEqual(started, [OTHER_JOB])

    def test_a_wide_step_that_waits_does_not_hold_back_the_next_occurrence(self):
        """Guards against a small step that is due and waits for a gang without room."""
        gang = step(width=40, gang=True)
        self.harness.accept(repeated(gang, step(), occurrences=5))
        started = []
        for _ in range(10):
            self.tick()
            starts = self.harness.dispatch_starts()
            started += [each.task for each in starts]
            self.end(starts)
        expected = [TaskKey(JOB, number, 1, 0) for number in range(5)]
        self.assertEqual(started, expected)

    def test_a_new_job_comes_before_occurrences_that_are_late(self):
        """Guards against overdue occurrences that delay the jobs of other callers."""
        self.harness.now_ms += 1_000_000
        self.harness.handle(Tick(1_000_000_000))
        self.harness.accept(repeated(step(cpu=10_000)))
        self.harness.report_all()
        self.end(self.harness.dispatch_starts())
        for _ in range(20):
            self.tick()
        self.harness.accept(
            job(step(cpu=10_000), job_id=OTHER_JOB, accepted_ms=1_000_000_000)
        )
        self.harness.report_all()
        first, *_ = self.harness.dispatch_starts()
        self.assertEqual(first.task.job_id, OTHER_JOB)

    def test_late_occurrences_cause_no_refusals(self):
        """Guards against a backlog of one job for which others are refused."""
        self.harness.handle(Tick(1_000_000_000))
        self.harness.accept(repeated(step(cpu=9_000, estimate_ms=600_000)))
        self.harness.configure()
        for _ in range(60):
            self.tick()
        self.harness.now_ms += 10_000_000
        backlog = self.harness.scheduler.backlog(self.harness.now_ms)
        self.assertEqual(backlog.work_ms.get(URGENT.priority_class, 0), 0)

    def test_a_cancelled_job_begins_no_further_occurrence(self):
        """Guards against a job that a DELETE does not end."""
        self.harness.accept(repeated(step()))
        self.tick()
        starts = self.harness.dispatch_starts()
        self.assertTrue(starts)
        effects = self.harness.handle(JobCancelled(JOB))
        self.harness.commit()
        self.tick()
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.assertEqual(self.open_steps(), [])
        self.assertIs(self.harness.scheduler.job_state(JOB), JobState.CANCELLED)
        self.assertLess(len(effects), 500)

    def test_waiting_occurrences_are_logged(self):
        """Guards against a wait that no log line explains."""
        self.harness.accept(repeated(step(cpu=20_000)))
        effects = self.harness.handle(Tick(1_000_000_000))
        events = [getattr(each, "event", "") for each in effects]
        self.assertIn("occurrences_waiting", events)

    def test_a_report_of_a_late_occurrence_begins_only_that_one(self):
        """Guards against a successor that begins all occurrences before a run."""
        successor = FleetHarness(entry("a"), epoch=2)
        successor.accept(repeated(step(), start_ms=10**12))
        task = TaskKey(JOB, MANY - 1, 0, 0)
        end = TerminatedRun(1, task, 1, TerminationReason.FAILED, "")
        successor.report("a", ended=[end])
        self.assertEqual(len(successor.open_steps()), 1)


class WideJobTests(unittest.TestCase):
    """Guards against a leader that keeps an object for each task of a waiting job."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()

    def known_tasks(self):
        return sum(len(each.known_tasks) for each in self.harness.open_steps())

    def test_the_largest_job_takes_little_memory(self):
        """Guards against 100 steps of 10,000 tasks, which took about 1 GB."""
        steps = [step(width=MAX_WIDTH) for _ in range(MAX_STEPS)]
        self.harness.accept(job(*steps))
        self.assertEqual(len(self.harness.open_steps()), MAX_STEPS)
        self.assertEqual(self.known_tasks(), 0)

    def test_only_started_tasks_have_state(self):
        steps = [step(width=MAX_WIDTH) for _ in range(MAX_STEPS)]
        self.harness.accept(job(*steps))
        starts = self.harness.dispatch_starts()
        self.assertEqual(len(starts), 20)
        # Each step that was examined has its next task.
        self.assertLessEqual(self.known_tasks(), len(starts) + MAX_STEPS)

    def test_done_tasks_have_no_state(self):
        self.harness.accept(job(step(width=200), queue=BACKGROUND))
        number = 0
        for _ in range(9):
            starts = self.harness.dispatch_starts()
            self.harness.now_ms += 100
            for worker_id in ("a", "b"):
                done = [each for each in starts if each.worker_id == worker_id]
                first = number + 1
                ends = [ended(first + n, each) for n, each in enumerate(done)]
                self.harness.report(worker_id, ended=ends)
            number += len(starts)
            self.harness.commit()
        (opened,) = self.harness.open_steps()
        self.assertLess(opened.remaining_tasks, 100)
        self.assertLessEqual(self.known_tasks(), 1)

    def test_progress_is_restored(self):
        """Guards against a successor that runs done tasks again, at random ones."""
        rng = random.Random(42)
        mask = rng.getrandbits(500) & ~1
        stored = Progress(
            JobState.RUNNING,
            {(0, 0): mask},
            {(0, 0, 0): (7,)},
            {(0, 0, 0): "saved"},
        )
        harness = FleetHarness(entry("a", cpu=1_000_000), epoch=2)
        harness.accept(job(step(width=500), queue=BACKGROUND), stored)
        harness.report("a")
        starts = harness.dispatch_starts()
        expected = [n for n in range(500) if not mask >> n & 1]
        self.assertEqual([each.task.task_index for each in starts], expected)
        self.assertEqual(starts[0].checkpoint, "saved")
        harness.scheduler._fleet.mark_dirty(harness.scheduler._fleet.jobs[JOB])
        progress = harness.commit().progress[JOB]
        self.assertEqual(progress.done, stored.done)
        self.assertEqual(progress.failures, stored.failures)

    def test_a_gang_shares_its_checkpoint(self):
        """Guards against a stored checkpoint for each member of a gang."""
        self.harness.accept(job(step(width=4, gang=True)))
        starts = self.harness.dispatch_starts()
        kind = TerminationReason.STOPPED
        by_worker: dict[str, list[StartRun]] = {}
        for start in starts:
            by_worker.setdefault(start.worker_id, []).append(start)
        for worker_id, started in by_worker.items():
            ends = [ended(1 + n, each, kind, "s") for n, each in enumerate(started)]
            self.harness.report(worker_id, ended=ends)
        progress = self.harness.commit().progress[JOB]
        self.assertEqual(progress.checkpoints, {(0, 0, 0): "s"})
        again = self.harness.dispatch_starts()
        self.assertEqual([each.checkpoint for each in again], ["s"] * 4)


if __name__ == "__main__":
    unittest.main()
