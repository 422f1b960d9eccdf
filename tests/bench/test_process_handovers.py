"""Tests of the real program: leaders are stopped while a worker is cut off."""

import tempfile
import unittest
from pathlib import Path

from marigoldpath_core.jobs import JobSpec, JobState, Resources, StepSpec
from tests.bench.cell_processes import TIMEOUT_S, CellProcesses

JOB = "a" * 16
# Each worker of the cell has room for four such tasks, and gets two.
STEP = StepSpec(8, Resources(16_000, 2_000, 0), estimate_ms=9_000)


class SilentWorkerTests(unittest.TestCase):
    """Guards against a roster that loses a worker before its lease has ended.

    The leader that never heard of the worker removed its row when its entry left the
    directory, and the next one started the tasks that still ran there.
    """

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.cell = CellProcesses(Path(folder.name), hosts=3)

    async def wait_for_directory_reads(self):
        """Wait until a read of the directory that begins now has been applied."""
        reads = self.cell.store.read_counts["servers"]
        self.assertTrue(
            await self.cell.wait_until(
                lambda: self.cell.store.read_counts["servers"] >= reads + 2, TIMEOUT_S
            )
        )

    def test_a_second_leader_that_never_heard_of_the_worker_is_stopped(self):
        cell = self.cell

        async def action():
            for each in cell.workers:
                each.worker.failed_run_share = 0.0
            await cell.submit(JobSpec(JOB, JOB, (STEP,)))
            worker = await cell.wait_for_runs(STEP.width)
            proxy = cell.worker_proxies[worker.worker_id]
            proxy.mode = "silent"
            await cell.stop_leader()
            await cell.wait_for_next_leader(2)
            cell.store.remove("servers", worker.worker_id)
            await self.wait_for_directory_reads()
            if not cell.log_lines("unheard_workers_given_up"):
                self.assertIn(worker.worker_id, cell.stored_roster())
            await cell.stop_leader()
            await cell.wait_for_next_leader(3)
            proxy.mode = "pass"
            cell.write_worker_entry(worker)
            await cell.wait_for_state(JOB, JobState.DONE)

        cell.run(action)
        self.assertEqual(cell.oracle.violations({JOB: JobState.DONE}), [])


if __name__ == "__main__":
    unittest.main()
