"""One worker of eight goes down and up by turns while the others are full."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from standins import Cell, main, until  # noqa: E402

WORKERS = 8
UP_S, DOWN_S, TURNS = 1.4, 1.0, 8
JOBS = 1
LASTING = "00000000000000f0"
# It fills a worker, so seven of them leave one worker with room.
FILL = [{"count": WORKERS - 1, "cpu": 63_000, "mem-mb": 100_000, "estimate-ms": 400,
         "long-running": True, "max-per-server": 1}]
STEPS = [{"count": 1, "cpu": 2_000, "mem-mb": 1_024, "estimate-ms": 3_000}]


async def flap(worker):
    for _ in range(TURNS):
        await asyncio.sleep(UP_S)
        await worker.crash()
        await asyncio.sleep(DOWN_S)
        await worker.reboot()


async def play(folder, trouble):
    cell = Cell(folder, hosts=3, workers=WORKERS)
    try:
        await cell.start()
        await cell.submit(LASTING, FILL, {})
        full = lambda: [worker for worker in cell.workers if worker.running]  # noqa: E731
        if not await until(lambda: len(full()) == WORKERS - 1, 10):
            raise RuntimeError("the lasting job does not fill seven workers")
        with_room = next(worker for worker in cell.workers if not worker.running)
        flapping = asyncio.create_task(flap(with_room)) if trouble else None
        jobs = []
        for number in range(JOBS):
            job_id = f"{number + 1:016x}"
            answer = await cell.submit(job_id, STEPS, {"work_ms": 3_000}, host=number % 3)
            if answer is not None and answer[0] == 200:
                jobs.append(job_id)
            await asyncio.sleep(0.3)
        if flapping is not None:
            await flapping
        states = {}
        end = time.monotonic() + 25
        while time.monotonic() < end and len(states) < len(jobs):
            for number, job_id in enumerate(jobs):
                answer = await cell.state(job_id, host=number % 3)
                if answer is not None and answer[1].get("state") in ("done", "failed"):
                    states[job_id] = answer[1]["state"]
            await asyncio.sleep(0.5)
        failed_ends = {end[1].split(".")[0] for worker in cell.workers
                       for end in worker.ends if end[3] == "failed"}
        cell.record.add("STATES", states, "jobs with an end `failed`:", sorted(failed_ends))
        return [f"LOST: job {job_id} was accepted, nobody cancelled it, no run of it ended "
                "`failed`, and it is shown as `failed`"
                for job_id, state in states.items()
                if state == "failed" and job_id not in failed_ends]
    finally:
        cell.end()


main(play)
