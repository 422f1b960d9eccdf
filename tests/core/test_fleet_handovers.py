"""A seeded search over hand-overs while workers are cut off and run on."""

import sys
import unittest
from random import Random

from tests.core.fleet_fixture import BACKGROUND, entry, job, step
from tests.core.simulated_cell import ROW_MS, SETTINGS, Cell

SEEDS = 40
WORKERS = 6
TASKS = 12
TASK_MS = 9_000
# How long a worker is cut off that is not gone for good.
CUT_MS = 5_500
# A worker's entry leaves the directory after three heartbeat intervals of 1.5 s, of
# which nearly one has passed when it is cut off.
EXPIRY_MS = (3_000, 3_100)
# What is left of the lease of a worker that is cut off, which is 4.5 s long.
MIN_LEASE_MS = 4_200
# When the second hand-over comes after the cut: mostly after the entries are gone, and
# before the leases have ended.
SECOND_MS = (2_800, 4_200)
# How long a released and a lost leader's row stays without a new leader.
RELEASED_MS = (50, 200)
LOST_MS = (1_000, 1_300)
# When the first leader is replaced after a worker is lost, and when each further one.
FIRST_MS = 300
INTERVAL_MS = 3_500
# The longest lease that an earlier leader granted, and the time in which tasks are
# started once nothing keeps them back.
LONGEST_LEASE_MS = SETTINGS.longest_wait_ms(SETTINGS.lease_ms)
PLACE_MS = 1_000
# All tasks are done within this time, whatever is lost.
END_MS = 60_000


class HandOverPlay:
    """Leaders that replace each other while one or two workers are cut off.

    Each leader is stopped, and releases its row, or it is killed. With `gone`, the
    workers never come back. `is_stopped` says how all leaders end, at random if it is
    None.
    """

    def __init__(self, seed, *, gone=False, is_stopped=None):
        self.random = random = Random(f"hand-overs {seed}")
        names = [f"w{number}" for number in range(WORKERS)]
        self.cell = cell = Cell(
            f"hand-overs {seed}",
            [entry(name, incarnation=0) for name in names],
            rates={name: random.uniform(0.98, 1.02) for name in names},
        )
        cell.rereads_directory = True
        # The runs of the workers that are cut off, which nobody else may start yet, and
        # when the last of them was started elsewhere.
        self.held = set()
        self.restarted_ms = None
        cell.elect()
        fields = {"cpu": 2_000, "estimate_ms": TASK_MS}
        cell.submit(job(step(TASKS, **fields), queue=BACKGROUND))
        self.run_for(random.uniform(700, 1_500))
        self.cut = self.choose_workers(random.choice([1, 2]))
        self.held = {key for name in self.cut for key, _ in cell.workers[name].runs}
        # The leaders that were elected while workers that are cut off ran tasks.
        self.elected_in_lease = 0
        self.first_elected_ms = None
        self.is_stopped = is_stopped
        cell.isolated.update(self.cut)
        self.are_expired = True
        cell.after(random.uniform(*EXPIRY_MS), self.expire)
        if not gone:
            cell.after(CUT_MS, self.heal)

    def choose_workers(self, count):
        """Wait for renewed leases; return up to `count` busy workers with one."""
        while True:
            self.cell.step()
            renewed = [
                name
                for name, each in self.cell.workers.items()
                if each.runs and each.lease_clock_ms - each.clock_ms >= MIN_LEASE_MS
            ]
            if renewed:
                return self.random.sample(renewed, min(count, len(renewed)))

    def expire(self):
        if self.are_expired:
            self.cell.unlisted.update(self.cut)

    def heal(self):
        self.cell.isolated.difference_update(self.cut)
        self.cell.unlisted.difference_update(self.cut)

    def run_for(self, for_ms):
        end_ms = self.cell.now_ms + for_ms
        while self.cell.now_ms < end_ms:
            self.step()

    def step(self):
        self.cell.step()
        if self.restarted_ms is None and self.held:
            started = self.cell.started
            if all(started[key] > 1 for key in self.held):
                self.restarted_ms = self.cell.now_ms

    def run(self, intervals_ms):
        """Replace the leader after each interval; return the violated rules."""
        cell = self.cell
        for interval_ms in intervals_ms:
            self.run_for(interval_ms)
            self.replace_leader()
        end_ms = cell.now_ms + END_MS
        while cell.now_ms < end_ms and not self.is_over:
            self.step()
        if not self.is_over:
            cell.found("not all tasks are done, or the roster has lost workers")
        return cell.violations

    def replace_leader(self):
        leader = self.cell.leader
        is_stopped = self.is_stopped
        if is_stopped is None:
            is_stopped = self.random.random() < 0.7
        if is_stopped:
            leader.release()
        else:
            leader.ended = True
        self.run_for(self.random.uniform(*(RELEASED_MS if is_stopped else LOST_MS)))
        workers = [self.cell.workers[name] for name in self.cell.isolated]
        self.elected_in_lease += any(each.runs for each in workers)
        if self.first_elected_ms is None:
            self.first_elected_ms = self.cell.now_ms
        self.cell.elect()

    @property
    def is_over(self):
        """Whether all jobs are final, and the roster has no worker that is lost."""
        return self.cell.is_idle and not self.cell.unlisted & set(
            self.cell.store.roster
        )


