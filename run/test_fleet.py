"""Guards the decisions of the fleet's scheduler."""

import unittest

from marigoldpath_core.fleet import (
    AskAdvice,
    EndedRun,
    EndKind,
    FleetSettings,
    JobCancelled,
    JobsRead,
    PaceRun,
    RosterEntry,
    RunningTask,
    StartResult,
    StopAnswered,
    Tick,
    WorkerSilent,
    WorkersListed,
)
from marigoldpath_core.jobs import AdvicePolicy, JobState, Progress
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    JOB,
    LASTING,
    URGENT,
    Cell,
    ended,
    entry,
    job,
    running,
    step,
    stops,
    task,
)


class PlacementTests(unittest.TestCase):
    def test_no_worker_holds_more_than_its_capacity(self):
        cell = Cell(entry("a", cpu=2_500), entry("b", cpu=2_500))
        cell.hear_all()
        cell.accept(job(step(width=9)))
        orders = cell.starts()
        counts = {"a": 0, "b": 0}
        for order in orders:
            counts[order.worker_id] += 1
        self.assertEqual(counts, {"a": 2, "b": 2})

    def test_a_stopping_run_still_counts(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step()))
        (order,) = cell.starts()
        cell.started(order)
        cell.handle(JobCancelled(JOB))
        cell.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(cell.starts(), [])

    def test_a_label_and_a_limit_for_each_worker_are_kept(self):
        cell = Cell(entry("a", labels=("b", "r")), entry("b"), entry("c"))
        cell.hear_all()
        cell.accept(job(step(width=6, required_label="a", max_per_worker=1)))
        self.assertEqual(sorted(o.worker_id for o in cell.starts()), ["b", "c"])

    def test_urgent_work_starts_before_background_work(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        cell.accept(job(step()))
        self.assertEqual([order.task.job_id for order in cell.starts()], [JOB])

    def test_background_work_leaves_a_share_for_urgent_work(self):
        cell = Cell(entry("a", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(width=20), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 8)

    def test_a_task_larger_than_the_background_share_starts(self):
        cell = Cell(entry("a", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(cpu=9_500), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 1)

    def test_nothing_starts_on_a_worker_that_leaves(self):
        cell = Cell(entry("a", draining=True, remaining_ms=9_000))
        cell.hear_all()
        cell.accept(job(step()))
        self.assertEqual(cell.starts(), [])

    def test_nothing_starts_on_a_worker_that_is_not_in_the_stored_roster(self):
        cell = Cell(entry("a"), roster={})
        cell.hear_all()
        cell.accept(job(step()))
        cell.wait(10)
        self.assertEqual(cell.starts(), [])
        self.assertEqual(cell.commit().roster, {"a": RosterEntry("a:1", None, "zone")})
        self.assertEqual(len(cell.starts()), 1)

    def test_a_step_waits_for_the_steps_before_it(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(), step(after=(0,))))
        (first,) = cell.starts()
        cell.report("a", ended=[ended(1, first)])
        self.assertEqual([order.task.step for order in cell.starts()], [1])


class GangTests(unittest.TestCase):
    def test_all_tasks_start_with_one_run_number_or_none_does(self):
        cell = Cell(entry("a", cpu=2_000), entry("b", cpu=2_000))
        cell.hear_all()
        cell.accept(job(step(width=5, gang=True)))
        self.assertEqual(cell.starts(), [])
        cell.accept(job(step(width=4, gang=True), job_id="00000000000000ab"))
        orders = cell.starts()
        self.assertEqual((len(orders), {order.run for order in orders}), (4, {1}))

    def test_a_gang_that_cannot_leave_the_urgent_share_free_starts(self):
        cell = Cell(entry("a", cpu=10_000), entry("b", cpu=10_000))
        cell.hear_all()
        cell.accept(job(step(width=4, cpu=5_000, gang=True), queue=BACKGROUND))
        self.assertEqual(len(cell.starts()), 4)

    def test_a_refused_member_stops_the_others(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True)))
        first, second = cell.starts()
        cell.started(first)
        (stop,) = stops(cell.answer(second, StartResult.NO_ROOM))
        self.assertEqual(stop.task, first.task)

    def test_a_member_that_turns_out_not_to_run_stops_the_others(self):
        cell = Cell(entry("a"), entry("b"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True, max_per_worker=1)))
        first, second = cell.starts()
        cell.started(first)
        cell.answer(second, StartResult.UNKNOWN)
        cell.now_ms += 2_000
        (stop,) = stops(cell.report(second.worker_id))
        self.assertEqual(stop.task, first.task)

    def test_one_end_stands_for_all(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2, gang=True)))
        first, second = cell.starts()
        cell.report("a", running=[running(second)], ended=[ended(1, first)])
        cell.commit()
        self.assertIs(cell.scheduler.state_of(JOB), JobState.DONE)


class EndTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        self.cell.hear_all()

    def test_an_end_is_acknowledged_only_after_it_is_stored(self):
        self.cell.accept(job(step()))
        (order,) = self.cell.starts()
        self.cell.report(order.worker_id, ended=[ended(1, order)])
        look = self.cell.scheduler.look_order(order.worker_id, self.cell.now_ms)
        self.assertEqual(look.last_seen, 0)
        commit = self.cell.commit()
        self.assertIs(commit.progress[JOB].state, JobState.DONE)
        look = self.cell.scheduler.look_order(order.worker_id, self.cell.now_ms)
        self.assertEqual(look.last_seen, 1)

    def test_a_job_is_shown_as_done_only_after_that_is_stored(self):
        self.cell.accept(job(step()))
        (order,) = self.cell.starts()
        self.cell.started(order)
        self.cell.report(order.worker_id, ended=[ended(1, order)])
        self.assertIs(self.cell.scheduler.state_of(JOB), JobState.RUNNING)
        self.cell.commit()
        self.assertIs(self.cell.scheduler.state_of(JOB), JobState.DONE)

    def test_a_task_that_failed_runs_elsewhere_with_a_higher_run(self):
        self.cell.accept(job(step()))
        (first,) = self.cell.starts()
        self.cell.report(first.worker_id, ended=[ended(1, first, EndKind.FAILED)])
        (second,) = self.cell.starts()
        self.assertNotEqual(second.worker_id, first.worker_id)
        self.assertGreater(second.run, first.run)

    def test_a_job_fails_after_its_attempts(self):
        self.cell.accept(job(step(), queue=BACKGROUND))
        for number in (1, 2):
            (order,) = self.cell.starts()
            end = ended(number, order, EndKind.FAILED)
            self.cell.report(order.worker_id, ended=[end])
        self.cell.commit()
        self.assertIs(self.cell.scheduler.state_of(JOB), JobState.FAILED)

    def test_failed_runs_that_are_told_out_of_order_all_count(self):
        """A new leader reads the ends of several workers in any order."""
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), queue=BACKGROUND))
        cell.report("a", ended=[EndedRun(1, task(), 2, EndKind.FAILED, "")])
        cell.report("b", ended=[EndedRun(1, task(), 1, EndKind.FAILED, "")])
        cell.commit()
        self.assertIs(cell.scheduler.state_of(JOB), JobState.FAILED)

    def test_a_failed_run_that_is_told_again_counts_once(self):
        cell = Cell(entry("a"), epoch=2)
        stored = Progress(JobState.RUNNING, failures={(0, 0, 0): (1,)})
        cell.accept(job(step(), queue=BACKGROUND), stored)
        cell.report("a", ended=[EndedRun(1, task(), 1, EndKind.FAILED, "")])
        self.assertEqual(len(cell.starts()), 1)

    def test_a_stopped_run_resumes_from_its_checkpoint(self):
        self.cell.accept(job(step(checkpointable=True)))
        (first,) = self.cell.starts()
        end = ended(1, first, EndKind.STOPPED, checkpoint="point")
        self.cell.report(first.worker_id, ended=[end])
        (second,) = self.cell.starts()
        self.assertEqual(second.checkpoint, "point")

    def test_a_lasting_task_starts_again_however_it_ended(self):
        for number, kind in enumerate((EndKind.DONE, EndKind.FAILED, EndKind.LAPSED)):
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
        effects = self.cell.report("a", born=2_000, clock_ms=5)
        self.assertEqual([stop.run for stop in stops(effects)], [self.order.run])
        self.assertEqual(self.cell.starts(), [])
        self.cell.report("a", born=2_000, clock_ms=400)
        self.assertEqual(self.cell.starts(), [])
        self.cell.handle(StopAnswered("a", self.order.task, self.order.run, 410))
        self.cell.report("a", born=2_000, clock_ms=500)
        self.assertEqual(len(self.cell.starts()), 1)

    def test_a_listed_run_of_a_restarted_worker_starts_again_at_once(self):
        self.cell.report("a", running=[running(self.order)])
        self.cell.report("a", born=2_000, clock_ms=5)
        self.assertEqual(len(self.cell.starts()), 1)

    def test_an_answer_of_another_life_is_not_compared_with_older_lists(self):
        self.cell.answer(self.order, StartResult.STARTED, clock_ms=100)
        self.cell.report("a", clock_ms=int(self.cell.now_ms) + 50)
        self.assertEqual(self.cell.starts(), [])


