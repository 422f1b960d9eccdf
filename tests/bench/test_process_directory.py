"""Tests of the real program: the directory has entries of another program's servers."""

import tempfile
import unittest
from pathlib import Path

import curio

from marigoldpath_bench.platform_fakes import FakeServer
from marigoldpath_core.jobs import JobSpec, JobState, Resources, StepSpec
from marigoldpath_node.http import json_response
from tests.bench.cell_processes import TIMEOUT_S, CellProcesses

JOB = "a" * 16
NEXT_JOB = "b" * 16
# Each worker of the cell has room for four such tasks.
STEP = StepSpec(6, Resources(16_000, 2_000, 0), estimate_ms=2_000)
CLOSED_PORT = "127.0.0.1:9"


class UnknownServer(FakeServer):
    """A server of another program, which does not know our calls."""

    def __init__(self):
        super().__init__()
        self.calls = 0

    async def respond(self, request, body):
        self.calls += 1
        return json_response(404, {"error": "no such path"})


class GarbageServer(UnknownServer):
    """A server whose answers to our calls make no sense."""

    async def respond(self, request, body):
        self.calls += 1
        return json_response(200, {"clock-ms": "yesterday", "running": 7})


class SilentServer(UnknownServer):
    """A server that never answers."""

    async def respond(self, request, body):
        self.calls += 1
        await curio.sleep(TIMEOUT_S)
        return json_response(200, {})


class ForeignEntryTests(unittest.TestCase):
    """Guards against a leader that counts the entries of other programs as workers.

    It never had a majority. So it handed over again and again, and no leader waited
    long enough for the leases of a worker that was lost.
    """

    def test_a_job_of_a_lost_worker_is_done_beside_many_of_them(self):
        with tempfile.TemporaryDirectory() as folder:
            self.cell = cell = CellProcesses(Path(folder), hosts=3, workers=3)
            servers = [UnknownServer(), GarbageServer(), SilentServer()]

            async def action():
                for each in cell.workers:
                    each.worker.failed_run_share = 0.0
                for server in servers:
                    await server.start()
                self.write_entries([each.address for each in servers])
                await cell.submit(JobSpec(JOB, JOB, (STEP,)))
                lost = await cell.wait_for_runs(STEP.width)
                # It is lost for good, together with the leader.
                cell.worker_proxies[lost.worker_id].mode = "silent"
                lost.worker.restart(cell.now_ms())
                cell.store.remove("servers", lost.worker_id)
                await cell.stop_leader()
                await cell.wait_for_next_leader(2)
                await cell.wait_for_state(JOB, JobState.DONE)
                await cell.submit(JobSpec(NEXT_JOB, NEXT_JOB, (STEP,)))
                await cell.wait_for_state(NEXT_JOB, JobState.DONE)

            cell.run(action)
            states = {JOB: JobState.DONE, NEXT_JOB: JobState.DONE}
            self.assertEqual(cell.oracle.violations(states), [])
            self.assertEqual(cell.log_lines("workers_out_of_reach"), [])
            self.assertEqual([each.calls for each in servers], [0, 0, 0])
            self.assertTrue(cell.log_lines("directory_entries_ignored"))

    def write_entries(self, addresses):
        """Write valid entries of a service that is not configured, and invalid ones."""
        worker = self.cell.workers[0]
        for number, address in enumerate([*addresses * 3, CLOSED_PORT]):
            entry = {**worker.entry(address), "service": "billing"}
            self.cell.store.put("servers", f"billing-{number}", entry)
        self.cell.store.put("servers", "no-json", b"\xff\x00[")
        self.cell.store.put("servers", "nested", b"[" * 50_000)
        self.cell.store.put("servers", "no-fields", {"service": "service"})


if __name__ == "__main__":
    unittest.main()
