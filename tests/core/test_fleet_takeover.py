"""Guards what a new leader may rely on."""

import unittest

from marigoldpath_core.fleet import (
    JobsRead,
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
    Cell,
    entry,
    job,
    step,
    stops,
    task,
)


class TakeoverTests(unittest.TestCase):
    def test_what_runs_is_adopted(self):
        cell = Cell(entry("a"), epoch=2)
        cell.accept(job(step()))
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        self.assertEqual(cell.starts(), [])
        self.assertIs(cell.scheduler.job_state(JOB), JobState.RUNNING)

    def test_a_worker_that_is_silent_after_its_first_list_keeps_its_runs(self):
        """The predecessor's lease goes on, though this leader granted none."""
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step()))
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        cell.report("b")
        cell.handle(WorkerUnresponsive("a"))
        cell.wait(1_000)
        cell.report("b")
        self.assertEqual(cell.starts(), [])

    def test_an_old_job_waits_for_workers_that_were_not_heard(self):
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step()))
        cell.report("a")
        self.assertEqual(cell.starts(), [])
        cell.report("b")
        self.assertEqual(len(cell.starts()), 1)

    def test_an_old_job_starts_once_the_leases_are_surely_over(self):
        cell = Cell(entry("a"), entry("b"), entry("c"), epoch=2)
        cell.accept(job(step()))
        for _ in range(6):
            cell.report("a")
            cell.report("b")
            cell.wait(1_000)
            cell.commit()
        self.assertEqual(cell.starts(), [])
        cell.wait(1_000)
        cell.report("a")
        cell.report("b")
        cell.wait(0)
        self.assertEqual(len(cell.starts()), 1)

    def test_leases_may_be_renewed_while_most_workers_were_not_heard(self):
        """They may still answer the predecessor, which goes on while they do."""
        cell = Cell(entry("a"), entry("b"), entry("c"), epoch=2)
        cell.accept(job(step()))
        for _ in range(20):
            cell.wait(1_000)
            cell.commit()
            cell.report("a")
        self.assertEqual(cell.starts(), [])

    def test_a_job_of_the_new_epoch_starts_at_once(self):
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), epoch=2))
        cell.report("a")
        self.assertEqual(len(cell.starts()), 1)

    def test_a_step_after_one_that_was_seen_running_starts_at_once(self):
        """No earlier leader can have started it, so no worker is waited for."""
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), step(after=(0,))))
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertEqual([o.task for o in cell.starts()], [task(step_number=1)])

    def test_a_step_after_an_end_that_is_only_told_may_run_elsewhere(self):
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), step(after=(0,))))
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertEqual(cell.starts(), [])

    def test_a_job_of_a_later_epoch_ends_the_leadership(self):
        cell = Cell(entry("a"))
        cell.accept(job(step(), epoch=2))
        self.assertTrue(cell.scheduler.is_deposed)

    def test_a_worker_with_a_run_that_must_not_be_there_takes_nothing_new(self):
        """What a stray run holds is not counted, so a start could overload."""
        cell = Cell(entry("a"), epoch=2)
        cell.accept(job(step()), Progress(JobState.CANCELLED))
        row = RunningTask(task(), 1, "", 30, 0)
        self.assertEqual(len(stops(cell.report("a", running=[row]))), 1)
        cell.accept(job(step(), job_id="00000000000000ab", epoch=2))
        self.assertEqual(cell.starts(), [])
        cell.now_ms += 500
        cell.report("a")
        self.assertEqual(len(cell.starts()), 1)

    def test_an_end_behind_one_of_an_unknown_job_is_taken(self):
        """Its task would start again, as the worker counts as heard."""
        cell = Cell(entry("a"), epoch=2)
        cell.accept(job(step()))
        unknown = task(job_id="00000000000000ab")
        ends = [
            TerminatedRun(1, unknown, 1, TerminationReason.DONE, ""),
            TerminatedRun(2, task(), 1, TerminationReason.DONE, ""),
        ]
        cell.report("a", ended=ends)
        self.assertEqual(cell.starts(), [])
        self.assertFalse(cell.scheduler.has_unstored_ends("a"))
        cell.accept(job(step(), job_id="00000000000000ab"))
        cell.report("a", ended=ends)
        self.assertEqual(cell.starts(), [])
        self.assertEqual(cell.commit().ends, {"a": (1_000, 2)})

    def test_a_job_that_a_worker_named_first_waits_for_its_next_list(self):
        """The list that named it was not kept, so its tasks would start twice."""
        named = {
            "running": {"running": [RunningTask(task(), 1, "", 30, 0)]},
            "ended": {
                "ended": [TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
            },
        }
        for name, lists in named.items():
            with self.subTest(name):
                cell = Cell(entry("a"), entry("b"), epoch=2)
                cell.report("a", **lists)
                cell.report("b")
                cell.accept(job(step()))
                self.assertEqual(cell.starts(), [])
                cell.now_ms += 100
                cell.report("a", **lists)
                self.assertEqual(cell.starts(), [])

    def test_a_job_named_by_a_life_that_is_over_starts(self):
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        cell.report("b")
        cell.accept(job(step()))
        cell.report("a", incarnation=2_000)
        self.assertEqual(len(cell.starts()), 1)

    def test_an_end_of_an_unknown_job_is_kept_until_the_jobs_were_read(self):
        """Without the store a leader cannot know that there is no such job."""
        cell = Cell(entry("a"), epoch=2)
        ends = [TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        for _ in range(20):
            cell.report("a", ended=ends)
            cell.wait(1_000)
        self.assertFalse(cell.scheduler.has_unstored_ends("a"))
        cell.handle(JobsRead(cell.now_ms))
        cell.report("a", ended=ends)
        self.assertTrue(cell.scheduler.has_unstored_ends("a"))

    def test_a_run_of_an_unknown_job_goes_on_until_the_jobs_were_read(self):
        cell = Cell(entry("a"), epoch=2)
        row = RunningTask(task(), 1, "", 30, 0)
        for _ in range(20):
            self.assertEqual(stops(cell.report("a", running=[row])), [])
            cell.wait(1_000)
        cell.handle(JobsRead(cell.now_ms))
        self.assertEqual(len(stops(cell.report("a", running=[row]))), 1)

    def test_an_end_of_an_unknown_job_is_not_acknowledged_at_first(self):
        cell = Cell(entry("a"), epoch=2)
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertFalse(cell.scheduler.has_unstored_ends("a"))
        cell.accept(job(step()))
        cell.report(
            "a", ended=[TerminatedRun(1, task(), 1, TerminationReason.DONE, "")]
        )
        self.assertEqual(cell.starts(), [])


class RosterTests(unittest.TestCase):
    """A successor must know what may run where, and wait for no more than that."""

    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        self.cell.hear_all()
        self.cell.commit()

    def test_a_silent_worker_is_stored_with_the_jobs_that_may_run_there(self):
        self.cell.accept(job(step(max_per_worker=1, width=2)))
        self.cell.starts()
        self.cell.handle(WorkerUnresponsive("a"))
        self.cell.wait(10)
        roster = self.cell.commit().roster
        self.assertEqual(roster["a"], RosterEntry("a:1", (JOB,), "zone"))
        self.assertEqual(roster["b"].jobs, None)

    def test_a_silent_or_leaving_worker_without_runs_is_dropped(self):
        self.cell.handle(WorkerUnresponsive("a"))
        self.cell.handle(WorkersListed((entry("a"), entry("b", draining=True))))
        self.cell.wait(10)
        self.assertEqual(self.cell.commit().roster, {})

    def test_nothing_starts_on_a_worker_that_is_back_before_that_is_stored(self):
        self.cell.handle(WorkerUnresponsive("a"))
        self.cell.handle(WorkerUnresponsive("b"))
        self.cell.wait(10)
        self.cell.commit()
        self.cell.hear_all()
        self.cell.wait(10)
        self.cell.accept(job(step()))
        self.assertEqual(self.cell.starts(), [])
        self.cell.commit()
        self.assertEqual(len(self.cell.starts()), 1)

    def test_nothing_starts_while_it_is_unknown_which_roster_is_stored(self):
        """The commit that closed the entry may be stored though not confirmed."""
        self.cell.handle(WorkerUnresponsive("a"))
        self.cell.handle(WorkerUnresponsive("b"))
        self.cell.wait(10)
        self.cell.scheduler.begin_commit(100)
        self.cell.hear_all()
        self.cell.wait(10)
        self.cell.accept(job(step()))
        self.assertEqual(self.cell.starts(), [])
        self.cell.commit()
        self.assertEqual(len(self.cell.starts()), 1)

    def test_only_the_jobs_of_an_unheard_silent_worker_wait(self):
        other = "00000000000000ab"
        roster = {
            "a": RosterEntry("a:1", (JOB,), "zone"),
            "b": RosterEntry("b:1", None, "zone"),
        }
        cell = Cell(entry("a"), entry("b"), epoch=2, roster=roster)
        cell.accept(job(step()))
        cell.accept(job(step(), job_id=other))
        cell.report("b")
        self.assertEqual([o.task.job_id for o in cell.starts()], [other])


if __name__ == "__main__":
    unittest.main()
