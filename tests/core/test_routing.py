"""Tests of the forwarding decisions."""

import unittest

from marigoldpath_core.requests import Outcome, OutcomeKind, RequestKey
from marigoldpath_core.routing import (
    LeaderCache,
    LeaderView,
    RecoveryAction,
    RetryBudget,
    RouteKind,
    StateLookup,
    decide_recovery,
    follow_redirect,
    should_resubmit_to_next_leader,
)
from marigoldpath_core.settings import DaemonSettings, RoutingSettings

SETTINGS = DaemonSettings("e1", "jadran", "zadar", ("zadar", "rijeka"), "127.0.0.1:1")


def leader(epoch: int, host: str = "r1", seen_ms: int = 0) -> LeaderView:
    return LeaderView("rijeka", epoch, host, f"{host}:1", seen_ms=seen_ms)


class LeaderCacheTests(unittest.TestCase):
    def test_a_late_message_from_a_previous_leader_is_ignored(self) -> None:
        cache = LeaderCache(SETTINGS)
        cache.update(leader(3, "r2"))
        self.assertFalse(cache.update(leader(2, "r1")))
        self.assertEqual(cache.view("rijeka"), leader(3, "r2"))

    def test_a_late_beacon_does_not_restore_a_released_leader(self) -> None:
        cache = LeaderCache(SETTINGS)
        row = {"epoch": 3, "host": "r1", "address": "r1:1", "released": True}
        cache.update_from_row("rijeka", row, 0)
        self.assertFalse(cache.update(leader(3)))
        self.assertEqual(cache.route("rijeka", 10).kind, RouteKind.NO_LEADER)

    def test_an_expired_view_is_used_after_one_refresh_attempt(self) -> None:
        cache = LeaderCache(SETTINGS)
        cache.update(leader(1))
        self.assertEqual(cache.route("rijeka", 5_000).kind, RouteKind.FORWARD)
        self.assertEqual(cache.route("rijeka", 5_001).kind, RouteKind.REFRESH)
        cache.mark_checked("rijeka", 5_001)
        self.assertEqual(cache.route("rijeka", 5_002).kind, RouteKind.FORWARD)

    def test_without_a_leader_the_row_is_read_at_a_bounded_rate(self) -> None:
        cache = LeaderCache(SETTINGS)
        self.assertEqual(cache.route("rijeka", 0).kind, RouteKind.REFRESH)
        cache.update_from_row("rijeka", None, 0)
        self.assertEqual(cache.route("rijeka", 999).kind, RouteKind.NO_LEADER)
        self.assertEqual(cache.route("rijeka", 1_000).kind, RouteKind.REFRESH)

    def test_an_invalidated_leader_is_refreshed_before_the_next_use(
        self,
    ) -> None:
        cache = LeaderCache(SETTINGS)
        cache.update(leader(1, seen_ms=9_000))
        cache.invalidate("rijeka")
        self.assertEqual(cache.route("rijeka", 9_001).kind, RouteKind.REFRESH)

    def test_a_zone_that_is_not_in_the_settings_is_not_cached(self) -> None:
        cache = LeaderCache(SETTINGS)
        self.assertFalse(cache.update(leader(1)._replace(availability_zone="x")))
        self.assertEqual(cache.views, ())


class RedirectTests(unittest.TestCase):
    def test_a_second_redirect_is_not_followed(self) -> None:
        self.assertEqual(follow_redirect(leader(1), "r9:1", 1).kind, RouteKind.FORWARD)
        self.assertEqual(
            follow_redirect(leader(1), "r9:1", 2).kind, RouteKind.NO_LEADER
        )

    def test_a_peer_that_redirects_to_itself_is_not_followed(self) -> None:
        self.assertEqual(
            follow_redirect(leader(1), "r1:1", 1).kind, RouteKind.NO_LEADER
        )


class RetryBudgetTests(unittest.TestCase):
    def test_retries_are_at_most_a_tenth_of_the_requests_in_the_window(self) -> None:
        budget = RetryBudget(RoutingSettings())
        for number in range(100):
            budget.count_request(number * 90)
        self.assertEqual(sum(budget.try_acquire(9_000) for _ in range(50)), 10)

    def test_requests_outside_the_window_allow_no_retries(self) -> None:
        budget = RetryBudget(RoutingSettings())
        for _ in range(100):
            budget.count_request(0)
        self.assertEqual(sum(budget.try_acquire(10_000) for _ in range(50)), 1)


class NextLeaderTests(unittest.TestCase):
    key = RequestKey("t", "rijeka", "r1")

    def test_a_request_is_resubmitted_after_a_handover_but_not_after_a_refusal(
        self,
    ) -> None:
        for kind in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
            outcome = Outcome(self.key, kind, "leader_changed")
            self.assertTrue(should_resubmit_to_next_leader(outcome, handed_over=False))
        refused = Outcome(self.key, OutcomeKind.NOT_RUN, "queue_full")
        self.assertFalse(should_resubmit_to_next_leader(refused, handed_over=True))

    def test_a_next_leader_that_is_not_ready_is_retried(self) -> None:
        not_ready = Outcome(self.key, OutcomeKind.NOT_RUN, "zone_recovering")
        self.assertTrue(should_resubmit_to_next_leader(not_ready, handed_over=True))
        self.assertFalse(should_resubmit_to_next_leader(not_ready, handed_over=False))


class RecoveryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(RoutingSettings())

    def decide(self, lookup: StateLookup) -> RecoveryAction:
        return decide_recovery(lookup, self.budget, 0)

    def test_an_outcome_that_the_leader_has_uses_no_retry(self) -> None:
        lookup = StateLookup(answered=True, found=True, finished=True)
        self.assertEqual(self.decide(lookup), RecoveryAction.ANSWER)
        self.assertTrue(self.budget.try_acquire(0))

    def test_a_missing_reply_is_never_reported_as_not_run(self) -> None:
        self.assertEqual(
            self.decide(StateLookup(answered=False)), RecoveryAction.UNKNOWN
        )

    def test_a_submission_that_the_leader_does_not_have_is_resubmitted(self) -> None:
        lookup = StateLookup(answered=True, found=False)
        self.assertEqual(self.decide(lookup), RecoveryAction.RESUBMIT)

    def test_a_submission_to_the_current_leader_waits_for_its_outcome(self) -> None:
        lookup = StateLookup(answered=True, found=True, subscribed=True)
        self.assertEqual(self.decide(lookup), RecoveryAction.WAIT)

    def test_an_exhausted_retry_budget_gives_an_unknown_outcome(self) -> None:
        self.budget.try_acquire(0)
        self.assertEqual(
            self.decide(StateLookup(answered=True)), RecoveryAction.UNKNOWN
        )


if __name__ == "__main__":
    unittest.main()
