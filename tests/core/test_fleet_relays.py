"""Tests of the choice of relays."""

import unittest

from marigoldpath_core.fleet import FleetSettings, Tick, choose_relays, find_relay
from tests.core.fleet_fixture import FleetHarness, entry

SETTINGS = FleetSettings(workers_per_relay=10, max_relays=3)
CANDIDATES = {"small-a": 0.5, "small-b": 0.5, "large": 2.0, "medium": 1.0}
WORKERS = [f"worker-{number}" for number in range(300)]


class ChooseRelaysTests(unittest.TestCase):
    def test_the_largest_hosts_are_chosen(self):
        self.assertEqual(choose_relays(CANDIDATES, 20, SETTINGS), ("large", "medium"))

    def test_a_host_is_used_for_a_few_workers(self):
        self.assertEqual(choose_relays(CANDIDATES, 1, SETTINGS), ("large",))

    def test_the_number_of_relays_is_limited(self):
        # Each relay costs the leader two calls an interval.
        self.assertEqual(len(choose_relays(CANDIDATES, 1_000, SETTINGS)), 3)

    def test_there_may_be_no_suitable_host(self):
        self.assertEqual(choose_relays({}, 20, SETTINGS), ())


class FindRelayTests(unittest.TestCase):
    def test_the_workers_are_spread_over_the_relays(self):
        relays = ("a", "b", "c")
        counts = {
            relay: sum(1 for each in WORKERS if find_relay(each, relays) == relay)
            for relay in relays
        }
        self.assertGreater(min(counts.values()), 60)

    def test_the_loss_of_a_relay_moves_only_its_workers(self):
        before = {each: find_relay(each, ("a", "b", "c")) for each in WORKERS}
        for worker_id, relay in before.items():
            if relay != "b":
                self.assertEqual(find_relay(worker_id, ("a", "c")), relay)

    def test_without_relays_there_is_none(self):
        self.assertEqual(find_relay("worker", ()), "")


class NeedsRelaysTests(unittest.TestCase):
    """A leader that keeps up sends its commands itself, which is faster."""

    def setUp(self):
        self.harness = FleetHarness(entry("a"))
        self.scheduler = self.harness.scheduler

    def test_a_leader_that_keeps_up_needs_none(self):
        self.harness.handle(Tick(0, 1, 0.0))
        self.assertFalse(self.scheduler.needs_relays)

    def test_more_workers_than_the_host_has_connections_for_need_them(self):
        # Each worker takes several connections, and descriptors are limited.
        settings = FleetSettings(max_direct_workers=2)
        harness = FleetHarness(entry("a"), entry("b"), settings=settings)
        self.assertFalse(harness.scheduler.needs_relays)
        harness = FleetHarness(entry("a"), entry("b"), entry("c"), settings=settings)
        self.assertTrue(harness.scheduler.needs_relays)

    def test_a_single_delay_is_no_reason(self):
        # A host that was suspended once is not overloaded.
        self.harness.handle(Tick(0, 1, 5_000.0))
        self.assertFalse(self.scheduler.needs_relays)

    def test_a_leader_that_lags_repeatedly_needs_them(self):
        for _ in range(3):
            self.harness.handle(Tick(0, 1, 200.0))
        self.assertTrue(self.scheduler.needs_relays)
