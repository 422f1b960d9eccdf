"""Lasting tasks that wait take all slow advice, and another job never starts."""

import asyncio
import os
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from cell import BOUNDS, run_case  # noqa: E402
from load import STALL_S  # noqa: E402

KIND = "c"
LASTING = {
    "count": 1,
    "cpu": 5_000,
    "mem-mb": 1_024,
    "long-running": True,
    "required-label": KIND,
}
LASTING_JOBS = 24
STEP = {"count": 2, "cpu": 1_000, "mem-mb": 256, "estimate-ms": 500}


async def case(cell, is_troubled):
    """Return whether LOST held for the jobs of the advised background queue."""
    for number in range(LASTING_JOBS):
        host = cell.hosts[number % len(cell.hosts)]
        job_id = secrets.token_hex(8)
        await cell.submit(host, job_id, [LASTING], "lasts", prefix="/lasting/")
    for _ in range(80):
        await asyncio.sleep(0.25)
        if len(cell.running()) == LASTING_JOBS:
            break
    cell.record("check", f"calm: {len(cell.running())} of {LASTING_JOBS} lasting tasks")
    if len(cell.running()) != LASTING_JOBS:
        raise RuntimeError("the lasting tasks do not all run")
    if is_troubled:
        cell.workers[1].kill()
        cell.record("platform", f"worker {cell.workers[1].worker_id} is lost for good")
    await asyncio.sleep(10.0)
    jobs = []
    for number in range(3):
        job_id = secrets.token_hex(8)
        host = cell.hosts[number % len(cell.hosts)]
        if await cell.submit(host, job_id, [STEP], "ms=500", prefix="/advised/") == 200:
            jobs.append(job_id)
        await asyncio.sleep(1.0)
    await asyncio.sleep(BOUNDS["finish_s"] + STALL_S)
    lost = []
    for job_id in jobs:
        starts, state = len(cell.starts_of(job_id)), await cell.state(job_id)
        calls = cell.advice.calls.get(job_id, 0)
        cell.record("check", f"{job_id}: {starts} starts, {calls} calls, {state}")
        if not starts:
            lost.append(job_id)
            cell.record("check", f"LOST: {job_id} is accepted and never started")
    others = sum(cell.advice.calls.values())
    cell.record("check", f"{others} calls for advice in all")
    cell.record_runs(40)
    cell.record_logs(("leadership_won", "tasks_waiting"), 4)
    return bool(jobs) and not lost


case.sizes = {"hosts": 4, "workers": 12, "kinds": {1: KIND, 2: KIND}}


if __name__ == "__main__":
    # TROUBLE=0 leaves out the disruption.
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    run_case(case, Path(__file__).resolve().parent, is_troubled)
