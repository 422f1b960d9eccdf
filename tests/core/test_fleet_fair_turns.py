"""Tests of scarce calls: steps that cannot be placed must not use all of them."""

import heapq
import random
import unittest

from marigoldpath_core.fleet import RequestAdvice, StartRun, Tick, WorkersListed
from marigoldpath_core.jobs import AdvicePolicy, TaskKey
from tests.core.fleet_fixture import (
    BACKGROUND,
    LONG_RUNNING,
    URGENT,
    FleetHarness,
    ended,
    entry,
    job,
    running,
    step,
)

POLICY = AdvicePolicy(450.0, 6.5, 2_500.0)
LASTING = LONG_RUNNING._replace(advice=POLICY)
LATER = BACKGROUND._replace(advice=POLICY)
SOON = URGENT._replace(advice=POLICY)
TICK_MS = 100
LASTING_JOBS = 12
LABEL = "x"


def job_id(number):
    return f"{number:016x}"


class AdvisedCell:
    """A cell whose advice service replies after about the expected time.

    It approves all workers. Lasting jobs need the label of one of them.
    """

    def __init__(self, hosts, seed=0):
        self.hosts = hosts
        self.seed = seed
        self.rng = random.Random(seed)
        labelled = entry("labelled", labels=(LABEL, "rack-1"))
        self.entries = [labelled, *(entry(f"w{number}") for number in range(4))]
        self.harness = FleetHarness(*self.entries)
        self.harness.report_all()
        self.replies = []
        self.requests = []
        self.starts = []

    def __repr__(self):
        return f"a cell with {self.hosts} hosts, seed {self.seed}"

    def accept(self, number, spec, queue):
        accepted = job(spec, queue=queue, job_id=job_id(number))
        self.harness.accept(accepted)

    def add_lasting(self, first=1_000, count=LASTING_JOBS, cpu=10_000):
        """Add lasting jobs; with this `cpu` each uses the labelled worker alone."""
        for number in range(first, first + count):
            spec = step(long_running=True, required_label=LABEL, cpu=cpu)
            self.accept(number, spec, LASTING)

    def run(self, for_ms):
        """Advance, with a scheduling pass after each Tick and each reply."""
        end_ms = self.harness.now_ms + for_ms
        while self.harness.now_ms < end_ms:
            tick_ms = self.harness.now_ms + TICK_MS
            while self.replies and self.replies[0][0] <= tick_ms:
                at_ms, _, request = heapq.heappop(self.replies)
                self.harness.now_ms = at_ms
                tickets = dict.fromkeys(request.workers, "ticket")
                self.harness.reply_with_advice(request, tickets)
                self.dispatch()
            self.harness.now_ms = tick_ms
            self.report()
            self.harness.handle(Tick(0, self.hosts))
            self.harness.commit()
            self.dispatch()

    def report(self):
        for each in self.entries:
            rows = [
                running(start, percent=100)
                for start in self.starts
                if start.worker_id == each.worker_id
            ]
            self.harness.report(each.worker_id, rows, incarnation=each.incarnation)

    def dispatch(self):
        for effect in self.harness.dispatch():
            if isinstance(effect, RequestAdvice):
                self.requests.append(effect)
                took_ms = effect.cost_ms * self.rng.uniform(0.9, 1.2)
                at_ms = self.harness.now_ms + took_ms
                heapq.heappush(self.replies, (at_ms, len(self.requests), effect))
            elif isinstance(effect, StartRun):
                self.harness.confirm_start(effect)
                self.starts.append(effect)

    def restart(self, worker_id):
        """Let a worker begin its next incarnation, which runs nothing."""
        self.starts = [each for each in self.starts if each.worker_id != worker_id]
        self.entries = [
            each._replace(incarnation=each.incarnation + 1_000)
            if each.worker_id == worker_id
            else each
            for each in self.entries
        ]
        self.harness.handle(WorkersListed(tuple(self.entries)))

    def is_started(self, number):
        return any(each.task.job_id == job_id(number) for each in self.starts)

    def requested(self, number):
        return sum(each.job_id == job_id(number) for each in self.requests)


