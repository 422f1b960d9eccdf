"""Tests of the refusal of jobs that would start too late."""

import unittest

from marigoldpath_core.fleet import (
    Backlog,
    FleetSettings,
    QueuesChanged,
    StartResult,
    Tick,
    refuse_if_late,
)
from marigoldpath_core.fleet._rate import EventRate
from marigoldpath_core.fleet._start_limit import StartLimit
from marigoldpath_core.jobs import JobSpec
from tests.core.fleet_fixture import (
    BACKGROUND,
    LONG_RUNNING,
    URGENT,
    FleetHarness,
    ended,
    entry,
    job,
    step,
)

QUEUES = {each.name: each for each in (URGENT, LONG_RUNNING, BACKGROUND)}
# A lag far above the limit.
LAG_MS = 400.0


class RefusalTests(unittest.TestCase):
    """Guards against jobs that wait although they can only be late."""

    def refuse(self, starts_ms, spread=0.0, queue=URGENT, work_ms=0):
        spec = JobSpec("00000000000000aa", "", (step(estimate_ms=1_000),))
        backlog = Backlog(
            {queue.priority_class: starts_ms}, {queue.priority_class: work_ms}
        )
        return refuse_if_late(spec, queue, backlog, spread)

    def test_a_job_that_can_be_on_time_is_accepted(self):
        # The queue allows 1.5 times the duration and 300 ms more. Half of that is for
        # the later steps.
        self.assertIsNone(self.refuse(400))

    def test_a_job_that_would_be_late_is_refused(self):
        refusal = self.refuse(401)
        self.assertEqual(refusal[:3], ("starts", 401, 400))
        self.assertEqual(refusal.retry_after_s, 1)

    def test_work_ahead_refuses_only_jobs_that_would_be_of_no_use(self):
        """The durations are estimates, and a late job is still of some use."""
        # Three times the 1,800 ms that the queue allows, without the job's own time.
        self.assertIsNone(self.refuse(0, work_ms=4_400))
        self.assertEqual(self.refuse(0, work_ms=4_401)[:3], ("work", 4_401, 4_400))

    def test_the_retry_follows_the_time_that_the_backlog_takes(self):
        self.assertEqual(self.refuse(4_300).retry_after_s, 4)

    def test_callers_that_are_refused_together_return_at_different_times(self):
        retries = {self.refuse(4_700, spread).retry_after_s for spread in (0, 0.4, 0.9)}
        self.assertEqual(len(retries), 3)

    def test_a_queue_with_a_longer_target_accepts_more(self):
        self.assertIsNone(self.refuse(1_200, queue=BACKGROUND))


class BacklogTests(unittest.TestCase):
    """Guards against estimates that refuse jobs which could start."""

    def setUp(self):
        self.harness = FleetHarness(entry("a", cpu=4_000))
        self.harness.handle(QueuesChanged(QUEUES))
        self.harness.report_all()

    def work_ms(self):
        return self.harness.scheduler.backlog(self.harness.now_ms).work_ms

    def add_job(self, number, queue, width=4, estimate_ms=1_000):
        job_id = f"{number:016x}"
        self.harness.accept(
            job(step(width, estimate_ms=estimate_ms), queue=queue, job_id=job_id)
        )

    def test_without_waiting_tasks_there_is_none(self):
        self.add_job(1, URGENT)
        self.harness.dispatch()
        self.assertEqual(self.work_ms(), {})

    def test_the_time_is_that_of_the_work_ahead_on_all_workers(self):
        for number in range(1, 4):
            self.add_job(number, URGENT)
        self.harness.dispatch()
        # One job runs; the other two need 8 s of one processor, of which there are 4.
        self.assertEqual(self.work_ms()[URGENT.priority_class], 2_000)

    def test_less_urgent_work_delays_no_urgent_job(self):
        """Guards against a flood of one kind of work that starves the others."""
        for number in range(1, 10):
            self.add_job(number, BACKGROUND)
        self.harness.dispatch()
        self.assertEqual(set(self.work_ms()), {BACKGROUND.priority_class})

    def test_urgent_work_delays_less_urgent_jobs(self):
        for number in range(1, 4):
            self.add_job(number, URGENT)
        self.harness.dispatch()
        self.assertEqual(self.work_ms()[BACKGROUND.priority_class], 2_000)

    def test_work_that_is_late_delays_no_new_job_of_its_priority(self):
        """A scheduling pass places late jobs after those that can be on time."""
        for number in range(1, 4):
            self.add_job(number, URGENT)
        self.harness.dispatch()
        self.harness.now_ms += 60_000
        self.assertNotIn(URGENT.priority_class, self.work_ms())

    def test_the_estimate_does_not_grow_with_the_number_of_queues(self):
        """Guards against heartbeats that a slow link does not carry in time."""
        queues = {
            f"{queue.name}-{number}": queue._replace(name=f"{queue.name}-{number}")
            for queue in QUEUES.values()
            for number in range(2_000)
        }
        self.harness.handle(QueuesChanged(queues))
        for number in range(1, 4):
            self.add_job(number, queues["urgent-7"])
        self.harness.dispatch()
        self.assertEqual(len(self.work_ms()), len(QUEUES))
        backlog = self.harness.scheduler.backlog(self.harness.now_ms)
        backlog.work_ms[URGENT.priority_class] = 60_000
        spec = job(step(estimate_ms=200)).spec
        self.assertIsNotNone(refuse_if_late(spec, queues["urgent-9"], backlog, 0.5))

    def test_work_that_waits_for_an_earlier_leader_counts_as_no_load(self):
        harness = FleetHarness(entry("a"), entry("b"), epoch=2)
        harness.handle(QueuesChanged(QUEUES))
        harness.report("a")
        for number in range(1, 30):
            harness.accept(
                job(step(9, estimate_ms=9_000), job_id=f"{number:016x}", epoch=1)
            )
        harness.dispatch()
        self.assertEqual(harness.scheduler.backlog(harness.now_ms), Backlog())