class TakeoverTests(unittest.TestCase):
    def test_what_runs_is_adopted(self):
        cell = Cell(entry("a"), epoch=2)
        cell.accept(job(step()))
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        self.assertEqual(cell.starts(), [])
        self.assertIs(cell.scheduler.state_of(JOB), JobState.RUNNING)

    def test_a_worker_that_is_silent_after_its_first_list_keeps_its_runs(self):
        """The predecessor's lease goes on, though this leader granted none."""
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step()))
        cell.report("a", running=[RunningTask(task(), 1, "", 30, 0)])
        cell.report("b")
        cell.handle(WorkerSilent("a"))
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
        cell.report("a", ended=[EndedRun(1, task(), 1, EndKind.DONE, "")])
        self.assertEqual([o.task for o in cell.starts()], [task(step_number=1)])

    def test_a_step_after_an_end_that_is_only_told_may_run_elsewhere(self):
        cell = Cell(entry("a"), entry("b"), epoch=2)
        cell.accept(job(step(), step(after=(0,))))
        cell.report("a", ended=[EndedRun(1, task(), 1, EndKind.DONE, "")])
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
            EndedRun(1, unknown, 1, EndKind.DONE, ""),
            EndedRun(2, task(), 1, EndKind.DONE, ""),
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
            "ended": {"ended": [EndedRun(1, task(), 1, EndKind.DONE, "")]},
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
        cell.report("a", born=2_000)
        self.assertEqual(len(cell.starts()), 1)

    def test_an_end_of_an_unknown_job_is_kept_until_the_jobs_were_read(self):
        """Without the store a leader cannot know that there is no such job."""
        cell = Cell(entry("a"), epoch=2)
        ends = [EndedRun(1, task(), 1, EndKind.DONE, "")]
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
        cell.report("a", ended=[EndedRun(1, task(), 1, EndKind.DONE, "")])
        self.assertFalse(cell.scheduler.has_unstored_ends("a"))
        cell.accept(job(step()))
        cell.report("a", ended=[EndedRun(1, task(), 1, EndKind.DONE, "")])
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
        self.cell.handle(WorkerSilent("a"))
        self.cell.wait(10)
        roster = self.cell.commit().roster
        self.assertEqual(roster["a"], RosterEntry("a:1", (JOB,), "zone"))
        self.assertEqual(roster["b"].jobs, None)

    def test_a_silent_or_leaving_worker_without_runs_is_dropped(self):
        self.cell.handle(WorkerSilent("a"))
        self.cell.handle(WorkersListed((entry("a"), entry("b", draining=True))))
        self.cell.wait(10)
        self.assertEqual(self.cell.commit().roster, {})

    def test_nothing_starts_on_a_worker_that_is_back_before_that_is_stored(self):
        self.cell.handle(WorkerSilent("a"))
        self.cell.handle(WorkerSilent("b"))
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
        self.cell.handle(WorkerSilent("a"))
        self.cell.handle(WorkerSilent("b"))
        self.cell.wait(10)
        self.cell.scheduler.take_commit(100)
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


