"""Tests of placement, gangs, preemption and confinement to zones."""

import unittest

from marigoldpath_core.fleet import (
    JobCancelled,
    RosterEntry,
    StartResult,
    TerminationReason,
    WorkersListed,
)
from marigoldpath_core.jobs import JobState, Progress
from tests.core.fleet_fixture import (
    BACKGROUND,
    JOB,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
    stops,
)


class PlacementTests(unittest.TestCase):
    """Guards against placements that overload a worker or delay more urgent work."""

    def test_no_worker_is_allocated_more_than_its_capacity(self):
        harness = FleetHarness(entry("a", cpu=2_500), entry("b", cpu=2_500))
        harness.report_all()
        harness.accept(job(step(width=9)))
        commands = harness.dispatch_starts()
        counts = {"a": 0, "b": 0}
        for command in commands:
            counts[command.worker_id] += 1
        self.assertEqual(counts, {"a": 2, "b": 2})

    def test_a_stopping_run_keeps_its_resources(self):
        harness = FleetHarness(entry("a", cpu=1_000))
        harness.report_all()
        harness.accept(job(step()))
        (command,) = harness.dispatch_starts()
        harness.confirm_start(command)
        harness.handle(JobCancelled(JOB))
        harness.accept(job(step(), job_id="00000000000000ab"))
        self.assertEqual(harness.dispatch_starts(), [])

    def test_a_required_label_and_a_limit_per_worker_are_respected(self):
        harness = FleetHarness(entry("a", labels=("b", "r")), entry("b"), entry("c"))
        harness.report_all()
        harness.accept(job(step(width=6, required_label="a", max_per_worker=1)))
        self.assertEqual(
            sorted(each.worker_id for each in harness.dispatch_starts()), ["b", "c"]
        )

    def test_urgent_work_starts_before_background_work(self):
        harness = FleetHarness(entry("a", cpu=1_000))
        harness.report_all()
        harness.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        harness.accept(job(step()))
        self.assertEqual(
            [command.task.job_id for command in harness.dispatch_starts()], [JOB]
        )

    def test_background_work_leaves_the_urgent_reserve_free(self):
        harness = FleetHarness(entry("a", cpu=10_000))
        harness.report_all()
        harness.accept(job(step(width=20), queue=BACKGROUND))
        self.assertEqual(len(harness.dispatch_starts()), 8)

    def test_a_task_larger_than_the_background_limit_starts(self):
        harness = FleetHarness(entry("a", cpu=10_000))
        harness.report_all()
        harness.accept(job(step(cpu=9_500), queue=BACKGROUND))
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_no_task_starts_on_a_draining_worker(self):
        harness = FleetHarness(entry("a", draining=True, remaining_ms=9_000))
        harness.report_all()
        harness.accept(job(step()))
        self.assertEqual(harness.dispatch_starts(), [])

    def test_no_task_starts_on_a_worker_missing_in_the_stored_roster(self):
        harness = FleetHarness(entry("a"), roster={})
        harness.report_all()
        harness.accept(job(step()))
        harness.advance(10)
        self.assertEqual(harness.dispatch_starts(), [])
        self.assertEqual(
            harness.commit().roster, {"a": RosterEntry("a:1", None, "zone")}
        )
        self.assertEqual(len(harness.dispatch_starts()), 1)

    def test_a_step_waits_for_its_predecessors(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(), step(after=(0,))))
        (first,) = harness.dispatch_starts()
        harness.report("a", ended=[ended(1, first)])
        self.assertEqual(
            [command.task.step for command in harness.dispatch_starts()], [1]
        )


