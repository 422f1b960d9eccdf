"""Tests of how the benchmark of processes counts; no process is started."""

import io
import json
import math
import tempfile
import unittest
from pathlib import Path

from marigoldpath_bench.deployment import plan_run
from marigoldpath_bench.process_bench import _callers, _idle, _model, _run, _timers
from marigoldpath_bench.timed_daemon import LOG_SUFFIX, Timers


class RunTests(unittest.TestCase):
    def test_each_worker_is_in_one_process_with_a_record_of_its_own(self) -> None:
        """Two processes that append to one file would mix their records."""
        plan = plan_run(_idle.zone_deployment(70), 21_000, Path("run"))
        parts = _run.split_workers(plan.workers, 32)
        names = [each["name"] for part in parts for each in part.settings["workers"]]
        self.assertEqual([len(p.settings["workers"]) for p in parts], [32, 32, 6])
        self.assertEqual(names, [host.name for host in plan.worker_hosts])
        self.assertEqual(len({part.settings["record"] for part in parts}), 3)

    def test_claims_are_not_counted_as_starts(self) -> None:
        self.assertEqual(_run.request_name("claim:zadar:1:host"), "")
        self.assertEqual(_run.request_name("loft/zadar/a#2.0"), "loft/zadar/a")

    def test_a_span_holds_its_begin_and_not_its_end(self) -> None:
        runs = [
            _run.TaskRecord("a", "w", "started", at_ms) for at_ms in (9, 10, 19, 20)
        ]
        self.assertEqual(_run.count_starts(runs, 10, 20), 2)


class IdleTests(unittest.TestCase):
    def test_the_host_list_has_eight_zones_and_the_run_one(self) -> None:
        plan = plan_run(_idle.zone_deployment(40), 21_000, Path("run"))
        whole = _idle.with_other_zones(plan, 40)
        self.assertEqual(len(whole.platform.settings["workers"]), 320)
        self.assertEqual(len(whole.workers), 1)
        zones = whole.daemons[0].settings["availability_zones"]
        self.assertEqual(zones, list(_idle.ZONES))


class PercentileTests(unittest.TestCase):
    def test_the_nearest_rank_is_taken(self) -> None:
        values = [float(number) for number in range(1, 1_001)]
        self.assertEqual(_model.percentile(values, 99.9), 999.0)
        self.assertEqual(_model.percentile([5.0], 50.0), 5.0)
        self.assertTrue(math.isnan(_model.percentile([], 50.0)))

    def test_a_missing_value_misses_its_target(self) -> None:
        """NaN compares as false, so a run without results must not pass."""
        line = _model.measure("m", "v", float("nan"), "ms", 1, target=20.0)
        self.assertIs(line["met"], False)


class LoadTests(unittest.TestCase):
    def test_callers_in_the_zone_name_only_their_entry_host_s_zone(self) -> None:
        deployment = _idle.zone_deployment(8)._replace(
            availability_zones=("zone-1", "x")
        )
        addresses = ["a:1", "b:1", "c:1"]
        inside = _callers.targets(deployment, addresses, in_zone=True)
        self.assertEqual({each["availability_zone"] for each in inside}, {"zone-1"})
        self.assertEqual(len(_callers.targets(deployment, addresses, False)), 6)


class TimerTests(unittest.TestCase):
    def test_a_timed_call_within_another_one_counts_once(self) -> None:
        """JSON that the core encodes would otherwise be in both groups."""
        timers = Timers(io.StringIO())
        inner = timers.wrap("codec_ns", lambda: sum(range(200_000)))
        outer = timers.wrap("core_ns", lambda: inner())
        before = dict(timers.spent)
        outer()
        self.assertEqual(timers.spent["codec_ns"], before["codec_ns"])
        self.assertGreater(timers.spent["core_ns"], before["core_ns"])

    def test_what_lines_within_the_span_show_is_scaled_to_the_span(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            plan = plan_run(_idle.zone_deployment(8), 21_000, Path(folder))
            plan = plan._replace(daemons=plan.daemons[:1])
            path = plan.daemons[0].settings_path(plan.folder).with_suffix(LOG_SUFFIX)
            counts = {"cpu_ns": 9_000, "timer_ns": 1_000, "core_ns": 0, "codec_ns": 0}
            lines = [
                {
                    "at_ms": at_ms,
                    **{name: value * step for name, value in counts.items()},
                }
                for step, at_ms in enumerate((50, 100, 200, 300))
            ]
            path.write_text("\n".join(json.dumps(line) for line in lines))
            spent = _timers.read_cpu_time(plan, 100, 300)
        self.assertAlmostEqual(spent.cpu_us, 16.0)


if __name__ == "__main__":
    unittest.main()
