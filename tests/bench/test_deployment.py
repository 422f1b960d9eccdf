"""Tests of the deployments, their settings files and their traces."""

import tempfile
import unittest
from collections import Counter
from pathlib import Path

from result import Ok

from marigoldpath_bench.deployment import (
    Deployment,
    count_ports,
    daemon_settings,
    find_deployment,
    load_deployment,
    plan_run,
    write_run,
)
from marigoldpath_bench.trace import TraceSettings, generate_trace, read_trace
from marigoldpath_core.requests import parse_request
from marigoldpath_core.settings import load_settings


def load(name: str) -> Deployment:
    return load_deployment(find_deployment(name) / "deployment.json")


class DeploymentTests(unittest.TestCase):
    def test_hosts_and_racks_match_the_design_page(self) -> None:
        for name, entry_hosts, in_rack, cores in (
            ("skala", 6, 6, 64),
            ("sfax", 7, 8, 32),
        ):
            deployment = load(name)
            workers = deployment.workers()
            self.assertEqual(len(workers), 24)
            self.assertEqual(len(deployment.entry_hosts), entry_hosts)
            racks = Counter(worker.rack for worker in workers)
            self.assertEqual(set(racks.values()), {in_rack})
            self.assertEqual({w.capacity.cpu_millis for w in workers}, {cores * 1_000})

    def test_hanbit_has_a_service_with_and_one_without_accelerators(self) -> None:
        deployment = load("hanbit")
        self.assertEqual(len(deployment.entry_hosts), 8)
        accelerators = Counter(
            worker.capacity.accelerators for worker in deployment.workers()
        )
        self.assertEqual(accelerators, {0: 19, 8: 8})

    def test_every_process_of_a_run_has_a_unique_address(self) -> None:
        deployment = load("sfax")
        plan = plan_run(deployment, 20_000, Path("run"))
        addresses = [host.address for host in (*plan.worker_hosts, *plan.daemons)]
        addresses.append(plan.platform.address)
        self.assertEqual(len(set(addresses)), count_ports(deployment))

    def test_the_settings_file_round_trips_through_the_daemon(self) -> None:
        deployment = load("skala")
        host = deployment.entry_hosts[0]
        with tempfile.TemporaryDirectory() as folder:
            plan = plan_run(deployment, 20_000, Path(folder))
            write_run(plan)
            text = plan.daemons[0].settings_path(Path(folder)).read_text()
        planned = daemon_settings(deployment, host, 20_001, "127.0.0.1:20000")
        self.assertEqual(load_settings(text), Ok(planned))


class TraceTests(unittest.TestCase):
    def test_the_committed_traces_are_those_of_seed_1(self) -> None:
        for name in ("skala", "sfax", "hanbit"):
            committed = read_trace(find_deployment(name) / "trace.jsonl")
            self.assertEqual(committed, generate_trace(load(name), TraceSettings(1)))

    def test_every_request_is_valid_and_all_kinds_occur(self) -> None:
        for name in ("skala", "sfax", "hanbit"):
            deployment = load(name)
            trace = generate_trace(deployment, TraceSettings(7))
            self.assertTrue(all(parse_request(item.request).is_ok() for item in trace))
            kinds = {item.request["kind"] for item in trace}
            self.assertEqual(kinds, {kind.name for kind in deployment.kinds})
