"""Tests of the admission queue."""

import time
import unittest

from marigoldpath_core.admission import AdmissionQueue, DrainRate, queue_policies
from marigoldpath_core.configuration import Configuration, TeamQuota, WorkKind
from marigoldpath_core.registry import UnknownEntryError
from marigoldpath_core.requests import Request, RequestKey, Size
from marigoldpath_core.settings import SchedulerSettings

SMALL = Size(1_000, 1_000, 0, 1, 1)


def request(
    name: str, kind: str = "plan", size: Size = SMALL, team: str = "t", **fields
) -> Request:
    return Request(RequestKey(team, "zadar", name), kind, size, **fields)


def queue_of(*kinds: WorkKind, quotas=(), policy: str = "weighted_fair"):
    queue = AdmissionQueue(SchedulerSettings(queue_policy=policy))
    queue.configure(Configuration(1, kinds, quotas))
    return queue


def drain(queue: AdmissionQueue, count: int, now_ms: int = 0) -> list[str]:
    """Start up to `count` requests, as if workers were free; return their ids."""
    names = []
    for _ in range(count):
        queued = queue.next(now_ms, lambda queued: True)
        if queued is None:
            break
        queue.allocate(queued.request)
        names.append(queued.key.id)
    return names


class OfferTests(unittest.TestCase):
    def refusal(self, queue: AdmissionQueue, *args, **fields):
        return queue.offer(request(*args, **fields), None, 0).unwrap_err()

    def test_refusal_of_an_unknown_kind_lists_the_known_kinds(self) -> None:
        refusal = self.refusal(queue_of(WorkKind("plan")), "a", "plann")
        self.assertEqual((refusal.code, refusal.field), ("unknown_kind", "kind"))
        self.assertIn("known: plan", refusal.message)
        self.assertEqual(refusal.retry_after_ms, 0)

    def test_a_removed_kind_refuses_new_requests_but_starts_waiting_ones(self) -> None:
        queue = queue_of(WorkKind("plan"))
        queue.offer(request("a"), None, 0).unwrap()
        queue.configure(Configuration(2))
        self.assertEqual(self.refusal(queue, "b").code, "unknown_kind")
        self.assertEqual(drain(queue, 2), ["a"])

    def test_a_full_queue_refuses_requests_of_its_kind_only(self) -> None:
        queue = queue_of(WorkKind("plan", queue_limit=1), WorkKind("watch"))
        queue.offer(request("a"), None, 0).unwrap()
        refusal = self.refusal(queue, "b")
        self.assertEqual(refusal.code, "queue_full")
        self.assertGreater(refusal.retry_after_ms, 0)
        queue.offer(request("a"), None, 0).unwrap()
        queue.offer(request("c", "watch"), None, 0).unwrap()
        self.assertEqual((queue.length("plan"), queue.length("watch")), (1, 1))

    def test_a_request_larger_than_its_quota_is_refused_without_retry(self) -> None:
        queue = queue_of(WorkKind("plan"), quotas=(TeamQuota("t", Size(1_500, 9, 9)),))
        refusal = self.refusal(queue, "a", size=Size(1_000), tasks=2)
        self.assertEqual((refusal.code, refusal.retry_after_ms), ("over_quota", 0))
        self.assertIn("cpu_millis", refusal.message)

    def test_a_request_is_refused_if_the_expected_wait_exceeds_its_deadline(
        self,
    ) -> None:
        """Guards against queueing requests that will expire before they start."""
        queue = queue_of(WorkKind("plan", queue_limit=1_000))
        for number in range(200):
            queue.offer(request(str(number)), None, 0).unwrap()
        for step in range(50):
            drain(queue, 1, now_ms=10 * (step + 1))
        refusal = queue.offer(request("x", deadline_ms=1_000), None, 500).unwrap_err()
        self.assertEqual(refusal.code, "too_late")
        self.assertAlmostEqual(refusal.retry_after_ms, 1_500, delta=100)
        queue.offer(request("y", deadline_ms=2_000), None, 500).unwrap()


class DrainRateTests(unittest.TestCase):
    def test_idle_time_does_not_lower_the_rate(self) -> None:
        """Guards against refusing requests because their kind is rarely used."""
        drain_rate = DrainRate()
        for start in range(0, 100_000, 10_000):
            drain_rate.record_enqueue(start)
            drain_rate.record_dequeue(start + 10, 0, 10, started=True)
        self.assertEqual(drain_rate.starts_per_ms, 0.1)
        self.assertEqual(drain_rate.wait_ms(5), 50)

    def test_cancellations_do_not_count_as_starts(self) -> None:
        drain_rate = DrainRate()
        drain_rate.record_enqueue(0)
        for number in range(20):
            drain_rate.record_dequeue(10, 20 - number, 10, started=False)
        self.assertIsNone(drain_rate.wait_ms(5))