class SlowAdviceTurnTests(unittest.TestCase):
    """Guards against lasting steps that wait and take all slow advice requests.

    They renewed their tickets for a full worker for ever, and accepted jobs of another
    queue never started on empty workers.
    """

    def cells(self):
        return [AdvisedCell(hosts, seed) for hosts in (1, 2, 4, 6) for seed in range(5)]

    def test_a_less_urgent_step_is_placed_beside_steps_that_wait(self):
        for cell in self.cells():
            cell.add_lasting()
            cell.run(10_000)
            cell.accept(1, step(), LATER)
            cell.run(4_000)
            self.assertTrue(cell.is_started(1), cell)

    def test_many_steps_that_wait_make_no_difference(self):
        """Guards against a share that shrinks with the number of steps that wait."""
        for cell in self.cells():
            cell.add_lasting(count=100)
            cell.run(20_000)
            cell.accept(1, step(), LATER)
            cell.run(4_000)
            self.assertTrue(cell.is_started(1), cell)

    def test_a_gang_that_never_fits_does_not_keep_others_from_advice(self):
        """Guards against requests that seem useful, as some of the gang has room."""
        for cell in self.cells():
            for number in range(1_000, 1_010):
                cell.accept(number, step(width=60, gang=True), SOON)
            cell.run(10_000)
            cell.accept(1, step(), LATER)
            cell.run(6_000)
            self.assertTrue(cell.is_started(1), cell)

    def test_urgent_work_that_can_be_placed_goes_first(self):
        for cell in self.cells():
            cell.add_lasting()
            cell.run(10_000)
            for number in range(2, 12):
                cell.accept(number, step(), LATER)
            cell.accept(1, step(), SOON)
            cell.run(3_000)
            self.assertTrue(cell.is_started(1), cell)
            first = [each.task.job_id for each in cell.starts]
            later = [job_id(number) for number in range(2, 12)]
            self.assertFalse(
                set(first[: first.index(job_id(1))]).intersection(later[cell.hosts :])
            )

    def test_lasting_work_starts_soon_after_its_worker_is_back(self):
        """Guards against waiting steps whose turn comes after that of all others."""
        for cell in self.cells():
            cell.add_lasting(count=2, cpu=4_000)
            cell.run(5_000)
            self.assertEqual(len(cell.starts), 2)
            cell.add_lasting(first=2_000, count=10)
            for number in range(30):
                cell.accept(number, step(cpu=20_000), LATER)
            cell.run(5_000)
            cell.restart("labelled")
            cell.run(6_000)
            self.assertTrue(cell.is_started(1_000) or cell.is_started(2_000), cell)

    def test_a_stream_of_new_steps_does_not_stop_the_renewals(self):
        """Guards against a step that lost its ticket and never gets its turn again."""
        for cell in self.cells():
            cell.add_lasting(count=1)
            cell.run(3_000)
            cell.add_lasting(first=2_000, count=1)
            cell.run(3_000)
            for number in range(80):
                cell.accept(number, step(cpu=20_000), LATER)
            before = cell.requested(2_000)
            cell.run(3_000)
            # The lasting run ends, so that the one that waits has room.
            cell.starts.clear()
            for number in range(100, 180):
                cell.accept(number, step(cpu=20_000), LATER)
            cell.run(6_000)
            self.assertGreaterEqual(cell.requested(2_000), before)
            self.assertTrue(cell.is_started(1_000) or cell.is_started(2_000), cell)