def draw_intervals(seed):
    """Return when the leaders are replaced, in milliseconds after each other."""
    random = Random(f"intervals {seed}")
    first_ms = random.uniform(100, 1_500)
    second_ms = random.uniform(*SECOND_MS) - first_ms
    others_ms = [random.uniform(200, 4_500) for _ in range(random.randint(0, 2))]
    return [first_ms, second_ms, *others_ms]


class LostWorkerTests(unittest.TestCase):
    """Guards against tasks that wait for a lost worker as long as leaders change.

    Each new leader waited for the whole time again in which the leases of all earlier
    ones end, although its predecessor had granted none.
    """

    def check(self, is_stopped, limit_ms):
        """Replace the leader again and again, and check when the tasks start."""
        for seed in range(SEEDS // 4):
            with self.subTest(seed=seed):
                play = HandOverPlay(seed, gone=True, is_stopped=is_stopped)
                self.assertEqual(play.run([FIRST_MS, *[INTERVAL_MS] * 6]), [])
                waited_ms = play.restarted_ms - play.first_elected_ms
                self.assertLess(waited_ms, limit_ms)

    def test_they_wait_for_the_longest_lease_if_leaders_are_stopped(self):
        self.check(True, LONGEST_LEASE_MS + PLACE_MS)

    def test_they_wait_for_the_longest_lease_if_leaders_are_killed(self):
        """What a leader has waited since its last commit is not known to the next."""
        lost_ms = 2 * (LOST_MS[1] + ROW_MS)
        self.check(False, LONGEST_LEASE_MS + lost_ms + PLACE_MS)


class NoMajorityTests(unittest.TestCase):
    """Guards against jobs that wait without end if most workers reply to no leader.

    Their entries stay in the directory, so no leader ever has a majority.
    """

    def check(self, is_stopped):
        for seed in range(SEEDS // 4):
            with self.subTest(seed=seed):
                play = HandOverPlay(seed, gone=True, is_stopped=is_stopped)
                play.cut = play.cut[:1]
                play.cell.isolated = set(sorted(play.cell.workers)[: WORKERS - 2])
                play.are_expired = False
                self.assertEqual(play.run([FIRST_MS, *[INTERVAL_MS] * 3]), [])

    def test_the_leaders_are_stopped(self):
        self.check(True)

    def test_the_leaders_are_killed(self):
        self.check(False)


class HandOverTests(unittest.TestCase):
    """Guards against a leader that takes a lease for ended because it never knew of it.

    Its successors would start the tasks of a worker that is cut off while they run.
    """

    def test_no_task_of_a_worker_that_is_cut_off_runs_twice(self):
        third_leaders = 0
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                play = HandOverPlay(seed)
                self.assertEqual(play.run(draw_intervals(seed)), [])
                third_leaders += play.elected_in_lease > 1
        # Without these, the search would not examine what it is for.
        self.assertGreater(third_leaders, SEEDS / 4)


def search_many(seeds):
    """Print the seeds that violate a rule."""
    found = 0
    for seed in range(seeds):
        violations = HandOverPlay(seed).run(draw_intervals(seed))
        if violations:
            found += 1
            print(f"{seed}: {violations[:3]}", flush=True)
    print(f"{seeds} seeds, {found} with a violation", flush=True)
    return found


if __name__ == "__main__":
    if len(sys.argv) > 1:
        sys.exit(bool(search_many(int(sys.argv[1]))))
    unittest.main()
