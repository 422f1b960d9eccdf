"""Tests of the real program: one job that is as large as a caller likes."""

import tempfile
import unittest
from pathlib import Path

import curio

from marigoldpath_core.jobs import JobSpec, JobState, Resources, StepSpec
from tests.bench.cell_processes import CellProcesses

# The memory of a host on the platform.
MEMORY_MB = 300
LARGE_JOB = "00000000000000aa"
ORDINARY_JOB = "00000000000000bb"
SMALL = StepSpec(1, Resources(100, 64, 0), estimate_ms=100)
# The leader has seen the large job by then.
SETTLE_S = 2.0


def peak_memory_mb(pid):
    """Return the peak of a process's resident memory."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) * 1_024 / 1e6


class LargeJobTests(unittest.TestCase):
    """Guards against one accepted job that takes the memory of every leader.

    A leader began all due occurrences at once, kept an object for each task, and sent
    stops by the square of the width of a gang.
    """

    def check(self, spec, unhealthy_workers=0):
        with tempfile.TemporaryDirectory() as folder:
            cell = CellProcesses(Path(folder))

            async def action():
                for worker in cell.workers:
                    # So many runs would fail the job before it is cancelled.
                    worker.worker.failed_run_share = 0.0
                for worker in cell.workers[:unhealthy_workers]:
                    worker.is_unhealthy = True
                await cell.submit(spec)
                await curio.sleep(SETTLE_S)
                ordinary = JobSpec(ORDINARY_JOB, ORDINARY_JOB, (SMALL,))
                await cell.submit(ordinary)
                await cell.wait_for_state(ORDINARY_JOB, JobState.DONE)
                for host in cell.hosts:
                    self.assertTrue(host.is_running)
                    self.assertLess(peak_memory_mb(host.pid), MEMORY_MB)
                host = cell.hosts[0]
                await cell.wait_for(
                    lambda: cell.request(host, "DELETE", spec.job_id), 200
                )
                await cell.wait_for_state(spec.job_id, JobState.CANCELLED)

            cell.run(action)

    def test_a_job_with_very_many_occurrences(self):
        self.check(JobSpec(LARGE_JOB, LARGE_JOB, (SMALL,), 1_000_000_000))

    def test_a_job_with_the_most_tasks(self):
        step = StepSpec(10_000, Resources(8_000, 64, 0), estimate_ms=500)
        self.check(JobSpec(LARGE_JOB, LARGE_JOB, (step,) * 100))

    def test_a_wide_gang_that_a_worker_refuses(self):
        """Guards against stops by the square of the gang's width."""
        step = StepSpec(600, Resources(100, 64, 0), estimate_ms=600_000, gang=True)
        self.check(JobSpec(LARGE_JOB, LARGE_JOB, (step,)), unhealthy_workers=1)


if __name__ == "__main__":
    unittest.main()