class ZoneTests(unittest.TestCase):
    """A job that is confined to a zone is not held up by the cut of another."""

    def setUp(self):
        self.near = entry("near", cpu=2_000, zone="near")
        self.far = entry("far", zone="far")
        self.cell = Cell(self.near, self.far)
        self.cell.hear_all()

    def accept(self, width, progress=None, cell=None):
        confined = job(step(width=width))._replace(zone="near")
        (cell or self.cell).accept(confined, progress)

    def test_a_confined_job_starts_in_its_zone_alone(self):
        self.accept(1)
        self.assertEqual([each.worker_id for each in self.cell.starts()], ["near"])

    def test_a_job_leaves_its_zone_only_after_that_is_stored(self):
        """A successor would take it for certain that it does not run outside."""
        self.accept(6)
        starts = self.cell.starts()
        self.assertEqual({each.worker_id for each in starts}, {"near"})
        commit = self.cell.scheduler.take_commit(10)
        self.assertTrue(commit.progress[JOB].is_spread)
        self.assertEqual(self.cell.starts(), [])
        self.cell.scheduler.committed(commit, self.cell.now_ms, self.cell.now_ms)
        self.assertEqual({each.worker_id for each in self.cell.starts()}, {"far"})

    def test_a_job_without_workers_in_its_zone_leaves_it(self):
        lonely = job(step())._replace(zone="empty")
        self.cell.accept(lonely)
        self.assertEqual(self.cell.starts(), [])
        self.cell.commit()
        self.assertEqual(len(self.cell.starts()), 1)

    def test_an_old_job_stays_at_home_while_workers_are_unheard(self):
        """Elsewhere it would have to wait for them."""
        cell = Cell(self.near, self.far, epoch=2)
        cell.report("near")
        self.accept(3, cell=cell)
        self.assertEqual(len(cell.starts()), 2)
        self.assertEqual(cell.commit().progress, {})
        cell.report("far")
        cell.scheduler.dispatch(cell.now_ms)
        self.assertTrue(cell.commit().progress[JOB].is_spread)

    def test_a_new_leader_spreads_no_job_before_it_has_heard_workers(self):
        cell = Cell(self.near, self.far, epoch=2)
        self.accept(1, cell=cell)
        self.assertEqual(cell.commit().progress, {})

    def test_only_unheard_workers_where_it_may_run_hold_an_old_job_up(self):
        spread = Progress(JobState.QUEUED, is_spread=True)
        for heard, progress, may_start in (
            ("near", None, True),
            ("far", None, False),
            ("near", spread, False),
        ):
            with self.subTest(heard=heard, progress=progress):
                cell = Cell(self.near, self.far, epoch=2)
                cell.report(heard)
                self.accept(1, progress, cell)
                self.assertEqual(bool(cell.starts()), may_start)


class SilenceTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        # After this time no lease of an earlier leader is left.
        self.cell.now_ms += 9_000
        self.cell.commit()
        self.cell.hear_all()
        self.cell.accept(job(step()))
        (self.order,) = self.cell.starts()
        self.cell.started(self.order)
        self.cell.scheduler.look_order(self.order.worker_id, self.cell.now_ms)
        self.other = "b" if self.order.worker_id == "a" else "a"

    def test_a_task_of_a_silent_worker_waits_for_the_end_of_its_lease(self):
        self.cell.handle(WorkerSilent(self.order.worker_id))
        for _ in range(4):
            self.cell.wait(1_000)
            self.cell.commit()
            self.cell.report(self.other)
        self.assertEqual(self.cell.starts(), [])
        self.cell.wait(1_000)
        self.cell.report(self.other)
        self.assertEqual([o.worker_id for o in self.cell.starts()], [self.other])

    def test_a_silent_worker_gets_no_new_lease(self):
        self.cell.handle(WorkerSilent("a"))
        look = self.cell.scheduler.look_order("a", self.cell.now_ms)
        self.assertIsNone(look.until_clock_ms)

    def test_a_silent_worker_is_not_told_to_forget_ends(self):
        """It may have restarted, and its numbers of ends begin anew."""
        worker_id = self.order.worker_id
        self.cell.report(worker_id, ended=[ended(1, self.order)])
        self.cell.commit()
        self.cell.handle(WorkerSilent(worker_id))
        look = self.cell.scheduler.look_order(worker_id, self.cell.now_ms)
        self.assertEqual(look.last_seen, 0)

    def test_a_leader_without_proof_neither_renews_nor_starts(self):
        self.cell.now_ms += 3_500
        look = self.cell.scheduler.look_order(self.other, self.cell.now_ms)
        self.assertIsNone(look.until_clock_ms)
        self.cell.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(self.cell.starts(), [])

    def test_most_workers_are_proof_while_the_store_is_down(self):
        self.cell.now_ms += 3_500
        self.cell.hear_all()
        look = self.cell.scheduler.look_order(self.other, self.cell.now_ms)
        self.assertIsNotNone(look.until_clock_ms)


