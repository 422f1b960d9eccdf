"""Tests of commands that the next incarnation of a worker executes.

A worker that restarts under its id begins without runs, with another clock and without
a fencing token. It may receive commands that were meant for the incarnation before.
"""

import random
import unittest

from marigoldpath_core.fleet import (
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    RosterEntry,
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    Tick,
    WorkerReport,
    WorkersListed,
    WorkerUnresponsive,
    fencing_token,
)
from marigoldpath_core.jobs import JobState, Progress, TaskKey
from tests.core.fleet_fixture import (
    BACKGROUND,
    JOB,
    FleetHarness,
    entry,
    job,
    running,
    step,
    stops,
)

# With a longest lease as on Sfax.
SETTINGS = FleetSettings(longest_lease_ms=10_000)
STEP_MS = 50
POLL_TIMEOUT_MS = 1_600
WALL_MS = 1_000_000_000
SEEDS = 60
# The age of the workers that do not restart.
OLD_MS = 100_000


class RealWorker:
    """A worker with a true lease; its clock begins anew with each incarnation.

    While it is down, messages are held. The next incarnation executes those that are
    not lost.
    """

    def __init__(self, rng):
        self.rng = rng
        self.held = []
        self.is_down = self.is_cut = False
        self.begin(0.0)

    def begin(self, now_ms):
        self.born_ms = now_ms
        self.clock_start = self.rng.uniform(0, 500)
        self.rate = self.rng.uniform(0.98, 1.0)
        self.token = 0
        self.until_ms = 0.0
        self.runs = {}

    def clock_ms(self, now_ms):
        return int(self.clock_start + (now_ms - self.born_ms) * self.rate)

    def extend(self, until_ms, now_ms):
        longest_ms = self.clock_ms(now_ms) + SETTINGS.longest_lease_ms
        self.until_ms = max(self.until_ms, min(until_ms, longest_ms))

    def is_running(self, task, now_ms):
        return task in self.runs and self.clock_ms(now_ms) <= self.until_ms

    def receive_poll(self, poll, token, now_ms):
        """Return the reply to a poll, None if the token is too low."""
        if token < self.token:
            return None
        self.token = token
        if poll.until_clock_ms is not None:
            self.extend(poll.until_clock_ms, now_ms)
        rows = [
            RunningTask(task, run, "", 10, 0)
            for task, run in self.runs.items()
            if self.is_running(task, now_ms)
        ]
        return self.clock_ms(now_ms), int(WALL_MS + self.born_ms), tuple(rows)

    def receive_start(self, command, token, now_ms):
        if token < self.token:
            return StartResult.FENCED
        self.token = token
        if command.until_clock_ms < self.clock_ms(now_ms):
            return StartResult.EXPIRED
        self.extend(command.until_clock_ms, now_ms)
        self.runs[command.task] = command.run
        return StartResult.STARTED


