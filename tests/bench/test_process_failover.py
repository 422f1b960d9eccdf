"""Tests of the real program: the leader's process is lost while jobs run."""

import signal
import tempfile
import time
import unittest
from pathlib import Path

import curio

from marigoldpath_core.jobs import JobSpec, JobState, Resources, StepSpec
from tests.bench.cell_processes import CellProcesses

JOBS = 4
STEP = StepSpec(4, Resources(4_000, 2_000, 0), estimate_ms=2_500)
START_DELAY_MS = 1_000
INTERVAL_MS = 4_000
# Some runs have ended by then, and others run on.
LOSS_AFTER_START_S = 1.8
DOWN_S = 3.5


async def kill(host):
    """Kill a host's process, and start it again after a while."""
    host.kill()
    await curio.sleep(DOWN_S)
    host.start()


class ScheduledJobFailoverTests(unittest.TestCase):
    """Guards against a new leader that runs reported tasks of an occurrence again.

    It stopped the runs, because it had not begun their occurrence yet, and acknowledged
    ends without storing them.
    """

    def lose_leader(self, lose):
        with tempfile.TemporaryDirectory() as folder:
            self.cell = cell = CellProcesses(Path(folder))

            async def action():
                start_ms = int(time.time() * 1_000) + START_DELAY_MS
                ids = [f"{number:016x}" for number in range(JOBS)]
                for job_id in ids:
                    spec = JobSpec(job_id, job_id, (STEP,), 2, start_ms, INTERVAL_MS)
                    await cell.submit(spec)
                await curio.sleep(start_ms / 1_000 + LOSS_AFTER_START_S - time.time())
                await lose(cell.leader())
                for job_id in ids:
                    await cell.wait_for_state(job_id, JobState.DONE)

            cell.run(action)
            states = dict.fromkeys(cell.oracle.jobs, JobState.DONE)
            self.assertEqual(cell.oracle.violations(states), [])

    def test_the_leader_is_killed(self):
        self.lose_leader(kill)

    def test_two_leaders_in_a_row_are_killed(self):
        async def lose(leader):
            await kill(leader)
            await self.cell.wait_until_serving()
            await kill(self.cell.leader())

        self.lose_leader(lose)

    def test_the_leader_is_stopped(self):
        async def lose(leader):
            leader.send_signal(signal.SIGTERM)
            await curio.sleep(DOWN_S)
            leader.kill()
            leader.start()

        self.lose_leader(lose)

    def test_the_leader_is_frozen(self):
        async def lose(leader):
            leader.send_signal(signal.SIGSTOP)
            await curio.sleep(DOWN_S)
            leader.send_signal(signal.SIGCONT)

        self.lose_leader(lose)


if __name__ == "__main__":
    unittest.main()
