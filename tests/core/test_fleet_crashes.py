"""Tests of tasks under which workers crash, and of tasks beside them."""

import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    JobCancelled,
    RosterEntry,
    StartRun,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import JobState, RecordedStart
from tests.core.fleet_fixture import (
    JOB,
    LONG_RUNNING,
    FleetHarness,
    entry,
    job,
    running,
    step,
)

CRASHING = "00000000000000dd"
# A task that crashes its workers must not be started this often after three crashes.
MAX_STARTS_AFTER_THREE_CRASHES = 2
TICK_MS = 100
# The lease of a worker that does not reply expires within this time.
LEASE_MS = 5_500


class CrashWorld:
    """A leader with workers that crash 10 ms after a start of task 0 of CRASHING.

    A crashed worker never returns; another one with the same capacity is listed. With
    `loses_leader`, the leader is lost with each crash and another one is elected.
    """

    def __init__(self, *jobs, workers=4, loses_leader=False):
        self.stored = {each.spec.job_id: [each, None] for each in jobs}
        self.loses_leader = loses_leader
        self.started = 0
        self.entries = [self._new_entry() for _ in range(workers)]
        self.running = {}
        self.ended = {}
        self.crashed = set()
        self.starts = []
        self.crash_ms = []
        self.roster = {
            each.worker_id: RosterEntry(each.address, None, each.zone)
            for each in self.entries
        }
        self.epoch = 0
        self.now_ms = 10_000.0
        self.elect()

    def _new_entry(self):
        self.started += 1
        return entry(f"w{self.started}")

    def elect(self):
        self.epoch += 1
        self.harness = FleetHarness(*self.entries, epoch=self.epoch, roster=self.roster)
        self.harness.now_ms = self.now_ms
        for accepted, progress in self.stored.values():
            self.harness.accept(accepted, progress)

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.step()

    def step(self):
        self.harness.handle(WorkersListed(tuple(self.entries)))
        for each in list(self.entries):
            if each.worker_id in self.crashed:
                continue
            self.harness.report(
                each.worker_id,
                [running(command) for command in self.running.get(each.worker_id, ())],
                self.ended.get(each.worker_id, ()),
            )
        commands = self.harness.dispatch_starts()
        self.commit()
        for command in commands:
            self.execute(command)
        self.now_ms += TICK_MS
        self.harness.now_ms = self.now_ms - TICK_MS
        self.harness.advance(TICK_MS)

    def commit(self):
        commit = self.harness.commit()
        for job_id, progress in commit.progress.items():
            self.stored[job_id][1] = progress
        if commit.roster is not None:
            self.roster = commit.roster

    def execute(self, command: StartRun):
        worker_id = command.worker_id
        if worker_id in self.crashed:
            return
        self.starts.append((self.now_ms, command))
        self.running.setdefault(worker_id, []).append(command)
        if command.task.job_id == CRASHING and command.task.task_index == 0:
            self.crash(command)
        else:
            self.harness.confirm_start(command)

    def crash(self, command):
        worker_id = command.worker_id
        self.crashed.add(worker_id)
        self.crash_ms.append(self.now_ms)
        self.running.pop(worker_id)
        if self.loses_leader:
            self.entries = [e for e in self.entries if e.worker_id != worker_id]
            self.entries.append(self._new_entry())
            self.commit()
            self.elect()
            return
        self.harness.confirm_start(command)
        self.harness.handle(WorkerUnresponsive(worker_id, "refused", is_gone=True))
        self.entries.append(self._new_entry())

    def starts_after_three_crashes(self):
        if len(self.crash_ms) < 3:
            return 0
        return sum(
            1
            for at_ms, command in self.starts
            if at_ms > self.crash_ms[2]
            and command.task.job_id == CRASHING
            and command.task.task_index == 0
        )

    def state(self, job_id):
        self.commit()
        return self.harness.scheduler.job_state(job_id)