class Play:
    """One leader after the other, a worker that restarts, and a spare one.

    The spare worker is listed once the other one is cut off.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.worker = RealWorker(self.rng)
        self.has_spare = False
        self.epoch = 0
        self.roster = {}
        self.spare_starts = []
        self.overlaps = []
        self.accepted = job(step(long_running=True), queue=BACKGROUND, epoch=1)
        self.replace_leader()

    def entries(self):
        born_ms = int(WALL_MS + self.worker.born_ms)
        entries = [entry("a", incarnation=born_ms)]
        if self.has_spare:
            born_ms = WALL_MS - OLD_MS
            entries.append(entry("spare", incarnation=born_ms))
            # With it, most of the workers reply.
            entries.append(entry("small", cpu=10, incarnation=born_ms))
        return tuple(entries)

    def replace_leader(self):
        self.epoch += 1
        self.poll_sent_ms = None
        self.scheduler = FleetScheduler(
            SETTINGS, self.epoch, dict(self.roster), self.now_ms
        )
        self.handle(Tick(self.wall_ms()))
        self.handle(JobAccepted(self.accepted, Progress(JobState.RUNNING)))
        self.handle(WorkersListed(self.entries()))

    def wall_ms(self):
        return int(WALL_MS + self.now_ms)

    def handle(self, event):
        self.scheduler.handle(event, self.now_ms)

    def run(self, for_ms):
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms += STEP_MS
            self.poll()
            if self.has_spare:
                self.report_others()
            self.handle(Tick(self.wall_ms()))
            self.scheduler.dispatch(self.now_ms)
            for effect in self.scheduler.take_effects():
                if isinstance(effect, StartRun):
                    self.start(effect)
            commit = self.scheduler.begin_commit(9)
            self.scheduler.commit_succeeded(commit, self.now_ms, self.now_ms)
            if commit.roster is not None:
                self.roster = commit.roster

    def poll(self):
        if self.poll_sent_ms is not None:
            if self.now_ms - self.poll_sent_ms > POLL_TIMEOUT_MS:
                self.poll_sent_ms = None
                self.handle(WorkerUnresponsive("a", "no reply"))
            return
        poll = self.scheduler.next_poll("a", self.now_ms)
        if poll is None:
            return
        self.poll_sent_ms = self.now_ms
        self.send(poll, self.epoch, self.now_ms)

    def send(self, poll, epoch, sent_ms):
        worker = self.worker
        if worker.is_cut:
            return
        if worker.is_down:
            worker.held.append((poll, epoch, sent_ms))
            return
        reply = worker.receive_poll(
            poll, fencing_token(epoch, poll.restarts), self.now_ms
        )
        is_awaited = epoch == self.epoch and sent_ms == self.poll_sent_ms
        if reply is None or not is_awaited:
            return
        self.poll_sent_ms = None
        clock_ms, born, rows = reply
        self.handle(WorkerReport("a", clock_ms, born, rows, (), sent_ms, poll.restarts))

    def report_others(self):
        rows = tuple(
            RunningTask(each.task, each.run, "", 10, 0) for each in self.spare_starts
        )
        clock_ms = OLD_MS + int(self.now_ms)
        born_ms = WALL_MS - OLD_MS
        for worker_id, running_rows in (("spare", rows), ("small", ())):
            report = WorkerReport(
                worker_id, clock_ms, born_ms, running_rows, (), self.now_ms
            )
            self.handle(report)

    def start(self, command):
        result = StartResult.STARTED
        if command.worker_id == "a":
            token = fencing_token(self.epoch, command.restarts)
            if self.worker.is_cut or self.worker.is_down:
                result = StartResult.NOT_SENT
            else:
                result = self.worker.receive_start(command, token, self.now_ms)
        else:
            if self.worker.is_running(command.task, self.now_ms):
                self.overlaps.append(self.now_ms)
            self.spare_starts.append(command)
        self.handle(
            StartReplied(
                command.worker_id,
                command.task,
                command.run,
                result,
                self.worker.clock_ms(self.now_ms),
                command.restarts,
            )
        )

    def crash(self, down_ms):
        """Let the worker restart; the next incarnation executes what was held."""
        self.worker.is_down = True
        self.run(down_ms)
        self.worker.is_down = False
        self.worker.begin(self.now_ms)
        self.handle(WorkersListed(self.entries()))
        held, self.worker.held = self.worker.held, []
        for message in held:
            self.send(*message)

    def cut(self):
        self.worker.is_cut = True
        self.has_spare = True
        self.handle(WorkersListed(self.entries()))


class FormerIncarnationTests(unittest.TestCase):
    """Guards against a task that is started while a restarted worker still runs it.

    The worker executed a renewal that was meant for its previous incarnation. Its time
    limit was far ahead on the new clock, so the lease was longer than the leader knew.
    """

    def check(self, lose, for_ms):
        """Play a restart, and then a loss, for each seed.

        The task must start again in the end, but not beside its first run.
        """
        started = 0
        for seed in range(SEEDS):
            play = Play(seed)
            play.run(play.rng.uniform(4_000, 9_000))
            play.crash(play.rng.uniform(300, 2_500))
            lose(play)
            play.run(for_ms)
            self.assertEqual(play.overlaps, [], seed)
            started += len(play.spare_starts) == 1
        self.assertEqual(started, SEEDS)

    def test_the_same_leader(self):
        def lose(play):
            play.run(play.rng.uniform(100, 2_500))
            play.cut()

        self.check(lose, 30_000)

    def test_a_successor(self):
        """The next leader cannot reach the worker at all."""

        def lose(play):
            play.run(play.rng.uniform(100, 2_500))
            play.cut()
            play.replace_leader()

        self.check(lose, 40_000)

    def test_a_successor_that_reached_the_worker_once(self):
        def lose(play):
            play.run(play.rng.uniform(100, 500))
            play.replace_leader()
            play.run(play.rng.uniform(50, 300))
            play.cut()

        self.check(lose, 40_000)


class FencingTokenTests(unittest.TestCase):
    """Guards against commands that the next incarnation executes, or replies to."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"))
        self.harness.report_all()
        self.harness.accept(job(step(width=2)))
        self.first, self.second = self.harness.dispatch_starts()
        self.harness.now_ms += 1_500

    def restart(self):
        return self.harness.report("a", incarnation=2_000, clock_ms=5)

    def test_the_token_rises_with_each_restart(self):
        scheduler = self.harness.scheduler
        before = scheduler.next_poll("a", self.harness.now_ms).restarts
        self.restart()
        after = scheduler.next_poll("a", self.harness.now_ms).restarts
        self.assertEqual((before, after), (0, 1))
        self.assertLess(fencing_token(1, before), fencing_token(1, after))

    def test_the_token_of_a_worker_that_was_removed_and_is_back(self):
        """Guards against a worker that refuses the leader, which then ends its term.

        A worker that was only cut off has seen the token before its removal.
        """
        self.restart()
        self.harness.report("a", incarnation=2_000, clock_ms=100, restarts=1)
        self.harness.handle(WorkerUnresponsive("a", "timeout"))
        self.harness.handle(WorkersListed(()))
        for _ in range(200):
            self.harness.advance(200)
        self.assertEqual(self.harness.scheduler.workers, ())
        back = entry("a", incarnation=2_000)
        self.harness.handle(WorkersListed((back,)))
        poll = self.harness.scheduler.next_poll("a", self.harness.now_ms)
        self.assertGreater(poll.restarts, 1)

    def test_the_token_of_a_later_epoch_is_higher(self):
        self.assertLess(fencing_token(1, 10**6), fencing_token(2, 0))

    def test_a_command_for_the_previous_incarnation_that_is_refused(self):
        """Guards against a leader that takes it for a leader of a later epoch."""
        self.restart()
        scheduler = self.harness.scheduler
        self.assertFalse(scheduler.is_fenced("a", 0))
        self.assertTrue(scheduler.is_fenced("a", 1))
        self.harness.reply_to_start(self.first, StartResult.FENCED)
        self.assertFalse(scheduler.is_superseded)

    def test_a_stop_that_the_previous_incarnation_confirmed(self):
        """Guards against its clock, by which a start that is in flight seems absent."""
        self.restart()
        stopped = StopReplied("a", self.first.task, self.first.run, 100)
        self.harness.handle(stopped)
        self.harness.report("a", incarnation=2_000, clock_ms=400)
        self.assertEqual(self.harness.dispatch_starts(), [])

    def test_a_start_that_the_new_incarnation_executes_is_stopped(self):
        effects = self.restart()
        self.assertEqual(len(stops(effects)), 2)
        row = running(self.first)
        self.harness.report("a", [row], incarnation=2_000, clock_ms=300, restarts=1)
        (again,) = self.harness.dispatch_starts()
        self.assertEqual(again.task, self.second.task)

    def test_starts_that_the_new_incarnation_refuses_are_sent_again(self):
        """Guards against a wait for a stop that nothing confirms."""
        self.restart()
        self.harness.report("a", incarnation=2_000, clock_ms=300, restarts=1)
        starts = self.harness.dispatch_starts()
        tasks = [TaskKey(JOB, 0, 0, 0), TaskKey(JOB, 0, 0, 1)]
        self.assertEqual([each.task for each in starts], tasks)
        self.assertEqual([each.restarts for each in starts], [1, 1])