class HealthTests(unittest.TestCase):
    def test_a_worker_that_fails_several_jobs_is_taken_out_of_use(self):
        cell = Cell(*(entry(name) for name in "abcde"))
        cell.report("a")
        cell.accept(job(step()))
        cell.accept(job(step(), job_id="00000000000000ab"))
        for number in (1, 3):
            orders = cell.starts()
            ends = [
                ended(number + place, order, EndKind.FAILED)
                for place, order in enumerate(orders)
            ]
            cell.report("a", ended=ends)
        cell.accept(job(step(), job_id="00000000000000ff"))
        self.assertEqual(cell.starts(), [])
        cell.wait(6_500)
        cell.commit()
        cell.report("a")
        self.assertTrue(cell.starts())

    def test_failures_of_one_job_do_not_take_a_worker_out_of_use(self):
        cell = Cell(entry("a"), entry("b"), entry("c"), entry("d"), entry("e"))
        cell.report("a")
        cell.accept(job(step(width=4), queue=BACKGROUND._replace(attempts=9)))
        for number, order in enumerate(cell.starts()):
            cell.report("a", ended=[ended(number + 1, order, EndKind.FAILED)])
        self.assertTrue(cell.starts())

    def test_a_run_without_progress_is_stopped(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(estimate_ms=1_000)))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=20)])
        found = []
        for _ in range(5):
            cell.now_ms += 700
            cell.report("a", running=[running(order, percent=20)])
            found.extend(stops(cell.wait(0)))
        self.assertEqual(found[0].task, order.task)


class LeavingTests(unittest.TestCase):
    def test_a_lasting_task_moves_before_its_worker_is_gone(self):
        cell = Cell(entry("a"), entry("b"))
        cell.hear_all()
        cell.accept(job(step(long_running=True), queue=LASTING))
        (order,) = cell.starts()
        cell.report(order.worker_id, running=[running(order, percent=100)])
        leaving = entry(order.worker_id, draining=True, remaining_ms=9_000)
        cell.handle(WorkersListed((leaving,)))
        self.assertEqual([stop.task for stop in stops(cell.wait(10))], [order.task])

    def test_a_run_that_ends_in_time_is_left_alone(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(estimate_ms=1_000)))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=50)])
        leaving = entry("a", draining=True, remaining_ms=5_000)
        cell.handle(WorkersListed((leaving,)))
        self.assertEqual(stops(cell.wait(10)), [])


class PreemptionTests(unittest.TestCase):
    def test_a_run_that_saves_its_work_is_stopped_for_urgent_work(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(
            job(
                step(checkpointable=True),
                queue=BACKGROUND,
                job_id="00000000000000ab",
            )
        )
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=60)])
        cell.accept(job(step()))
        self.assertEqual([stop.run for stop in stops(cell.dispatch())], [order.run])

    def test_a_run_that_would_lose_its_work_is_not_stopped(self):
        cell = Cell(entry("a", cpu=1_000))
        cell.hear_all()
        cell.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        (order,) = cell.starts()
        cell.report("a", running=[running(order, percent=60)])
        cell.accept(job(step()))
        self.assertEqual(stops(cell.dispatch()), [])


