"""The store is down for some seconds while a large job of short tasks runs."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from standins import Cell, main, until  # noqa: E402

JOB = "5c0e7a21d94b36f8"
OUTAGE_S = 4.4
TASKS = 2_000


async def play(folder, trouble):
    cell = Cell(folder, hosts=3, workers=2)
    try:
        await cell.start()
        steps = [{"count": TASKS, "cpu": 100, "mem-mb": 64, "estimate-ms": 200}]
        answer = await cell.submit(JOB, steps, {"work_ms": 200})
        if answer is None or answer[0] != 200:
            raise RuntimeError(f"the job was not accepted: {answer}")
        done = lambda: sum(len(worker.ends) for worker in cell.workers)  # noqa: E731
        await until(lambda: done() > 50, 20)
        if trouble:
            cell.store.mode = "busy"
            cell.record.add("STORE down")
            await asyncio.sleep(OUTAGE_S)
            cell.record.add("STORE up", [len(worker.finished) for worker in cell.workers])
            cell.store.mode = "up"
        end = time.monotonic() + 60
        while time.monotonic() < end:
            answer = await cell.state(JOB)
            if answer is not None and answer[1].get("state") in ("done", "failed"):
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(1.5)
        return cell.runs_twice()
    finally:
        cell.end()


main(play)