class WaitTests(unittest.TestCase):
    """Guards against waits that are longer than the commands can be late."""

    def play_loss(self, restarts):
        """Return how long a task waits after its worker is lost."""
        harness = FleetHarness(entry("a"), entry("b"))
        harness.report("a")
        harness.accept(job(step(long_running=True)))
        harness.dispatch_starts()
        if restarts:
            harness.now_ms += 1_500
            harness.report("a", incarnation=2_000, clock_ms=5)
            harness.report("a", incarnation=2_000, clock_ms=50, restarts=1)
            harness.now_ms += 20_000
            harness.commit()
            harness.report("a", incarnation=2_000, clock_ms=20_050, restarts=1)
            harness.dispatch_starts()
        (command,) = [
            run.task for run in harness.scheduler._fleet.workers["a"].runs.values()
        ]
        self.assertEqual(command.key, TaskKey(JOB, 0, 0, 0))
        harness.scheduler.next_poll("a", harness.now_ms)
        lost_ms = harness.now_ms
        harness.handle(WorkerUnresponsive("a", "timeout"))
        while harness.now_ms - lost_ms < 60_000:
            harness.now_ms += 100
            harness.report("b")
            harness.handle(Tick(0))
            harness.commit()
            if harness.dispatch_starts():
                break
        return harness.now_ms - lost_ms

    def test_a_restart_long_ago_makes_no_difference(self):
        self.assertEqual(self.play_loss(restarts=True), self.play_loss(restarts=False))

    def play_successor(self, born_ms):
        """Return how long a successor waits for a silent worker that began then."""
        roster = {"a": RosterEntry("a:1", None, "zone")}
        entries = (entry("a", incarnation=born_ms), entry("b"))
        harness = FleetHarness(*entries, epoch=2, roster=roster, settings=SETTINGS)
        harness.accept(job(step()))
        began_ms = harness.now_ms
        while harness.now_ms - began_ms < 60_000:
            harness.now_ms += 100
            harness.report("b")
            harness.scheduler._fleet.earlier_leaders.majority_reported_ms = began_ms
            wall_ms = int(WALL_MS + harness.now_ms - began_ms)
            harness.handle(Tick(wall_ms))
            harness.commit()
            if harness.dispatch_starts():
                break
        return harness.now_ms - began_ms

    def test_a_worker_that_did_not_restart_delays_a_successor_no_longer(self):
        self.assertLess(self.play_successor(WALL_MS - 60_000), 8_000)
        lately = self.play_successor(WALL_MS - 1_000)
        late_ms = SETTINGS.max_command_delay_ms + SETTINGS.longest_lease_ms
        self.assertGreater(lately, late_ms - 1_000)
        self.assertLess(lately, late_ms + 1_000)

    def test_a_worker_whose_start_is_in_the_future_delays_a_successor_no_longer(self):
        """Guards against a wait without end for an entry with a wrong start time."""
        waited_ms = self.play_successor(10 * WALL_MS)
        late_ms = SETTINGS.max_command_delay_ms + SETTINGS.longest_lease_ms
        self.assertLess(waited_ms, late_ms + 1_000)


if __name__ == "__main__":
    unittest.main()
