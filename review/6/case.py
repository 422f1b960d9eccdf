"""One job of a client that the users don't control ends every leader in turn."""

import asyncio
import os
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from cell import run_case  # noqa: E402
from load import Load, find_lost, is_done_within  # noqa: E402

TIMES = 1_000_000_000
TIMES_WITHOUT_TROUBLE = 10
TRAFFIC_S = 25.0
# Rule 'Fault': processes end by themselves three times (memory over the limit counts) on
# a tenth of the machines in use, two at least.
ENDS = 3
MACHINES = 2


async def case(cell, is_troubled):
    """Return whether Fault and LOST held."""
    load = Load(cell)
    load.start()
    await asyncio.sleep(4.0)
    if not load.accepted or not await is_done_within(cell, load.accepted[0], 5.0):
        raise RuntimeError("the first job was not done")
    cell.record("check", f"calm: {len(load.accepted)} jobs accepted, the first is done")
    times = TIMES if is_troubled else TIMES_WITHOUT_TROUBLE
    step = {"count": 1, "cpu": 100, "mem-mb": 64, "estimate-ms": 100}
    job_id = secrets.token_hex(8)
    cell.record("client", f"one job with times {times}: {job_id}")
    await cell.submit(cell.hosts[0], job_id, [step], "ms=100", times=times)
    await asyncio.sleep(TRAFFIC_S)
    await load.stop()
    lost = await find_lost(cell, load.accepted)
    for host in cell.hosts:
        cell.record(
            "platform",
            f"{host.name}: ended {host.kills} times over its memory,"
            f" peak {host.peak_mb:.0f} MB",
        )
    ended = [host for host in cell.hosts if host.kills >= ENDS]
    is_faulty = len(ended) >= MACHINES
    cell.record("check", f"Fault: {is_faulty}, LOST: {bool(lost)}")
    cell.record_runs(120)
    cell.record_logs(("leadership_won", "leader_loaded", "leadership_lost"), 12)
    return not lost and not is_faulty


if __name__ == "__main__":
    # TROUBLE=0 leaves out the disruption.
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    run_case(case, Path(__file__).resolve().parent, is_troubled)
