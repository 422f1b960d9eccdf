"""Tests of the real program: a task whose other workers are full."""

import tempfile
import unittest
from pathlib import Path

from marigoldpath_core.jobs import JobSpec, JobState, Resources, StepSpec
from tests.bench.cell_processes import CellProcesses

LASTING_JOB = "a" * 16
JOB = "b" * 16
# A worker of the cell has room for two such tasks.
NEED = Resources(32_000, 2_000, 0)
START_TIMEOUT_S = 5.0


class AvoidedWorkerTests(unittest.TestCase):
    """Guards against a task that waits for a full worker while another has room.

    It has failed on the worker with room, and the other one is full for good.
    """

    def test_a_task_that_failed_runs_again_where_there_is_room(self):
        with tempfile.TemporaryDirectory() as folder:
            cell = CellProcesses(Path(folder), workers=2)
            full, roomy = cell.workers
            full.labels = ("a", "full")

            def runs(worker, job_id):
                tasks = worker.worker.running_tasks
                return [task for task in tasks if task.job_id == job_id]

            async def action():
                lasting = StepSpec(2, NEED, long_running=True, required_label="full")
                await cell.submit(JobSpec(LASTING_JOB, "lasting", (lasting,)))
                started = await cell.wait_until(
                    lambda: len(runs(full, LASTING_JOB)) == 2, START_TIMEOUT_S
                )
                self.assertTrue(started)
                roomy.worker.fails_all_runs = True
                await cell.submit(
                    JobSpec(JOB, "text", (StepSpec(1, NEED, estimate_ms=800),))
                )
                started = await cell.wait_until(
                    lambda: runs(roomy, JOB), START_TIMEOUT_S
                )
                self.assertTrue(started)
                roomy.worker.fails_all_runs = False
                await cell.wait_for_state(JOB, JobState.DONE)

            cell.run(action)
            states = {LASTING_JOB: JobState.RUNNING, JOB: JobState.DONE}
            self.assertEqual(cell.oracle.violations(states), [])


if __name__ == "__main__":
    unittest.main()