class PreemptedRoomTests(unittest.TestCase):
    """Guards against a task that preempts the same runs for ever and never starts.

    The room of the run that ends first went to the preempted task again.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=10_000))
        self.harness.report_all()
        small = step(width=2, cpu=4_000, checkpointable=True)
        self.harness.accept(job(small, queue=BACKGROUND, job_id="00000000000000ab"))
        self.first, self.second = self.harness.dispatch_starts()
        for command in (self.first, self.second):
            self.harness.confirm_start(command)
        self.harness.accept(job(step(cpu=9_000)))
        self.assertEqual(len(stops(self.harness.dispatch())), 2)

    def test_the_room_of_a_preempted_run_waits_for_the_other_one(self):
        end = ended(1, self.first, TerminationReason.STOPPED)
        self.harness.report("a", [running(self.second)], [end])
        self.assertEqual(self.harness.dispatch_starts(), [])
        ends = [end, ended(2, self.second, TerminationReason.STOPPED)]
        self.harness.report("a", ended=ends)
        self.assertEqual(
            [each.task.job_id for each in self.harness.dispatch_starts()], [JOB]
        )

    def test_more_urgent_tasks_and_tasks_of_the_same_priority_may_use_it(self):
        end = ended(1, self.first, TerminationReason.STOPPED)
        self.harness.report("a", [running(self.second)], [end])
        self.harness.accept(job(step(), job_id="00000000000000ac"))
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_the_room_is_free_again_once_the_task_no_longer_waits(self):
        ends = [
            ended(1, self.first, TerminationReason.STOPPED),
            ended(2, self.second, TerminationReason.STOPPED),
        ]
        self.harness.report("a", ended=ends)
        self.harness.handle(JobCancelled(JOB))
        self.assertEqual(len(self.harness.dispatch_starts()), 2)

    def test_the_room_is_not_kept_for_longer_than_a_stop_takes(self):
        ends = [
            ended(1, self.first, TerminationReason.STOPPED),
            ended(2, self.second, TerminationReason.STOPPED),
        ]
        self.harness.entries = (entry("a", cpu=8_500),)
        self.harness.handle(WorkersListed(self.harness.entries))
        self.harness.report("a", ended=ends)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.advance(1_500)
        self.harness.commit()
        self.harness.report_all()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)


class CapacityChangeTests(unittest.TestCase):
    """A worker's capacity may shrink and grow while it runs tasks."""

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=4_000))
        self.harness.report_all()
        self.harness.accept(job(step(width=8)))
        self.commands = self.harness.dispatch_starts()
        for command in self.commands:
            self.harness.confirm_start(command)

    def resize(self, cpu, memory=100_000):
        self.harness.entries = (entry("a", cpu=cpu, memory=memory),)
        self.harness.handle(WorkersListed(self.harness.entries))

    def report(self, ended_count):
        done, still_running = self.commands[:ended_count], self.commands[ended_count:]
        self.harness.report(
            "a",
            [running(command) for command in still_running],
            [ended(number, command) for number, command in enumerate(done, 1)],
        )

    def test_runs_beyond_a_capacity_that_shrank_count_until_they_have_ended(self):
        self.assertEqual(len(self.commands), 4)
        self.resize(2_000)
        self.report(2)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.report(3)
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_run_that_is_being_stopped_counts_towards_a_capacity_that_shrank(self):
        self.harness.handle(JobCancelled(JOB))
        self.resize(2_000)
        self.harness.accept(job(step(width=4), job_id="00000000000000ab"))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.report(2)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.report(4)
        self.assertEqual(len(self.harness.dispatch_starts()), 2)

    def test_memory_that_shrank_limits_starts_as_well(self):
        self.resize(8_000, memory=400)
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_capacity_that_grew_is_used(self):
        self.resize(6_000)
        self.assertEqual(len(self.harness.dispatch_starts()), 2)

    def test_a_gang_does_not_start_on_a_capacity_that_shrank(self):
        self.report(4)
        self.resize(2_000)
        self.harness.accept(job(step(width=3, gang=True), job_id="00000000000000ab"))
        starts = self.harness.dispatch_starts()
        self.assertTrue(all(each.task.job_id == JOB for each in starts))
        self.assertEqual(len(starts), 2)


class GangTests(unittest.TestCase):
    """Guards against a part of a gang that occupies workers without the rest."""

    def test_a_gang_starts_as_a_whole_with_one_run_number(self):
        harness = FleetHarness(entry("a", cpu=2_000), entry("b", cpu=2_000))
        harness.report_all()
        harness.accept(job(step(width=5, gang=True)))
        self.assertEqual(harness.dispatch_starts(), [])
        harness.accept(job(step(width=4, gang=True), job_id="00000000000000ab"))
        commands = harness.dispatch_starts()
        self.assertEqual(
            (len(commands), {command.run for command in commands}), (4, {1})
        )

    def test_a_gang_too_large_for_the_background_limit_starts(self):
        harness = FleetHarness(entry("a", cpu=10_000), entry("b", cpu=10_000))
        harness.report_all()
        harness.accept(job(step(width=4, cpu=5_000, gang=True), queue=BACKGROUND))
        self.assertEqual(len(harness.dispatch_starts()), 4)

    def test_a_refused_member_stops_the_others(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(width=2, gang=True)))
        first, second = harness.dispatch_starts()
        harness.confirm_start(first)
        (stop,) = stops(harness.reply_to_start(second, StartResult.NO_FREE_CAPACITY))
        self.assertEqual(stop.task, first.task)

    def test_a_member_missing_in_a_report_stops_the_others(self):
        harness = FleetHarness(entry("a"), entry("b"))
        harness.report_all()
        harness.accept(job(step(width=2, gang=True, max_per_worker=1)))
        first, second = harness.dispatch_starts()
        harness.confirm_start(first)
        harness.reply_to_start(second, StartResult.UNKNOWN)
        harness.now_ms += 2_000
        (stop,) = stops(harness.report(second.worker_id))
        self.assertEqual(stop.task, first.task)

    def test_one_completion_completes_the_whole_gang(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(width=2, gang=True)))
        first, second = harness.dispatch_starts()
        harness.report("a", running=[running(second)], ended=[ended(1, first)])
        harness.commit()
        self.assertIs(harness.scheduler.job_state(JOB), JobState.DONE)