class CrashingTaskTests(unittest.TestCase):
    def play(self, *jobs, for_ms=60_000, **options):
        world = CrashWorld(*jobs, **options)
        world.run(for_ms)
        return world

    def assert_given_up(self, world):
        self.assertGreaterEqual(len(world.crash_ms), 2)
        self.assertLessEqual(
            world.starts_after_three_crashes(), MAX_STARTS_AFTER_THREE_CRASHES
        )
        self.assertIs(world.state(CRASHING), JobState.FAILED)

    def test_a_task_that_crashes_its_workers_is_given_up(self):
        self.assert_given_up(self.play(job(step(width=3), job_id=CRASHING)))

    def test_a_long_running_task_that_crashes_its_workers_is_given_up(self):
        accepted = job(step(long_running=True), queue=LONG_RUNNING, job_id=CRASHING)
        self.assert_given_up(self.play(accepted))

    def test_a_gang_whose_member_crashes_its_workers_is_given_up(self):
        accepted = job(step(width=2, gang=True), job_id=CRASHING)
        self.assert_given_up(self.play(accepted, workers=6))

    def test_crashes_count_also_if_each_leader_is_lost_with_the_worker(self):
        world = self.play(job(step(), job_id=CRASHING), loses_leader=True)
        self.assert_given_up(world)