class AdviceTests(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(entry("a"), entry("b"))
        self.cell.hear_all()
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (self.question,) = self.ask()

    def ask(self):
        return [each for each in self.cell.dispatch() if isinstance(each, AskAdvice)]

    def test_a_task_starts_only_with_a_ticket_for_its_worker(self):
        self.assertEqual(sorted(self.question.workers), ["a", "b"])
        self.cell.advise(self.question, {"b": "ticket"})
        orders = self.cell.starts()
        self.assertEqual(
            [(o.worker_id, o.ticket) for o in orders], [("b", "ticket")] * 2
        )

    def test_a_ticket_is_renewed_only_for_approved_workers(self):
        self.cell.advise(self.question, {"b": "ticket"})
        orders = self.cell.starts()
        for order in orders:
            self.cell.answer(order, StartResult.NO_ROOM)
        self.cell.now_ms += 2_100
        self.cell.hear_all()
        (again,) = self.ask()
        self.assertEqual(again.workers, ("b",))

    def test_a_question_without_an_answer_is_asked_again(self):
        self.cell.advise(self.question, None)
        self.cell.now_ms += 200
        (again,) = self.ask()
        self.assertEqual(again.workers, self.question.workers)

    def test_a_ticket_is_of_no_use_for_the_next_life_of_a_worker(self):
        self.cell.advise(self.question, {"a": "ticket", "b": "ticket"})
        self.cell.report("a", born=2_000, clock_ms=10)
        self.cell.report("b", born=2_000, clock_ms=10)
        self.assertEqual(self.cell.starts(), [])


class NamedWorkersTests(unittest.TestCase):
    """Each worker named in a question makes the answer later."""

    def setUp(self):
        entries = [entry(f"w{place:02}", cpu=4_000) for place in range(50)]
        self.cell = Cell(*entries, entry("wide", cpu=8_000))
        self.cell.hear_all()

    def questions(self):
        return [each for each in self.cell.dispatch() if isinstance(each, AskAdvice)]

    def test_of_many_workers_those_with_the_most_room_are_named(self):
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (question,) = self.questions()
        self.assertEqual(len(question.workers), 30)
        self.assertIn("wide", question.workers)

    def test_a_wide_step_names_as_many_as_it_may_need(self):
        self.cell.accept(job(step(width=60), queue=ADVISED))
        (question,) = self.questions()
        self.assertGreater(len(question.workers), 30)

    def test_the_others_are_named_when_too_few_were_approved(self):
        self.cell.accept(job(step(width=2), queue=ADVISED))
        (first,) = self.questions()
        self.cell.wait(1_000)
        self.cell.advise(first, {})
        (second,) = self.questions()
        self.assertEqual(set(first.workers) & set(second.workers), set())

    def test_a_worker_with_the_required_label_is_named(self):
        self.cell.accept(job(step(width=2, required_label="b"), queue=ADVISED))
        self.assertEqual(self.questions(), [])


class SlowAdviceTests(unittest.TestCase):
    def test_no_slow_question_is_asked_while_no_host_may_ask_it(self):
        """It would stand before the urgent questions of the leader."""
        slow = BACKGROUND._replace(advice=AdvicePolicy(500.0, 5.0, 2_500.0))
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(), queue=slow))
        self.assertEqual(cell.dispatch(), [])
        cell.handle(Tick(0, helpers=1))
        self.assertEqual(len(cell.dispatch()), 1)

    def test_as_many_slow_questions_are_asked_as_there_are_hosts_to_ask_them(self):
        slow = BACKGROUND._replace(advice=AdvicePolicy(400.0, 5.0, 2_000.0))
        cell = Cell(entry("a"))
        cell.hear_all()
        for number in range(5):
            cell.accept(job(step(), queue=slow, job_id=f"{number:016x}"))
        cell.handle(Tick(0, 3))
        asked = [each for each in cell.dispatch() if isinstance(each, AskAdvice)]
        self.assertEqual(len(asked), 3)


class PacingTests(unittest.TestCase):
    def test_fillers_rest_while_a_task_beside_them_is_over_its_target(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        serving = step(long_running=True, target_ms=100)
        cell.accept(job(serving, queue=LASTING))
        filler = step(fills=True, estimate_ms=60_000)
        cell.accept(job(filler, queue=BACKGROUND, job_id="00000000000000ab"))
        orders = {order.task.job_id: order for order in cell.starts()}
        paces = []
        for load in (150, 150, 150, 20, 20, 20, 20, 20, 20):
            cell.now_ms += 700
            cell.report(
                "a",
                running=[
                    running(orders[JOB], percent=100, load=load),
                    running(orders["00000000000000ab"]),
                ],
            )
            effects = cell.wait(0)
            paces += [each.percent for each in effects if isinstance(each, PaceRun)]
        self.assertEqual(paces, [0, 100])


class CancellationTests(unittest.TestCase):
    def test_a_cancelled_job_stops_and_starts_nothing(self):
        cell = Cell(entry("a"))
        cell.hear_all()
        cell.accept(job(step(width=2)))
        orders = cell.starts()
        self.assertEqual(len(stops(cell.handle(JobCancelled(JOB)))), len(orders))
        cell.report("a", ended=[ended(1, orders[0], EndKind.STOPPED)])
        self.assertEqual(cell.starts(), [])
        self.assertIs(cell.scheduler.state_of(JOB), JobState.CANCELLED)

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
        kept_ms = FleetSettings().keep_final_ms
        self.assertEqual(scheduler.expired(self.cell.now_ms + kept_ms - 1, 9), ())
        self.assertEqual(scheduler.expired(self.cell.now_ms + kept_ms, 9), (JOB,))

    def test_the_progress_of_a_forgotten_job_goes_with_a_commit(self):
        scheduler = self.cell.scheduler
        scheduler.forget((JOB,))
        self.assertIsNone(scheduler.state_of(JOB))
        commit = scheduler.take_commit(9)
        self.assertEqual(commit.forgotten, (JOB,))
        scheduler.not_committed(commit)
        self.assertEqual(scheduler.take_commit(9).forgotten, (JOB,))


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