class PreemptionTests(unittest.TestCase):
    """Preemption must not lose the work of runs without a checkpoint."""

    def test_a_run_with_checkpoints_is_preempted_for_urgent_work(self):
        harness = FleetHarness(entry("a", cpu=1_000))
        harness.report_all()
        harness.accept(
            job(
                step(checkpointable=True),
                queue=BACKGROUND,
                job_id="00000000000000ab",
            )
        )
        (command,) = harness.dispatch_starts()
        harness.report("a", running=[running(command, percent=60)])
        harness.accept(job(step()))
        self.assertEqual(
            [stop.run for stop in stops(harness.dispatch())], [command.run]
        )

    def test_a_run_that_would_lose_its_work_is_not_preempted(self):
        harness = FleetHarness(entry("a", cpu=1_000))
        harness.report_all()
        harness.accept(job(step(), queue=BACKGROUND, job_id="00000000000000ab"))
        (command,) = harness.dispatch_starts()
        harness.report("a", running=[running(command, percent=60)])
        harness.accept(job(step()))
        self.assertEqual(stops(harness.dispatch()), [])


class ZoneTests(unittest.TestCase):
    """A job confined to its zone must not wait for workers of an unreachable zone."""

    def setUp(self):
        self.near = entry("near", cpu=2_000, zone="near")
        self.far = entry("far", zone="far")
        self.harness = FleetHarness(self.near, self.far)
        self.harness.report_all()

    def accept(self, width, progress=None, harness=None):
        confined = job(step(width=width))._replace(zone="near")
        (harness or self.harness).accept(confined, progress)

    def test_a_confined_job_starts_only_in_its_zone(self):
        self.accept(1)
        self.assertEqual(
            [each.worker_id for each in self.harness.dispatch_starts()], ["near"]
        )

    def test_a_job_leaves_its_zone_only_after_that_is_stored(self):
        """Until then, the next leader would assume that it runs only in its zone."""
        self.accept(6)
        starts = self.harness.dispatch_starts()
        self.assertEqual({each.worker_id for each in starts}, {"near"})
        commit = self.harness.scheduler.begin_commit(10)
        self.assertTrue(commit.progress[JOB].may_leave_zone)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.scheduler.commit_succeeded(
            commit, self.harness.now_ms, self.harness.now_ms
        )
        self.assertEqual(
            {each.worker_id for each in self.harness.dispatch_starts()}, {"far"}
        )

    def test_a_job_without_workers_in_its_zone_leaves_it(self):
        unplaceable = job(step())._replace(zone="empty")
        self.harness.accept(unplaceable)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_an_earlier_job_stays_confined_until_workers_have_reported(self):
        """Outside its zone it would have to wait for the unreported workers."""
        harness = FleetHarness(self.near, self.far, epoch=2)
        harness.report("near")
        self.accept(3, harness=harness)
        self.assertEqual(len(harness.dispatch_starts()), 2)
        self.assertEqual(harness.commit().progress, {})
        harness.report("far")
        harness.scheduler.dispatch(harness.now_ms)
        self.assertTrue(harness.commit().progress[JOB].may_leave_zone)

    def test_a_new_leader_keeps_jobs_confined_until_workers_have_reported(self):
        harness = FleetHarness(self.near, self.far, epoch=2)
        self.accept(1, harness=harness)
        self.assertEqual(harness.commit().progress, {})

    def test_an_earlier_job_waits_only_for_workers_that_may_run_it(self):
        outside_zone = Progress(JobState.QUEUED, may_leave_zone=True)
        for reported_worker, progress, may_start in (
            ("near", None, True),
            ("far", None, False),
            ("near", outside_zone, False),
        ):
            with self.subTest(reported_worker=reported_worker, progress=progress):
                harness = FleetHarness(self.near, self.far, epoch=2)
                harness.report(reported_worker)
                self.accept(1, progress, harness)
                self.assertEqual(bool(harness.dispatch_starts()), may_start)


if __name__ == "__main__":
    unittest.main()
