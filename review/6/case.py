"""While the store is down, tasks that have ended done are started again."""

import asyncio
import secrets
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from cell import run_case  # noqa: E402

TASKS = 10_000
TASK_MS = 30
SILENCE_S = 4.5
CALM_STARTS = 300
STEP = {"count": TASKS, "cpu": 1_000, "mem-mb": 64, "estimate-ms": TASK_MS}


async def case(cell, is_troubled):
    """Return whether TWICE held."""
    job_id = secrets.token_hex(8)
    status = await cell.submit_with_retries(job_id, [STEP], f"ms={TASK_MS}")
    if status != 200:
        raise RuntimeError(f"the job was answered {status}")
    starts = 0
    for _ in range(100):
        await asyncio.sleep(0.05)
        starts = len(cell.starts_of(job_id))
        if starts >= CALM_STARTS:
            break
    cell.record("check", f"calm: {starts} starts")
    if not starts:
        raise RuntimeError("no task was started")
    if is_troubled:
        cell.record("platform", f"the store is silent for {SILENCE_S} s")
        cell.store.is_silent = True
    await asyncio.sleep(SILENCE_S)
    if is_troubled:
        await cell.store.end_silence()
        cell.record("platform", "the store answers again")
    for _ in range(40):
        await asyncio.sleep(1.0)
        if await cell.state(job_id) == "done":
            break
    cell.record("check", f"{job_id} is shown as {await cell.state(job_id)}")
    return not find_second_runs(cell)


case.sizes = {"workers": 2}


def find_second_runs(cell):
    """Return the tasks that were started after an end `done` that was taken note of."""
    events = cell.events()
    noted = {
        (event["worker"], event["task"], event["run"])
        for event in events
        if event["event"] == "noted"
    }
    done = {}
    again = []
    unlisted = {}
    most_unlisted = 0
    for event in events:
        task, worker = event["task"], event["worker"]
        key = worker, task, event["run"]
        if event["event"] == "end":
            unlisted[worker] = unlisted.get(worker, 0) + 1
            most_unlisted = max(most_unlisted, unlisted[worker])
            if event["how"] == "done" and key in noted:
                done.setdefault(task, event)
        elif event["event"] == "noted":
            unlisted[worker] -= 1
        elif event["event"] == "start" and task in done:
            again.append((task, done[task], event))
    cell.record("check", f"at most {most_unlisted} ends of a worker not yet noted")
    for task, end, start in again[:40]:
        cell.record(
            "check",
            f"TWICE: {task}, run {end['run']} ended done on {end['worker']} at"
            f" {cell.record.at_s(end['at']):.3f} and was taken note of; run"
            f" {start['run']} began on {start['worker']} at"
            f" {cell.record.at_s(start['at']):.3f}",
        )
    cell.record("check", f"TWICE: {len(again)} starts of tasks that were done")
    if again:
        tasks = {task for task, _, _ in again[:5]}
        for event in events:
            if event["task"] in tasks:
                at_s = cell.record.at_s(event["at"])
                words = {k: v for k, v in event.items() if k != "at"}
                cell.record("workers", f"at {at_s:.3f} {words}")
    cell.record_logs(("run_absent", "leadership_won", "store_lost"), 8)
    return again


run_case(case, Path(__file__).resolve().parent)