class StepRotationTests(unittest.TestCase):
    """Guards against steps that no worker can run and that hide all others.

    A scheduling pass examines a limited number of steps. Sixty of them that waited for
    ever kept all less urgent jobs from starting.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"))
        self.harness.report_all()

    def accept(self, number, spec, queue):
        self.harness.accept(job(spec, queue=queue, job_id=job_id(number)))

    def started_within(self, passes):
        started = []
        for _ in range(passes):
            self.harness.advance(20)
            self.harness.report_all()
            self.harness.commit()
            started += [each.task.job_id for each in self.harness.dispatch_starts()]
        return started

    def test_steps_that_cannot_be_placed_do_not_hide_others(self):
        for number in range(1_000, 1_500):
            self.accept(number, step(required_label="none"), URGENT)
        self.accept(1, step(), BACKGROUND)
        self.assertEqual(self.started_within(30), [job_id(1)])

    def test_one_job_with_many_such_steps(self):
        steps = [step(required_label="none") for _ in range(100)]
        self.harness.accept(job(*steps))
        self.accept(1, step(), BACKGROUND)
        self.assertEqual(self.started_within(5), [job_id(1)])

    def test_urgent_work_that_can_be_placed_goes_first(self):
        """Guards against a turn of less urgent steps that take the last room."""
        for number in range(1_000, 1_200):
            self.accept(number, step(required_label="none"), URGENT)
        self.started_within(10)
        for number in range(50):
            self.accept(number, step(cpu=9_000), BACKGROUND)
        self.accept(5_000, step(cpu=9_000), URGENT)
        first, *_ = self.started_within(10)
        self.assertEqual(first, job_id(5_000))

    def test_each_step_gets_its_turn(self):
        """Guards against a round that leaves steps out, at any number of steps."""
        for count in (10, 60, 61, 90, 200):
            with self.subTest(count=count):
                self.setUp()
                for number in range(count):
                    self.accept(number, step(required_label="none"), URGENT)
                self.accept(5_000, step(), BACKGROUND)
                self.assertEqual(self.started_within(20), [job_id(5_000)])


class CommitTurnTests(unittest.TestCase):
    """Guards against commits that store the same jobs again and others never."""

    LIMIT = 20
    JOBS = 60

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=1_000_000))
        self.harness.report_all()
        for number in range(self.JOBS):
            accepted = job(step(width=50), job_id=job_id(number))
            self.harness.accept(accepted)
        self.starts = self.harness.dispatch_starts()
        for start in self.starts:
            self.harness.confirm_start(start)
        self.fleet = self.harness.scheduler._fleet

    def change_all(self):
        for each in self.fleet.jobs.values():
            self.fleet.mark_dirty(each)

    def commit(self):
        commit = self.harness.scheduler.begin_commit(self.LIMIT)
        now_ms = self.harness.now_ms
        self.harness.scheduler.commit_succeeded(commit, now_ms, now_ms)
        return commit

    def test_the_job_that_waits_longest_is_stored_first(self):
        stored = set()
        for _ in range(self.JOBS // self.LIMIT):
            self.change_all()
            stored.update(self.commit().progress)
        self.assertEqual(len(stored), self.JOBS)

    def test_terminations_are_acknowledged_while_jobs_keep_changing(self):
        """Guards against ends that are never taken note of under a steady load."""
        self.harness.report("a", ended=[ended(1, self.starts[0])])
        acknowledged = {}
        for _ in range(self.JOBS // self.LIMIT + 1):
            self.change_all()
            acknowledged |= self.commit().ends
        self.assertEqual(acknowledged, {"a": (1_000, 1)})

    def test_a_termination_is_not_acknowledged_before_its_job_is_stored(self):
        """Guards against a job that runs again after the next change of leaders."""
        rng = random.Random(42)
        for number, start in enumerate(rng.sample(self.starts, 40), 1):
            self.change_all()
            for _ in range(rng.randrange(4)):
                self.commit()
            self.harness.report("a", ended=[ended(number, start)])
            stored = set()
            for _ in range(10):
                commit = self.harness.scheduler.begin_commit(self.LIMIT)
                if rng.random() < 0.3:
                    self.harness.scheduler.commit_failed(commit)
                    continue
                now_ms = self.harness.now_ms
                self.harness.scheduler.commit_succeeded(commit, now_ms, now_ms)
                stored.update(commit.progress)
                if commit.ends.get("a") == (1_000, number):
                    self.assertIn(start.task.job_id, stored)
                self.change_all()

    def test_expired_jobs_are_removed_while_jobs_keep_changing(self):
        self.harness.scheduler.forget((job_id(5_000),))
        self.change_all()
        self.assertEqual(self.commit().removed_jobs, (job_id(5_000),))


class StartQueueTests(unittest.TestCase):
    """Guards against a lagging leader that waits for steps it cannot start."""

    def test_steps_without_use_for_their_advice_do_not_fill_the_queue(self):
        harness = FleetHarness(entry("a"))
        harness.report_all()
        fast = URGENT._replace(advice=AdvicePolicy(20.0, 0.5, 300.0))
        wide = step(width=10_000, cpu=20_000)
        harness.accept(job(wide, queue=fast))
        harness.accept(job(step(), queue=BACKGROUND, job_id=job_id(1)))
        started = []
        for _ in range(40):
            harness.now_ms += 100
            harness.report("a", [running(each) for each in started])
            harness.commit()
            harness.handle(Tick(0, 4, lag_ms=1_000.0))
            for effect in harness.dispatch():
                if isinstance(effect, RequestAdvice):
                    tickets = dict.fromkeys(effect.workers, "ticket")
                    harness.reply_with_advice(effect, tickets)
                elif isinstance(effect, StartRun):
                    harness.confirm_start(effect)
                    started.append(effect)
        tasks = [each.task for each in started]
        self.assertEqual(tasks, [TaskKey(job_id(1), 0, 0, 0)])


if __name__ == "__main__":
    unittest.main()