class RemoveTests(unittest.TestCase):
    def test_many_cancellations_take_linear_time(self) -> None:
        """Guards against a linear search through the queue for each cancellation."""
        for policy in queue_policies:
            queue = queue_of(WorkKind("plan", queue_limit=10_000), policy=policy)
            requests = [request(str(n), team=f"t{n % 120}") for n in range(10_000)]
            for each in requests:
                queue.offer(each, None, 0).unwrap()
            begin = time.process_time()
            for each in requests:
                self.assertIsNotNone(queue.remove(each.key, 1))
            self.assertLess(time.process_time() - begin, 1.0)
            self.assertEqual(len(queue), 0)
            self.assertIsNone(queue.remove(requests[0].key))

    def test_requests_expire_once_and_removed_ones_do_not_expire(self) -> None:
        queue = queue_of(WorkKind("plan"))
        for name, deadline_ms in (("a", 10), ("b", 20), ("c", 10)):
            queue.offer(request(name, deadline_ms=deadline_ms), None, 0)
        queue.remove(request("c").key)
        self.assertEqual([queued.key.id for queued in queue.pop_expired(10)], ["a"])
        self.assertEqual(queue.pop_expired(10), [])
        self.assertEqual(len(queue), 1)


class OrderTests(unittest.TestCase):
    def test_weights_set_the_share_of_starts(self) -> None:
        queue = queue_of(WorkKind("plan", weight=1), WorkKind("watch", weight=3))
        for number in range(400):
            queue.offer(request(f"p{number}"), None, 0)
            queue.offer(request(f"w{number}", "watch"), None, 0)
        names = drain(queue, 400)
        share = sum(name.startswith("w") for name in names) / len(names)
        self.assertAlmostEqual(share, 0.75, delta=0.1)

    def test_urgent_requests_start_first_without_starving_other_kinds(self) -> None:
        queue = queue_of(WorkKind("plan", priority=5), WorkKind("urgent", priority=0))
        for number in range(300):
            queue.offer(request(f"p{number}"), None, 0)
            queue.offer(request(f"u{number}", "urgent"), None, 0)
        names = drain(queue, 200)
        self.assertTrue(all(name.startswith("u") for name in names[:20]))
        self.assertGreater(sum(name.startswith("p") for name in names), 50)

    def test_adopted_requests_do_not_count_as_starts(self) -> None:
        """Guards against starving a kind of which a new leader adopted many tasks."""
        queue = queue_of(WorkKind("plan"), WorkKind("watch"))
        for number in range(500):
            queue.allocate(request(f"adopted{number}"))
        for number in range(100):
            queue.offer(request(f"p{number}"), None, 0)
            queue.offer(request(f"w{number}", "watch"), None, 0)
        names = drain(queue, 100)
        self.assertGreater(sum(name.startswith("p") for name in names), 20)

    def test_an_idle_kind_gains_no_credit(self) -> None:
        queue = queue_of(WorkKind("plan"), WorkKind("watch"))
        for number in range(300):
            queue.offer(request(f"p{number}"), None, 0)
        drain(queue, 300)
        for number in range(100):
            queue.offer(request(f"w{number}", "watch"), None, 0)
            queue.offer(request(f"p{number}"), None, 0)
        names = drain(queue, 100)
        self.assertGreater(sum(name.startswith("p") for name in names), 20)

    def test_starts_are_shared_between_the_teams_of_a_kind(self) -> None:
        queue = queue_of(WorkKind("plan"))
        for number in range(50):
            queue.offer(request(f"a{number}", team="a"), None, 0)
        queue.offer(request("b0", team="b"), None, 0)
        self.assertIn("b0", drain(queue, 2))

    def test_fifo_starts_only_the_oldest_request(self) -> None:
        queue = queue_of(WorkKind("plan"), WorkKind("urgent"), policy="fifo")
        queue.offer(request("a"), None, 0)
        queue.offer(request("b", "urgent"), None, 0)
        self.assertIsNone(queue.next(0, lambda queued: queued.key.id == "b"))
        self.assertEqual(drain(queue, 2), ["a", "b"])

    def test_the_error_for_an_unknown_policy_lists_the_known_ones(self) -> None:
        with self.assertRaisesRegex(UnknownEntryError, "known: fifo, weighted_fair"):
            queue_of(policy="lifo")