class StartOfSuspectTests(unittest.TestCase):
    """The start of a task under which a worker crashed is stored before it is sent."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"), entry("c"))
        self.harness.report_all()
        self.harness.accept(job(step()))

    def crash(self):
        (command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(command)
        event = WorkerUnresponsive(command.worker_id, "refused", is_gone=True)
        self.harness.handle(event)
        return command

    def report_others(self, crashed):
        for each in self.harness.entries:
            if each.worker_id != crashed.worker_id:
                self.harness.report(each.worker_id)

    def restart_after_crash(self):
        """Crash a worker and return its start and the commit with the next one."""
        crashed = self.crash()
        self.harness.advance(LEASE_MS)
        self.report_others(crashed)
        self.assertEqual(self.harness.dispatch_starts(), [])
        return crashed, self.harness.commit()

    def test_a_start_is_sent_after_it_is_stored(self):
        crashed, commit = self.restart_after_crash()
        progress = commit.progress[JOB]
        self.assertEqual(progress.crashes, {(0, 0, 0): (crashed.run,)})
        (command,) = self.harness.dispatch_starts()
        recorded = RecordedStart(command.run, command.worker_id, 1_000)
        self.assertEqual(progress.recorded_starts, {(0, 0, 0): recorded})

    def test_a_report_before_the_start_is_sent_does_not_release_its_capacity(self):
        crashed, _ = self.restart_after_crash()
        self.harness.now_ms += 1_500
        self.report_others(crashed)
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_start_is_not_sent_to_a_worker_whose_capacity_shrank_meanwhile(self):
        crashed, commit = self.restart_after_crash()
        (recorded,) = commit.progress[JOB].recorded_starts.values()
        self.harness.entries = tuple(
            entry(each.worker_id, cpu=500)
            if each.worker_id == recorded.worker_id
            else each
            for each in self.harness.entries
            if each.worker_id != crashed.worker_id
        )
        self.harness.handle(WorkersListed(self.harness.entries))
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.commit()
        (command,) = self.harness.dispatch_starts()
        self.assertNotEqual(command.worker_id, recorded.worker_id)

    def lose_worker(self, crashed, worker_id):
        """Lose a worker that leaves the directory; return the crashes counted."""
        self.harness.handle(WorkerUnresponsive(worker_id))
        self.harness.entries = tuple(
            each
            for each in self.harness.entries
            if each.worker_id not in (crashed.worker_id, worker_id)
        )
        self.harness.handle(WorkersListed(self.harness.entries))
        self.harness.advance(LEASE_MS)
        (opened,) = self.harness.open_steps()
        return len(opened.tasks[0].crashed_runs)

    def test_a_stored_start_whose_worker_disappears_without_a_word_counts(self):
        crashed, _ = self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        self.assertEqual(self.lose_worker(crashed, command.worker_id), 2)

    def test_a_start_that_was_never_sent_does_not_count(self):
        crashed, commit = self.restart_after_crash()
        (recorded,) = commit.progress[JOB].recorded_starts.values()
        self.assertEqual(self.lose_worker(crashed, recorded.worker_id), 1)

    def test_a_start_on_a_worker_that_is_cut_off_is_forgotten_in_the_store(self):
        """The next leader must not count a much later end of that worker."""
        self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        self.harness.commit()
        self.harness.handle(WorkerUnresponsive(command.worker_id))
        self.harness.advance(LEASE_MS)
        progress = self.harness.commit().progress[JOB]
        self.assertEqual(progress.recorded_starts, {})
        self.assertEqual(len(progress.crashes[0, 0, 0]), 1)

    def test_a_run_that_outlives_the_window_is_not_blamed_for_a_later_crash(self):
        """The next leader must not count a crash long after the recorded start."""
        crashed, _ = self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(command)
        self.harness.advance(1_500)
        self.harness.report(command.worker_id, [running(command)])
        progress = self.harness.commit().progress[JOB]
        self.assertEqual(progress.recorded_starts, {})
        self.assertEqual(progress.crashes, {(0, 0, 0): (crashed.run,)})

    def test_a_surviving_run_of_a_job_that_has_ended_changes_nothing(self):
        self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        self.harness.confirm_start(command)
        self.harness.handle(JobCancelled(JOB))
        self.harness.commit()
        self.harness.advance(1_500)
        self.harness.report(command.worker_id, [running(command)])
        self.assertEqual(self.harness.commit().progress, {})

    def next_leader(self, commit, *entries):
        harness = FleetHarness(*entries, epoch=2, roster=dict(self.harness_roster()))
        harness.now_ms = self.harness.now_ms
        harness.accept(job(step()), commit.progress[JOB])
        return harness

    def harness_roster(self):
        return {
            each.worker_id: RosterEntry(each.address, None, each.zone)
            for each in self.harness.entries
        }

    def crashes_at_next_leader(self, harness):
        harness.advance(2 * LEASE_MS)
        for each in harness.entries:
            harness.report(each.worker_id, incarnation=each.incarnation)
        harness.advance(2 * LEASE_MS)
        for each in harness.entries:
            harness.report(each.worker_id, incarnation=each.incarnation)
        harness.dispatch()
        progress = harness.commit().progress.get(JOB)
        return len(progress.crashes[0, 0, 0]) if progress else 1

    def test_the_next_leader_counts_a_recorded_start_whose_worker_is_gone(self):
        crashed, commit = self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        others = [
            each
            for each in self.harness.entries
            if each.worker_id not in (crashed.worker_id, command.worker_id)
        ]
        harness = self.next_leader(commit, *others)
        self.assertEqual(self.crashes_at_next_leader(harness), 2)

    def test_the_next_leader_counts_a_recorded_start_whose_worker_restarted(self):
        _, commit = self.restart_after_crash()
        (command,) = self.harness.dispatch_starts()
        restarted = [
            each._replace(incarnation=2_000)
            if each.worker_id == command.worker_id
            else each
            for each in self.harness.entries
        ]
        harness = self.next_leader(commit, *restarted)
        self.assertEqual(self.crashes_at_next_leader(harness), 2)

    def test_the_next_leader_does_not_count_a_start_that_was_never_executed(self):
        _, commit = self.restart_after_crash()
        harness = self.next_leader(commit, *self.harness.entries)
        self.assertEqual(self.crashes_at_next_leader(harness), 1)


class InnocentTaskTests(unittest.TestCase):
    """Guards against tasks that are given up for the end of a worker they survived."""

    def setUp(self):
        self.entries = [entry(f"w{number}") for number in range(8)]
        self.harness = FleetHarness(*self.entries)
        self.harness.report_all()

    def start(self):
        """Start the only waiting task, also if its start has to be stored first."""
        starts = self.harness.dispatch_starts()
        if not starts:
            self.harness.commit()
            starts = self.harness.dispatch_starts()
        (command,) = starts
        self.harness.confirm_start(command)
        return command

    def lose(self, command, after_ms, **fields):
        """Lose the worker of a run `after_ms` after its start, until its lease ends."""
        self.harness.now_ms += after_ms
        event = WorkerUnresponsive(command.worker_id, **fields)
        self.harness.handle(event)
        self.harness.advance(LEASE_MS)
        self.report_others(command.worker_id)

    def report_others(self, worker_id):
        for each in self.entries:
            if each.worker_id != worker_id:
                self.harness.report(each.worker_id)

    def assert_not_given_up(self):
        self.harness.commit()
        state = self.harness.scheduler.job_state(JOB)
        self.assertNotEqual(state, JobState.FAILED)

    def test_a_worker_that_is_cut_off_is_not_blamed_on_a_task(self):
        self.harness.accept(job(step()))
        for _ in range(6):
            self.lose(self.start(), 10)
        self.assert_not_given_up()

    def test_a_worker_that_is_killed_later_is_not_blamed_on_a_task(self):
        self.harness.accept(job(step()))
        for _ in range(6):
            self.lose(self.start(), 1_500, is_gone=True)
        self.assert_not_given_up()

    def test_a_worker_that_was_draining_is_not_blamed_on_a_task(self):
        self.harness.accept(job(step()))
        for _ in range(4):
            command = self.start()
            self.entries = [
                each._replace(draining=True)
                if each.worker_id == command.worker_id
                else each
                for each in self.entries
            ]
            self.harness.handle(WorkersListed(tuple(self.entries)))
            self.lose(command, 10, is_gone=True)
        self.assert_not_given_up()

    def test_a_worker_that_replies_again_is_not_blamed_on_a_task(self):
        """A network fault can refuse connections to a worker that is alive."""
        self.harness.accept(job(step()))
        for _ in range(6):
            command = self.start()
            self.lose(command, 10, is_gone=True)
            self.harness.now_ms += 10
            self.harness.report(command.worker_id)
        self.assert_not_given_up()

    def test_a_task_beside_one_that_crashes_its_workers_is_not_given_up(self):
        crashing, innocent = job(step(), job_id=CRASHING), job(step(estimate_ms=60_000))
        world = CrashWorld(crashing, innocent, workers=2)
        world.run(60_000)
        self.assertIs(world.state(CRASHING), JobState.FAILED)
        self.assertIs(world.state(JOB), JobState.RUNNING)

    def test_two_suspects_are_not_started_on_one_worker_at_a_time(self):
        self.harness.accept(job(step(width=2)))
        commands = self.harness.dispatch_starts()
        for command in commands:
            self.harness.confirm_start(command)
        gone = {command.worker_id for command in commands}
        for worker_id in gone:
            event = WorkerUnresponsive(worker_id, "refused", is_gone=True)
            self.harness.handle(event)
        self.harness.advance(LEASE_MS)
        alive = [each for each in self.entries if each.worker_id not in gone][:1]
        for each in alive:
            self.harness.report(each.worker_id)
        self.harness.handle(WorkersListed(tuple(alive)))
        self.harness.dispatch()
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)
        self.harness.now_ms += FleetSettings().crash_window_ms + 1
        self.harness.report(alive[0].worker_id)
        self.harness.dispatch()
        self.harness.commit()
        self.assertEqual(len(self.harness.dispatch_starts()), 1)

    def test_a_suspected_gang_is_not_started_beside_another_suspect(self):
        gang = job(step(width=2, gang=True), job_id=CRASHING)
        self.harness.accept(job(step()))
        self.harness.accept(gang)
        for command in self.harness.dispatch_starts():
            self.harness.confirm_start(command)
            event = WorkerUnresponsive(command.worker_id, "refused", is_gone=True)
            self.harness.handle(event)
        gone = self.harness.scheduler._fleet.workers
        self.entries = [e for e in self.entries if not gone[e.worker_id].is_gone][:1]
        self.harness.handle(WorkersListed(tuple(self.entries)))
        self.harness.advance(LEASE_MS)
        for each in self.entries:
            self.harness.report(each.worker_id)
        self.harness.dispatch()
        self.harness.commit()
        starts = self.harness.dispatch_starts()
        jobs = {}
        for command in starts:
            jobs.setdefault(command.worker_id, set()).add(command.task.job_id)
        self.assertTrue(starts)
        self.assertTrue(all(len(each) == 1 for each in jobs.values()), jobs)


if __name__ == "__main__":
    unittest.main()