class LaggingLeaderTests(unittest.TestCase):
    """Plays three times the load that a leader's process can start.

    Guards against a leader that accepts all of it, starts each job too late and so
    serves nobody.
    """

    ARRIVALS_PER_S = 60
    STARTS_PER_S = 20
    DURATION_S = 30

    def setUp(self):
        settings = FleetSettings(min_starts_in_flight=2)
        self.harness = FleetHarness(entry("a", cpu=1_000_000), settings=settings)
        self.harness.handle(QueuesChanged(QUEUES))
        self.harness.report_all()
        self.in_flight = []
        self.terminations = 0
        self.waits_ms = []
        self.accepted_ms = {}

    def play(self, refuses):
        """Play the load; the process replies to `STARTS_PER_S` starts a second."""
        harness = self.harness
        interval_ms = 1_000 / self.ARRIVALS_PER_S
        for number in range(self.ARRIVALS_PER_S * self.DURATION_S):
            harness.now_ms += interval_ms
            self.submit(number, refuses)
            if number % (self.ARRIVALS_PER_S // self.STARTS_PER_S) == 0:
                self.reply()
            if number % 6 == 0:
                harness.commit()
                harness.report_all()
                harness.handle(Tick(0, lag_ms=LAG_MS))
            self.in_flight += harness.dispatch_starts()

    def submit(self, number, refuses):
        accepted = job(step(estimate_ms=1_000), job_id=f"{number:016x}")
        backlog = self.harness.scheduler.backlog(self.harness.now_ms)
        refusal = refuse_if_late(accepted.spec, URGENT, backlog, 0.5)
        if refusal is None or not refuses:
            self.accepted_ms[accepted.spec.job_id] = self.harness.now_ms
            self.harness.accept(accepted)

    def reply(self):
        if not self.in_flight:
            return
        command = self.in_flight.pop(0)
        self.waits_ms.append(
            self.harness.now_ms - self.accepted_ms[command.task.job_id]
        )
        self.harness.reply_to_start(command, StartResult.STARTED)
        self.terminations += 1
        self.harness.report("a", ended=[ended(self.terminations, command)])

    def on_time(self):
        return sum(wait_ms <= 800 for wait_ms in self.waits_ms)

    def test_most_of_the_capacity_serves_jobs_on_time(self):
        self.play(refuses=True)
        capacity = self.STARTS_PER_S * self.DURATION_S
        self.assertGreater(self.on_time(), 0.8 * capacity)

    def test_without_refusals_most_jobs_would_be_late(self):
        """Shows that the load is one that needs refusals."""
        self.play(refuses=False)
        capacity = self.STARTS_PER_S * self.DURATION_S
        self.assertLess(self.on_time(), 0.5 * capacity)


class CatchingUpTests(unittest.TestCase):
    """Guards against a new leader that refuses jobs while it starts the waiting ones.

    Its rate of starts is not known yet.
    """

    def setUp(self):
        self.limit = StartLimit(FleetSettings(), 0.0)

    def limited_until(self, end_ms):
        for now_ms in range(0, end_ms + 1, 100):
            self.limit.record_limited(now_ms)
        return self.limit.drain_ms(100, end_ms)

    def test_a_short_backlog_causes_no_estimate(self):
        self.assertEqual(self.limited_until(1_500), 0.0)

    def test_a_lasting_backlog_does(self):
        self.assertGreater(self.limited_until(2_500), 0.0)

    def test_the_time_counts_anew_after_a_pause(self):
        self.limited_until(2_500)
        self.limit.record_limited(6_000)
        self.assertEqual(self.limit.drain_ms(100, 6_000), 0.0)


class EventRateTests(unittest.TestCase):
    def test_the_rate_covers_up_to_two_periods(self):
        rate = EventRate(1_000, 0.0)
        for number in range(30):
            rate.record(100.0 * number)
        self.assertAlmostEqual(rate.per_second(3_000.0), 10.0)

    def test_events_of_longer_ago_do_not_count(self):
        rate = EventRate(1_000, 0.0)
        rate.record(10.0)
        self.assertEqual(rate.per_second(5_000.0), 0.0)


if __name__ == "__main__":
    unittest.main()
