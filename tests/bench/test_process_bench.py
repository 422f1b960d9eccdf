"""Tests of the calculations of the process benchmark; they start no process."""

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
    def test_split_workers_assigns_each_worker_once_with_separate_record_files(
        self,
    ) -> None:
        """Two processes that append to the same file would interleave their records."""
        plan = plan_run(_idle.zone_deployment(70), 21_000, Path("run"))
        parts = _run.split_workers(plan.workers, 32)
        names = [each["name"] for part in parts for each in part.settings["workers"]]
        self.assertEqual([len(p.settings["workers"]) for p in parts], [32, 32, 6])
        self.assertEqual(names, [host.name for host in plan.worker_hosts])
        self.assertEqual(len({part.settings["record"] for part in parts}), 3)

    def test_claims_are_not_counted_as_starts(self) -> None:
        self.assertEqual(_run.request_name("claim:zadar:1:host"), "")
        self.assertEqual(_run.request_name("loft/zadar/a#2.0"), "loft/zadar/a")

    def test_starts_are_counted_in_a_half_open_interval(self) -> None:
        runs = [
            _run.TaskRecord("a", "w", "started", at_ms) for at_ms in (9, 10, 19, 20)
        ]
        self.assertEqual(_run.count_starts(runs, 10, 20), 2)


class IdleTests(unittest.TestCase):
    def test_the_host_list_has_eight_zones_but_one_zone_has_processes(self) -> None:
        plan = plan_run(_idle.zone_deployment(40), 21_000, Path("run"))
        whole = _idle.with_other_zones(plan, 40)
        self.assertEqual(len(whole.platform.settings["workers"]), 320)
        self.assertEqual(len(whole.workers), 1)
        zones = whole.daemons[0].settings["availability_zones"]
        self.assertEqual(zones, list(_idle.ZONES))


class PercentileTests(unittest.TestCase):
    def test_percentiles_use_the_nearest_rank(self) -> None:
        values = [float(number) for number in range(1, 1_001)]
        self.assertEqual(_model.percentile(values, 99.9), 999.0)
        self.assertEqual(_model.percentile([5.0], 50.0), 5.0)
        self.assertTrue(math.isnan(_model.percentile([], 50.0)))

    def test_a_missing_value_misses_its_target(self) -> None:
        """A run without results must not pass; comparisons with NaN are false."""
        line = _model.measure("m", "v", float("nan"), "ms", 1, target=20.0)
        self.assertIs(line["met"], False)


class LoadTests(unittest.TestCase):
    def test_in_zone_targets_name_only_the_zone_of_their_entry_host(self) -> None:
        deployment = _idle.zone_deployment(8)._replace(
            availability_zones=("zone-1", "x")
        )
        addresses = ["a:1", "b:1", "c:1"]
        inside = _callers.targets(deployment, addresses, in_zone=True)
        self.assertEqual({each["availability_zone"] for each in inside}, {"zone-1"})
        self.assertEqual(len(_callers.targets(deployment, addresses, False)), 6)


class TimerTests(unittest.TestCase):
    def test_nested_timed_calls_are_counted_once(self) -> None:
        """Otherwise JSON that the core encodes would be counted in both groups."""
        timers = Timers(io.StringIO())
        inner = timers.wrap("codec_ns", lambda: sum(range(200_000)))
        outer = timers.wrap("core_ns", lambda: inner())
        before = dict(timers.cpu_times)
        outer()
        self.assertEqual(timers.cpu_times["codec_ns"], before["codec_ns"])
        self.assertGreater(timers.cpu_times["core_ns"], before["core_ns"])

    def test_the_processor_time_between_lines_is_scaled_to_the_interval(self) -> None:
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
            cpu_time = _timers.read_cpu_time(plan, 100, 300)
        self.assertAlmostEqual(cpu_time.cpu_us, 16.0)


if __name__ == "__main__":
    unittest.main()
