"""Tests of requests to the advice service."""

import unittest

from marigoldpath_core.fleet import (
    RequestAdvice,
    StartResult,
    Tick,
    WorkersListed,
    WorkerUnresponsive,
)
from marigoldpath_core.jobs import AdvicePolicy
from tests.core.fleet_fixture import (
    ADVISED,
    BACKGROUND,
    FleetHarness,
    entry,
    job,
    step,
)


class AdviceTests(unittest.TestCase):
    """Tasks start only with a valid ticket, because workers refuse any other start."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()
        self.harness.accept(job(step(width=2), queue=ADVISED))
        (self.request,) = self.advice_requests()

    def advice_requests(self):
        return [
            each for each in self.harness.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_a_task_starts_only_with_a_ticket_for_its_worker(self):
        self.assertEqual(sorted(self.request.workers), ["a", "b"])
        self.harness.reply_with_advice(self.request, {"b": "ticket"})
        commands = self.harness.dispatch_starts()
        self.assertEqual(
            [(each.worker_id, each.ticket) for each in commands], [("b", "ticket")] * 2
        )

    def test_a_ticket_is_renewed_only_for_approved_workers(self):
        self.harness.reply_with_advice(self.request, {"b": "ticket"})
        commands = self.harness.dispatch_starts()
        for command in commands:
            self.harness.reply_to_start(command, StartResult.NO_FREE_CAPACITY)
        self.harness.now_ms += 2_100
        self.harness.report_all()
        (again,) = self.advice_requests()
        self.assertEqual(again.workers, ("b",))

    def test_a_request_without_a_reply_is_sent_again(self):
        self.harness.reply_with_advice(self.request, None)
        self.harness.now_ms += 200
        (again,) = self.advice_requests()
        self.assertEqual(again.workers, self.request.workers)

    def test_a_ticket_is_invalid_for_the_next_incarnation_of_a_worker(self):
        self.harness.reply_with_advice(self.request, {"a": "ticket", "b": "ticket"})
        self.harness.report("a", incarnation=2_000, clock_ms=10)
        self.harness.report("b", incarnation=2_000, clock_ms=10)
        self.assertEqual(self.harness.dispatch_starts(), [])


class RefusedWorkerTests(unittest.TestCase):
    """Guards against a worker that the service refused once and is never asked again.

    The answer holds for one incarnation: the next one may be of another kind.
    """

    def setUp(self):
        self.harness = FleetHarness(entry("a"), entry("b"))
        self.harness.report_all()
        self.harness.accept(job(step(), queue=ADVISED))
        (self.request,) = self.advice_requests()

    def advice_requests(self):
        self.harness.commit()
        return [
            each for each in self.harness.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_its_next_incarnation_is_asked_about(self):
        self.harness.reply_with_advice(self.request, {})
        self.harness.now_ms += 500
        self.assertEqual(self.advice_requests(), [])
        self.harness.report("a", incarnation=2_000, clock_ms=10)
        (again,) = self.advice_requests()
        self.assertEqual(again.workers, ("a",))

    def test_a_worker_that_restarted_before_the_reply_is_asked_about(self):
        self.harness.report("a", incarnation=2_000, clock_ms=10)
        self.harness.reply_with_advice(self.request, {})
        self.harness.now_ms += 500
        (again,) = self.advice_requests()
        self.assertEqual(again.workers, ("a",))

    def test_a_worker_that_was_not_known_at_the_reply_is_asked_about(self):
        """Its approval was dropped, because there was no worker to store it for."""
        self.harness.handle(WorkerUnresponsive("a"))
        self.harness.now_ms += 9_000
        self.harness.handle(WorkersListed((entry("b"),)))
        self.harness.advance(0)
        self.assertEqual(self.harness.scheduler.workers, ("b",))
        self.harness.reply_with_advice(self.request, {"a": "ticket"})
        self.harness.handle(WorkersListed((entry("a"), entry("b"))))
        self.harness.report_all()
        self.harness.advance(0)
        (again,) = self.advice_requests()
        self.assertEqual(again.workers, ("a",))


class RequestedWorkersTests(unittest.TestCase):
    """Guards against slow replies: each worker in a request adds to its duration."""

    def setUp(self):
        entries = [entry(f"w{number:02}", cpu=4_000) for number in range(50)]
        self.harness = FleetHarness(*entries, entry("wide", cpu=8_000))
        self.harness.report_all()

    def advice_requests(self):
        return [
            each for each in self.harness.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_workers_with_the_most_free_capacity_are_requested_first(self):
        self.harness.accept(job(step(width=2), queue=ADVISED))
        (request,) = self.advice_requests()
        self.assertEqual(len(request.workers), 30)
        self.assertIn("wide", request.workers)

    def test_a_wide_step_requests_as_many_workers_as_it_may_need(self):
        self.harness.accept(job(step(width=60), queue=ADVISED))
        (request,) = self.advice_requests()
        self.assertGreater(len(request.workers), 30)

    def test_other_workers_are_requested_if_too_few_were_approved(self):
        self.harness.accept(job(step(width=2), queue=ADVISED))
        (first,) = self.advice_requests()
        self.harness.advance(1_000)
        self.harness.reply_with_advice(first, {})
        (second,) = self.advice_requests()
        self.assertEqual(set(first.workers) & set(second.workers), set())

    def test_workers_without_the_required_label_are_not_requested(self):
        self.harness.accept(job(step(width=2, required_label="b"), queue=ADVISED))
        self.assertEqual(self.advice_requests(), [])


class RenewalTests(unittest.TestCase):
    """Guards against a backlog that renews all its tickets.

    Its requests would occupy all hosts, and no host could send other requests.
    """

    def setUp(self):
        slow = BACKGROUND._replace(advice=AdvicePolicy(500.0, 5.0, 2_000.0))
        self.harness = FleetHarness(
            *(entry(f"w{index}", cpu=4_000) for index in range(4))
        )
        self.harness.report_all()
        self.harness.handle(Tick(0, 40))
        for number in range(3):
            # Each job has one more task than fits.
            large = job(step(width=5, cpu=3_400), queue=slow, job_id=f"{number:016x}")
            self.harness.accept(large)
        for request in self.advice_requests():
            self.harness.reply_with_advice(request, dict.fromkeys(request.workers, "t"))
        self.harness.dispatch()
        self.harness.advance(5_000)
        self.harness.report_all()

    def advice_requests(self):
        return [
            each for each in self.harness.dispatch() if isinstance(each, RequestAdvice)
        ]

    def test_only_one_step_requests_the_capacity_of_a_worker(self):
        advice_requests = self.advice_requests()
        self.assertEqual(len(advice_requests), 1)
        self.assertEqual(self.advice_requests(), [])

    def test_no_more_capacity_is_requested_than_the_tasks_can_use(self):
        for task in self.harness.scheduler._fleet.open_steps["0" * 16, 0, 0].tasks[1:]:
            task.done = True
        (first, *_) = self.advice_requests()
        self.assertLessEqual(len(first.workers), 2)


class SlowAdviceTests(unittest.TestCase):
    """Guards against slow requests that occupy the hosts needed for urgent ones."""

    def test_slow_requests_wait_until_a_host_may_send_them(self):
        """Without a free host, a slow request would delay the leader's urgent ones."""
        slow = BACKGROUND._replace(advice=AdvicePolicy(500.0, 5.0, 2_500.0))
        harness = FleetHarness(entry("a"))
        harness.report_all()
        harness.accept(job(step(), queue=slow))
        self.assertEqual(harness.dispatch(), [])
        harness.handle(Tick(0, advice_hosts=1))
        self.assertEqual(len(harness.dispatch()), 1)

    def test_half_of_the_hosts_are_kept_free_for_fast_requests(self):
        """Without free hosts, urgent steps would wait for a backlog's slow requests."""
        slow = BACKGROUND._replace(advice=AdvicePolicy(400.0, 5.0, 2_000.0))
        harness = FleetHarness(entry("a"))
        harness.report_all()
        for number in range(5):
            harness.accept(job(step(), queue=slow, job_id=f"{number:016x}"))
        for hosts, most in ((1, 1), (6, 3), (20, 5)):
            with self.subTest(hosts=hosts):
                harness.handle(Tick(0, hosts))
                harness.dispatch()
                in_flight = sum(
                    1 for each in harness.open_steps() if each.is_request_in_flight
                )
                self.assertEqual(in_flight, most)


if __name__ == "__main__":
    unittest.main()
