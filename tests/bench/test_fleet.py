"""Tests of the process manager with the fake platform and workers, without daemons."""

import os
import tempfile
import unittest
from pathlib import Path

import curio

from marigoldpath_bench.deployment import (
    count_ports,
    find_deployment,
    load_deployment,
    plan_run,
)
from marigoldpath_bench.fleet import Fleet, free_base_port
from marigoldpath_bench.fleet._environment import environment_lines
from marigoldpath_bench.fleet._fleet import serving_zones


def is_alive(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


class FleetTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        deployment = load_deployment(find_deployment("sfax") / "deployment.json")
        port = free_base_port(count_ports(deployment))
        self.plan = plan_run(deployment, port, Path(folder.name))

    async def start(self, fleet: Fleet) -> None:
        await fleet.start_platform_and_workers()
        await fleet.close()

    def test_an_exception_stops_all_processes_including_a_paused_one(self) -> None:
        pids: list[int] = []
        with self.assertRaises(KeyboardInterrupt), Fleet(self.plan, "") as fleet:
            curio.run(self.start, fleet)
            pids = [process.pid for process in fleet.processes.values()]
            fleet.pause("workers-thyna")
            raise KeyboardInterrupt
        self.assertEqual(len(pids), 4)
        self.assertEqual([pid for pid in pids if is_alive(pid)], [])

    def test_workers_of_the_host_list_reply_and_a_kill_is_reported(self) -> None:
        async def run(fleet: Fleet) -> None:
            await self.start(fleet)
            reply = await fleet.send_control(self.plan.worker_hosts[5].address, {})
            self.assertEqual(reply["mode"], "ok")
            fleet.kill("workers-thyna")
            process = fleet.processes["workers-thyna"]
            self.assertEqual(await process.wait(5), -9)
            await fleet.close()

        with Fleet(self.plan, "") as fleet:
            curio.run(run, fleet)
        self.assertEqual(len(self.plan.record_paths), 3)
        for path in self.plan.record_paths:
            self.assertIn('"up"', path.read_text())

    def test_a_leader_that_does_not_serve_yet_does_not_count_for_its_zone(self) -> None:
        health = {"availability_zone": "thyna", "leader": {}, "serving": False}
        self.assertEqual(serving_zones(health), set())
        self.assertEqual(serving_zones({**health, "serving": True}), {"thyna"})

    def test_the_environment_exports_every_entry_host_and_key(self) -> None:
        lines = environment_lines(self.plan)
        addresses = [daemon.address for daemon in self.plan.daemons]
        self.assertIn(f"export MARIGOLDPATH_ENTRY={','.join(addresses)}", lines)
        self.assertIn("export KEY_ROUNDS=sfax-key-of-rounds-0001", lines)
        self.assertIn("export MARIGOLDPATH_KEY=sfax-key-of-operator-0001", lines)
