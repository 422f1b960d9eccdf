"""Tests of tasks under which workers crash, and of tasks beside them."""

import unittest

from marigoldpath_core.fleet import (
    StartRun,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import JobState
from tests.core.fleet_fixture import (
    LONG_RUNNING,
    FleetHarness,
    entry,
    job,
    running,
    step,
)

DEADLY = "00000000000000dd"
# A task that crashes its workers must not be started this often after three crashes.
MAX_STARTS_AFTER_THREE_CRASHES = 2
TICK_MS = 100


class CrashWorld:
    """A leader with workers that crash 10 ms after a start of task 0 of DEADLY.

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
        self.epoch = 0
        self.now_ms = 10_000.0
        self.elect()

    def _new_entry(self):
        self.started += 1
        return entry(f"w{self.started}")

    def elect(self):
        self.epoch += 1
        self.harness = FleetHarness(*self.entries, epoch=self.epoch)
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
        for job_id, progress in self.harness.commit().progress.items():
            self.stored[job_id][1] = progress

    def execute(self, command: StartRun):
        worker_id = command.worker_id
        if worker_id in self.crashed:
            return
        self.starts.append((self.now_ms, command))
        self.running.setdefault(worker_id, []).append(command)
        if command.task.job_id == DEADLY and command.task.task_index == 0:
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
            and command.task.job_id == DEADLY
            and command.task.task_index == 0
        )

    def state(self, job_id):
        self.commit()
        return self.harness.scheduler.job_state(job_id)


class DeadlyTaskTests(unittest.TestCase):
    def play(self, *jobs, for_ms=60_000, **options):
        world = CrashWorld(*jobs, **options)
        world.run(for_ms)
        return world

    def assert_given_up(self, world):
        self.assertGreaterEqual(len(world.crash_ms), 2)
        self.assertLessEqual(
            world.starts_after_three_crashes(), MAX_STARTS_AFTER_THREE_CRASHES
        )
        self.assertIs(world.state(DEADLY), JobState.FAILED)

    def test_a_task_that_crashes_its_workers_is_given_up(self):
        self.assert_given_up(self.play(job(step(width=3), job_id=DEADLY)))

    def test_a_long_running_task_that_crashes_its_workers_is_given_up(self):
        accepted = job(step(long_running=True), queue=LONG_RUNNING, job_id=DEADLY)
        self.assert_given_up(self.play(accepted))

    def test_a_gang_whose_member_crashes_its_workers_is_given_up(self):
        accepted = job(step(width=2, gang=True), job_id=DEADLY)
        self.assert_given_up(self.play(accepted, workers=6))

    def test_crashes_count_also_if_each_leader_is_lost_with_the_worker(self):
        world = self.play(job(step(), job_id=DEADLY), loses_leader=True)
        self.assert_given_up(world)


if __name__ == "__main__":
    unittest.main()
