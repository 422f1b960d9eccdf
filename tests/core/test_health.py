"""Tests of the removal of failing workers and the detection of faulty requests."""

import unittest

from marigoldpath_core.health import MAX_UNPROVEN_STARTS, WorkerHealth
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import SchedulerSettings

FLEET = [f"w{number}" for number in range(8)]


def key(number: object, team: str = "t") -> RequestKey:
    return RequestKey(team, "zadar", str(number))


class Zone:
    """Starts and ends tasks on workers as far as `WorkerHealth` allows starts."""

    def __init__(self, fleet=FLEET, rule: str = "bounded_losses") -> None:
        self.health = WorkerHealth(SchedulerSettings(), rule)
        self.health.set_workers(fleet)
        self.number = 0

    def start(self, worker: str, now_ms: int, most: int, team: str = "t") -> list:
        started = []
        while len(started) < most and self.health.may_place(worker, now_ms):
            self.number += 1
            started.append(key(self.number, team))
            self.health.record_start(worker, started[-1], "k")
        return started

    def end(self, worker: str, keys: list, ok: bool | None, now_ms: int) -> None:
        for request_key in keys:
            self.health.record_end(worker, request_key, "k", ok, now_ms)

    def fail(self, worker: str, now_ms: int = 0, most: int = 9) -> int:
        started = self.start(worker, now_ms, most)
        self.end(worker, started, False, now_ms)
        return len(started)


class RemovalTests(unittest.TestCase):
    def test_a_worker_that_fails_every_task_receives_at_most_five(self) -> None:
        zone = Zone()
        self.assertLessEqual(zone.fail("w0"), 5)
        self.assertIn("w0", zone.health.removed())
        self.assertEqual(zone.fail("w0", 4_000), 0)

    def test_single_failures_remove_a_worker_that_succeeded_before(self) -> None:
        zone = Zone()
        zone.end("w0", zone.start("w0", 0, 5), True, 100)
        placed = sum(zone.fail("w0", 200 + n, most=1) for n in range(20))
        self.assertLessEqual(placed, 5)
        self.assertIn("w0", zone.health.removed())

    def test_a_late_success_of_an_earlier_start_does_not_clear_failures(self) -> None:
        zone = Zone()
        older = zone.start("w0", 0, 2)
        zone.fail("w0", 1_500, most=3)
        zone.end("w0", older, True, 1_600)
        self.assertIn("w0", zone.health.removed())

    def test_long_tasks_do_not_block_a_healthy_worker(self) -> None:
        zone = Zone()
        self.assertEqual(len(zone.start("w0", 0, 9)), MAX_UNPROVEN_STARTS)
        self.assertEqual(zone.health.workers_to_recheck(500), [])
        self.assertEqual(zone.health.workers_to_recheck(1_500), ["w0"])
        self.assertEqual(len(zone.start("w0", 1_500, 3)), 3)

    def test_a_stopped_task_does_not_count(self) -> None:
        zone = Zone()
        for _ in range(9):
            zone.end("w0", zone.start("w0", 0, 1), None, 0)
        self.assertEqual(zone.health.removed(), {})
        self.assertTrue(zone.health.may_place("w0", 0))

    def test_at_most_a_quarter_of_the_fleet_is_removed(self) -> None:
        """Guards against removing all workers of a zone due to a scheduler bug."""
        zone = Zone()
        for worker in FLEET:
            zone.end(worker, zone.start(worker, 0, 5, team=worker), False, 0)
        self.assertEqual(len(zone.health.removed()), 2)
        # The other workers stay in service but run one task at a time.
        self.assertEqual(len(zone.start("w7", 0, 9)), 1)

    def test_the_baseline_rule_removes_no_worker(self) -> None:
        zone = Zone(rule="none")
        self.assertEqual(zone.fail("w0", most=50), 50)
        self.assertEqual(zone.health.removed(), {})


class ProbeTests(unittest.TestCase):
    def test_probes_run_one_at_a_time_with_increasing_delays(self) -> None:
        zone = Zone()
        zone.fail("w0")
        self.assertEqual(zone.start("w0", 4_999, 9), [])
        self.assertEqual(zone.fail("w0", 5_000), 1)
        self.assertEqual(zone.start("w0", 14_999, 9), [])
        self.assertEqual(zone.fail("w0", 15_000), 1)
        self.assertEqual(zone.start("w0", 34_999, 9), [])

    def test_a_successful_probe_returns_the_worker_to_service(self) -> None:
        zone = Zone()
        zone.fail("w0")
        self.assertEqual(zone.health.workers_to_recheck(5_000), ["w0"])
        self.assertTrue(zone.health.is_probe("w0"))
        zone.end("w0", zone.start("w0", 5_000, 9), True, 5_100)
        self.assertEqual(zone.health.removed(), {})
        self.assertGreater(len(zone.start("w0", 5_200, 9)), 1)

    def test_the_record_of_a_worker_that_left_is_dropped(self) -> None:
        zone = Zone()
        zone.fail("w0")
        zone.health.set_workers(FLEET[1:])
        self.assertEqual(zone.health.removed(), {})


class FaultyRequestTests(unittest.TestCase):
    def test_a_request_that_fails_on_several_workers_is_faulty(self) -> None:
        zone = Zone()
        for number, worker in enumerate(FLEET[:3]):
            self.assertIsNone(zone.health.request_fault(key("bad")))
            zone.health.record_start(worker, key("bad"), "k")
            zone.health.record_end(worker, key("bad"), "k", False, number)
        self.assertIn("w0, w1, w2", zone.health.request_fault(key("bad")) or "")
        # The failures of a faulty request are not attributed to the workers.
        for worker in FLEET[:3]:
            zone.end(worker, zone.start(worker, 9, 2), False, 9)
        self.assertEqual(zone.health.removed(), {})

    def test_retries_of_one_request_do_not_remove_a_worker(self) -> None:
        zone = Zone()
        for _ in range(4):
            zone.health.record_start("w0", key("bad"), "k")
            zone.health.record_end("w0", key("bad"), "k", False, 0)
        self.assertEqual(zone.health.removed(), {})

    def test_a_team_whose_requests_always_fail_removes_no_workers(self) -> None:
        """Guards against removing workers because of requests that never succeed."""
        zone = Zone()
        for _ in range(10):
            for worker in FLEET:
                zone.fail(worker, most=1)
        self.assertTrue(zone.health.is_faulty_kind("t", "k"))
        self.assertEqual(zone.health.removed(), {})
        zone.end("w0", zone.start("w0", 0, 1), True, 1)
        self.assertFalse(zone.health.is_faulty_kind("t", "k"))
