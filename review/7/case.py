"""One unhealthy worker and a wide gang end the leader, and then the next one."""

import asyncio
import os
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from cell import BOUNDS, run_case  # noqa: E402
from load import Load, is_done_within  # noqa: E402

GANG = 600
GANG_MS = 500
WINDOWS = 11
UNHEALTHY_S = 5.5
PAUSE_S = 0.5
STEP = {
    "count": GANG,
    "cpu": 1_000,
    "mem-mb": 128,
    "estimate-ms": GANG_MS,
    "gang": True,
}
# Rule 'Fault': processes end by themselves three times (memory over the limit counts) on
# a tenth of the machines in use, two at least.
ENDS = 3
MACHINES = 2
# Rule 'Fault': a program doesn't hand back the processor. It is taken to be so if a
# running process answers no readiness check for longer than a recovery may take.
HANG_S = BOUNDS["recovery-s"]


async def case(cell, is_troubled):
    """Return whether Fault held."""
    load = Load(cell, interval_s=1.0)
    load.start()
    await asyncio.sleep(4.0)
    if not load.accepted or not await is_done_within(cell, load.accepted[0], 5.0):
        raise RuntimeError("the first job was not done")
    jobs = []
    sent = []
    for _ in range(WINDOWS):
        if is_troubled:
            cell.workers[3].set_unhealthy(True)
            cell.record("platform", f"worker {cell.workers[3].worker_id} is unhealthy")
        job_id = secrets.token_hex(8)
        jobs.append(job_id)
        sent.append(asyncio.create_task(submit_gang(cell, job_id)))
        await asyncio.sleep(UNHEALTHY_S)
        cell.workers[3].set_unhealthy(False)
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(load.stop(), *sent)
    states = await asyncio.gather(*(cell.state(job_id, 2) for job_id in jobs))
    for job_id, state in zip(jobs, states):
        cell.record("check", f"{job_id} is shown as {state}")
    for host in cell.hosts:
        cell.record(
            "platform",
            f"{host.name}: ended {host.kills} times over its memory,"
            f" peak {host.peak_mb:.0f} MB, at most {host.longest_silence_s:.0f} s"
            " without an answer",
        )
    ended = [host for host in cell.hosts if host.kills >= ENDS]
    hung = [host for host in cell.hosts if host.longest_silence_s > HANG_S]
    is_faulty = len(ended) >= MACHINES or bool(hung)
    cell.record("check", f"Fault: {is_faulty}")
    cell.record_runs(60)
    cell.record_logs(("leadership_won", "leader_loaded", "leadership_lost"), 12)
    return not is_faulty


async def submit_gang(cell, job_id):
    """Hand in one gang."""
    spec = f"gang={GANG} ms={GANG_MS}"
    await cell.submit_with_retries(job_id, [STEP], spec, prefix="/later/")


case.sizes = {"workers": 12}


if __name__ == "__main__":
    # TROUBLE=0 leaves out the disruption.
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    run_case(case, Path(__file__).resolve().parent, is_troubled)
