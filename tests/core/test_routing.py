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
    def test_a_late_message_of_an_old_leader_does_not_replace_the_new(self) -> None:
        views = LeaderCache(SETTINGS)
        views.update(leader(3, "r2"))
        self.assertFalse(views.update(leader(2, "r1")))
        self.assertEqual(views.view("rijeka"), leader(3, "r2"))

    def test_a_late_beacon_does_not_revive_a_released_leader(self) -> None:
        views = LeaderCache(SETTINGS)
        row = {"epoch": 3, "host": "r1", "address": "r1:1", "released": True}
        views.update_from_row("rijeka", row, 0)
        self.assertFalse(views.update(leader(3)))
        self.assertEqual(views.route("rijeka", 10).kind, RouteKind.NO_LEADER)

    def test_an_old_view_is_refreshed_once_and_then_used(self) -> None:
        views = LeaderCache(SETTINGS)
        views.update(leader(1))
        self.assertEqual(views.route("rijeka", 5_000).kind, RouteKind.FORWARD)
        self.assertEqual(views.route("rijeka", 5_001).kind, RouteKind.REFRESH)
        views.mark_checked("rijeka", 5_001)
        self.assertEqual(views.route("rijeka", 5_002).kind, RouteKind.FORWARD)

    def test_without_a_leader_the_row_is_not_read_for_each_request(self) -> None:
        views = LeaderCache(SETTINGS)
        self.assertEqual(views.route("rijeka", 0).kind, RouteKind.REFRESH)
        views.update_from_row("rijeka", None, 0)
        self.assertEqual(views.route("rijeka", 999).kind, RouteKind.NO_LEADER)
        self.assertEqual(views.route("rijeka", 1_000).kind, RouteKind.REFRESH)

    def test_a_leader_that_does_not_answer_is_looked_up_before_the_next_use(
        self,
    ) -> None:
        views = LeaderCache(SETTINGS)
        views.update(leader(1, seen_ms=9_000))
        views.invalidate("rijeka")
        self.assertEqual(views.route("rijeka", 9_001).kind, RouteKind.REFRESH)

    def test_a_zone_that_is_not_in_the_settings_takes_no_memory(self) -> None:
        views = LeaderCache(SETTINGS)
        self.assertFalse(views.update(leader(1)._replace(availability_zone="x")))
        self.assertEqual(views.views, ())


class RedirectTests(unittest.TestCase):
    def test_a_second_redirect_is_not_followed(self) -> None:
        self.assertEqual(follow_redirect(leader(1), "r9:1", 1).kind, RouteKind.FORWARD)
        self.assertEqual(
            follow_redirect(leader(1), "r9:1", 2).kind, RouteKind.NO_LEADER
        )

    def test_a_peer_that_names_itself_gives_no_loop(self) -> None:
        self.assertEqual(
            follow_redirect(leader(1), "r1:1", 1).kind, RouteKind.NO_LEADER
        )


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_under_a_tenth_of_the_last_ten_seconds(self) -> None:
        budget = RetryBudget(RoutingSettings())
        for number in range(100):
            budget.count_request(number * 90)
        self.assertEqual(sum(budget.try_acquire(9_000) for _ in range(50)), 10)

    def test_old_requests_give_no_retries(self) -> None:
        budget = RetryBudget(RoutingSettings())
        for _ in range(100):
            budget.count_request(0)
        self.assertEqual(sum(budget.try_acquire(10_000) for _ in range(50)), 1)


class NextLeaderTests(unittest.TestCase):
    key = RequestKey("t", "rijeka", "r1")

    def test_a_handover_is_followed_and_a_plain_refusal_is_not(self) -> None:
        for kind in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
            outcome = Outcome(self.key, kind, "leader_changed")
            self.assertTrue(should_resubmit_to_next_leader(outcome, moving=False))
        refused = Outcome(self.key, OutcomeKind.NOT_RUN, "queue_full")
        self.assertFalse(should_resubmit_to_next_leader(refused, moving=True))

    def test_a_next_leader_that_is_not_ready_is_asked_again(self) -> None:
        early = Outcome(self.key, OutcomeKind.NOT_RUN, "zone_recovering")
        self.assertTrue(should_resubmit_to_next_leader(early, moving=True))
        self.assertFalse(should_resubmit_to_next_leader(early, moving=False))


class RecoveryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = RetryBudget(RoutingSettings())

    def decide(self, facts: StateLookup) -> RecoveryAction:
        return decide_recovery(facts, self.budget, 0)

    def test_an_outcome_that_the_leader_knows_costs_no_retry(self) -> None:
        facts = StateLookup(answered=True, found=True, finished=True)
        self.assertEqual(self.decide(facts), RecoveryAction.ANSWER)
        self.assertTrue(self.budget.try_acquire(0))

    def test_silence_of_the_leader_is_never_told_as_not_run(self) -> None:
        self.assertEqual(
            self.decide(StateLookup(answered=False)), RecoveryAction.UNKNOWN
        )

    def test_a_leader_that_never_got_the_submission_gets_it_again(self) -> None:
        facts = StateLookup(answered=True, found=False)
        self.assertEqual(self.decide(facts), RecoveryAction.RESUBMIT)

    def test_a_request_in_progress_is_waited_for(self) -> None:
        facts = StateLookup(answered=True, found=True, subscribed=True)
        self.assertEqual(self.decide(facts), RecoveryAction.WAIT)

    def test_an_exhausted_budget_ends_in_unknown(self) -> None:
        self.budget.try_acquire(0)
        self.assertEqual(
            self.decide(StateLookup(answered=True)), RecoveryAction.UNKNOWN
        )


if __name__ == "__main__":
    unittest.main()
