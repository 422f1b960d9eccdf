"""Tests of the limit of starts in flight."""

import unittest

from marigoldpath_core.fleet import (
    FleetSettings,
    RequestAdvice,
    StartResult,
    Tick,
)
from marigoldpath_core.fleet._start_limit import StartLimit
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    FleetHarness,
    entry,
    job,
    step,
    task,
)

SETTINGS = FleetSettings()
LAGGING_MS = 2 * SETTINGS.max_lag_ms


def requests(harness):
    """Run a scheduling pass and return its advice requests."""
    return [each for each in harness.dispatch() if isinstance(each, RequestAdvice)]


class StartLimitTests(unittest.TestCase):
    """Guards against a leader that collapses under a load it cannot send."""

    def test_the_limit_shrinks_with_a_lag_and_recovers_without(self):
        limit = StartLimit(SETTINGS, 0.0)
        for _ in range(50):
            limit.adjust(LAGGING_MS)
        self.assertEqual(limit.limit, SETTINGS.min_starts_in_flight)
        limit.adjust(0.7 * SETTINGS.max_lag_ms)
        self.assertEqual(limit.limit, SETTINGS.min_starts_in_flight)
        for _ in range(100):
            limit.adjust(0.0)
        self.assertEqual(limit.limit, SETTINGS.max_starts_in_flight)

    def test_an_expired_start_lowers_the_limit(self):
        # A relay or a link can lag while the leader's process keeps up.
        limit = StartLimit(SETTINGS, 0.0)
        limit.record_expired()
        limit.adjust(0.0)
        lowered = limit.limit
        self.assertLess(lowered, SETTINGS.max_starts_in_flight)
        limit.adjust(0.0)
        self.assertGreater(limit.limit, lowered)

    def test_a_reply_makes_room_for_one_more_start(self):
        limit = StartLimit(SETTINGS._replace(max_starts_in_flight=1), 0.0)
        limit.record_start(task(0), 1)
        self.assertTrue(limit.is_reached)
        limit.record_reply(task(0), 2)
        self.assertTrue(limit.is_reached)
        limit.record_reply(task(0), 1)
        self.assertFalse(limit.is_reached)


class LimitedPassTests(unittest.TestCase):
    def setUp(self):
        settings = SETTINGS._replace(min_starts_in_flight=3)
        self.harness = FleetHarness(entry("a", cpu=100_000), settings=settings)
        self.harness.report_all()

    def lag(self):
        for _ in range(50):
            self.harness.handle(Tick(0, 1, LAGGING_MS))

    def test_no_more_starts_are_sent_than_the_limit(self):
        self.lag()
        self.harness.accept(job(step(width=10)))
        first = self.harness.dispatch_starts()
        self.assertEqual(len(first), 3)
        self.assertEqual(self.harness.dispatch_starts(), [])
        self.harness.reply_to_start(first[0], StartResult.UNKNOWN)
        self.harness.confirm_start(first[1])
        self.assertTrue(self.harness.scheduler.needs_dispatch)
        self.assertEqual(len(self.harness.dispatch_starts()), 2)

    def test_the_most_urgent_tasks_get_the_starts(self):
        self.lag()
        low = job(step(width=5), queue=BACKGROUND, job_id="0" * 16)
        self.harness.accept(low)
        self.harness.accept(job(step(width=3)))
        commands = self.harness.dispatch_starts()
        self.assertNotIn("0" * 16, {each.task.job_id for each in commands})

    def test_a_leader_that_keeps_up_sends_all_starts(self):
        self.harness.accept(job(step(width=60)))
        self.assertEqual(len(self.harness.dispatch_starts()), 60)


class LimitedAdviceTests(unittest.TestCase):
    """Guards against advice that expires before the leader can start the tasks.

    Renewals for a backlog took most of the processor time of a lagging leader.
    """

    def setUp(self):
        settings = SETTINGS._replace(min_starts_in_flight=2, start_queue_factor=4)
        self.harness = FleetHarness(entry("a", cpu=100_000), settings=settings)
        self.harness.report_all()
        self.jobs = [f"{number:016x}" for number in range(10)]

    def requested_jobs(self):
        for job_id in self.jobs:
            accepted = job(step(width=4), queue=ADVISED, job_id=job_id)
            self.harness.accept(accepted)
        return [each.job_id for each in requests(self.harness)]

    def test_a_lagging_leader_requests_advice_for_the_first_steps_only(self):
        for _ in range(50):
            self.harness.handle(Tick(0, 10, LAGGING_MS))
        self.assertEqual(self.requested_jobs(), self.jobs[:2])

    def test_a_lagging_leader_uses_the_tickets_that_are_left(self):
        harness = FleetHarness(entry("a", cpu=100_000), entry("b", cpu=100_000))
        harness.report_all()
        harness.accept(job(step(width=300), queue=ADVISED))
        (request,) = requests(harness)
        harness.reply_with_advice(request, {"a": "ticket"})
        harness.report_all()
        harness.now_ms += 1_740
        harness.handle(Tick(0, 10, LAGGING_MS))
        self.assertEqual(requests(harness), [])
        harness.now_ms += 300
        harness.report_all()
        harness.handle(Tick(0, 10, LAGGING_MS))
        self.assertEqual(len(requests(harness)), 1)

    def test_a_leader_that_keeps_up_requests_advice_for_all_steps(self):
        self.harness.handle(Tick(0, 10, 0.0))
        self.assertEqual(self.requested_jobs(), self.jobs)
