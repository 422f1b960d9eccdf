"""One urgent job that can never run keeps all background jobs from starting."""

import asyncio
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from cell import run_case  # noqa: E402
from load import Load, find_lost, is_done_within  # noqa: E402

STEPS = 70
TRAFFIC_S = 12.0
STEP = {"count": 1, "cpu": 500, "mem-mb": 256, "estimate-ms": 300}
# No worker has this label.
LABEL = "kind-z"


async def case(cell, is_troubled):
    """Return whether LOST held for the jobs of the background queue."""
    load = Load(cell, interval_s=0.5, prefix="/later/")
    load.start()
    await asyncio.sleep(4.0)
    if not load.accepted or not await is_done_within(cell, load.accepted[0], 5.0):
        raise RuntimeError("the first job was not done")
    cell.record("check", f"calm: {len(load.accepted)} jobs accepted, the first is done")
    step = {**STEP, "required-label": LABEL} if is_troubled else STEP
    job_id = secrets.token_hex(8)
    cell.record("client", f"{job_id}: {STEPS} steps side by side, each {step}")
    await cell.submit(cell.hosts[0], job_id, [step] * STEPS, "ms=300")
    await asyncio.sleep(TRAFFIC_S)
    await load.stop()
    lost = await find_lost(cell, load.accepted)
    cell.record("check", f"{job_id} is shown as {await cell.state(job_id)}")
    cell.record_runs(60)
    cell.record_logs(("leadership_won", "tasks_waiting"), 4)
    return not lost


run_case(case, Path(__file__).resolve().parent)