class LimitTests(unittest.TestCase):
    capacity = Size(10_000, 10_000, 0, 10, 10)

    def fill(self, queue: AdmissionQueue, kind: str, count: int = 20) -> int:
        for number in range(count):
            queue.offer(request(f"{kind}{number}", kind), None, 0)
        return len(drain(queue, count))

    def test_a_flood_of_one_kind_does_not_use_the_floor_of_another(self) -> None:
        queue = queue_of(WorkKind("plan"), WorkKind("urgent", floor=0.4))
        queue.set_capacity(self.capacity)
        self.assertEqual(self.fill(queue, "plan"), 6)
        self.assertEqual(self.fill(queue, "urgent", 3), 3)
        self.assertEqual(drain(queue, 1), [])
        queue.release(request("urgent0").key)
        queue.release(request("plan0").key)
        self.assertEqual(len(drain(queue, 5)), 1)

    def test_a_ceiling_limits_the_allocation_of_a_kind(self) -> None:
        queue = queue_of(WorkKind("plan", ceiling=0.3))
        queue.set_capacity(self.capacity)
        self.assertEqual(self.fill(queue, "plan"), 3)

    def test_a_quota_limits_its_team_only(self) -> None:
        limit = Size(2_000, 10**6, 0, 100, 100)
        queue = queue_of(WorkKind("plan"), quotas=(TeamQuota("t", limit),))
        queue.offer(request("other", team="u"), None, 0)
        self.assertEqual(self.fill(queue, "plan"), 3)
        queue.release(request("plan0").key)
        self.assertEqual(len(drain(queue, 9)), 1)

    def test_repeated_allocations_and_releases_count_once(self) -> None:
        """Guards against wrong allocated totals after a failover.

        A failover can report the same request twice.
        """
        queue = queue_of(WorkKind("plan"))
        for _ in range(2):
            queue.allocate(request("a"))
        self.assertEqual(queue.allocated_to_kind("plan"), SMALL)
        for _ in range(2):
            queue.release(request("a").key)
        self.assertEqual(queue.allocated_to_team("t"), Size())


class LargeRequestTests(unittest.TestCase):
    def test_a_large_request_neither_blocks_others_nor_starves(self) -> None:
        queue = queue_of(WorkKind("plan"))
        queue.offer(request("large", size=Size(9_000, 9_000, 0, 1, 1)), None, 0)
        for number in range(9):
            queue.offer(request(f"s{number}"), None, 0)
        queued = queue.next(0, lambda queued: queued.request.size == SMALL)
        assert queued is not None
        self.assertEqual(queued.key.id, "s0")
        self.assertIsNone(queue.starving_request(1_000))
        starving_request = queue.starving_request(10_000)
        assert starving_request is not None
        self.assertEqual(starving_request.key.id, "large")
        queue.remove(starving_request.key)
        self.assertIsNone(queue.starving_request(10_001))

    def test_a_starving_request_is_tried_even_if_smaller_ones_do_not_fit(
        self,
    ) -> None:
        """Guards against reserving workers for a request that is then never tried."""
        queue = queue_of(WorkKind("plan"))
        queue.offer(request("large", size=Size(9_000, 9_000, 0, 1, 1)), None, 0)
        queue.offer(request("small"), None, 0)
        queue.next(0, lambda queued: False)
        self.assertIsNotNone(queue.starving_request(10_000))
        queued = queue.next(10_000, lambda queued: queued.key.id == "large")
        self.assertIsNotNone(queued)

    def test_the_number_of_requests_that_overtake_the_oldest_is_bounded(self) -> None:
        """Guards against starving a small request while larger ones keep arriving."""
        queue = queue_of(WorkKind("plan", queue_limit=1_000))
        queue.set_capacity(Size(10**9, 10**9, 0, 10**6, 10**6))
        queue.offer(request("small"), None, 0)
        for number in range(200):
            queue.offer(request(f"l{number}", size=Size(2_000, 2_000)), None, 0)
        names = drain(queue, 100)
        self.assertEqual(names[0], "l0")
        self.assertEqual(names.index("small"), 32)

    def test_a_reservation_expires_after_its_hold(self) -> None:
        """Guards against reserved capacity that stays empty forever.

        This would happen if tasks on the reserved workers never completed.
        """
        queue = queue_of(WorkKind("plan"))
        queue.offer(request("large", deadline_ms=10**6), None, 0)
        queue.next(0, lambda queued: False)
        self.assertIsNotNone(queue.starving_request(10_000))
        self.assertIsNotNone(queue.starving_request(39_000))
        self.assertIsNone(queue.starving_request(41_000))

    def test_a_size_that_did_not_fit_is_tried_once_per_pass(self) -> None:
        queue = queue_of(WorkKind("plan"))
        for number in range(10):
            queue.offer(request(str(number)), None, 0)
        tried = []
        queue.next(0, lambda queued: bool(tried.append(queued)))
        self.assertEqual(len(tried), 1)
