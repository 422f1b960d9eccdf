"""A steady load of small ordinary jobs, and the check of them after the traffic."""

import asyncio
import secrets

from cell import BOUNDS

STEP = {"count": 4, "cpu": 500, "mem-mb": 256, "estimate-ms": 300}
SPEC = "ms=300"
STALL_S = 3.0
SAMPLE_S = 0.25


class Load:
    """Hands in a small job at an interval until it is stopped."""

    def __init__(self, cell, interval_s=0.5):
        self._cell = cell
        self._interval_s = interval_s
        self._task = None
        self._sent = []
        self.accepted = []

    def start(self):
        """Begin to hand in jobs."""
        self._task = asyncio.create_task(self._run())

    async def stop(self):
        """Hand in no more jobs, and wait for the answers."""
        self._task.cancel()
        await asyncio.gather(*self._sent)

    async def _run(self):
        while True:
            self._sent.append(asyncio.create_task(self._submit()))
            await asyncio.sleep(self._interval_s)

    async def _submit(self):
        job_id = secrets.token_hex(8)
        status = await self._cell.submit_with_retries(job_id, [STEP], SPEC)
        if 200 <= status < 300:
            self.accepted.append(job_id)


async def is_done_within(cell, job_id, limit_s):
    """Return whether a job is shown as done within a time."""
    until_s = cell.record.now_s() + limit_s
    while cell.record.now_s() < until_s:
        if await cell.state(job_id) == "done":
            return True
        await asyncio.sleep(0.2)
    return False


def find_done_tasks(cell):
    """Return the names of the tasks of which a run has ended done."""
    return {
        event["task"]
        for event in cell.events()
        if event["event"] == "end" and event["how"] == "done"
    }


async def find_lost(cell, accepted):
    """Return the accepted jobs of the load that break LOST, `finish_s` after it.

    A job is lost if it is not known, gets no answer, is shown as failed although no run
    has ended failed, or has nothing running for 3 s while one of its tasks is not done.
    Its tasks need little, and nothing else uses half of the capacity then.
    """
    await asyncio.sleep(BOUNDS["finish_s"])
    before = dict(zip(accepted, await asyncio.gather(*map(cell.state, accepted))))
    began = dict.fromkeys(accepted, False)
    until_s = cell.record.now_s() + STALL_S
    while cell.record.now_s() < until_s:
        running = {task.partition(".")[0] for task in cell.running()}
        for job_id in accepted:
            began[job_id] |= job_id in running
        await asyncio.sleep(SAMPLE_S)
    after = dict(zip(accepted, await asyncio.gather(*map(cell.state, accepted))))
    done = find_done_tasks(cell)
    lost = []
    for job_id in accepted:
        states = before[job_id], after[job_id]
        is_unknown = None in states or "410" in states
        names = [f"{job_id}.0.0.{number}" for number in range(STEP["count"])]
        is_due = not done.issuperset(names)
        if is_unknown or "failed" in states or (is_due and not began[job_id]):
            lost.append(job_id)
            cell.record("check", f"LOST: {job_id}, {states[0]} then {states[1]}")
    cell.record("check", f"{len(accepted)} accepted jobs, {len(lost)} lost")
    return lost
