"""Servers of another program register in the store, and some workers are lost for good."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from standins import Cell, Server, main  # noqa: E402

WORKERS = 12
FOREIGN = 13
LOSSES = 4
PLAY_S, FINISH_S = 36, 25
EXPIRY_S = 4.5  # three heartbeat intervals of silence
STEPS = [{"count": 36, "cpu": 2_000, "mem-mb": 512, "estimate-ms": 2_000}]


class ForeignServer(Server):
    """A server of another program: it knows none of our calls."""

    async def respond(self, method, target, headers, body):
        return 404, {}


async def register_foreign(cell):
    """Write entries of a service that the configuration does not name."""
    for number in range(FOREIGN):
        server = ForeignServer()
        await server.start()
        entry = cell.workers[0].entry()
        entry.update(service="billing", address=server.address, seq=1,
                     labels=["a", "r9-1"], born=int(time.time() * 1000))
        cell.store.put("servers", f"b-{number:04x}", entry)
        cell.record.add("FOREIGN entry", f"b-{number:04x}", server.address)


async def lose_worker(cell):
    """Crash a worker at work for good; its entry expires after its last heartbeat."""
    busy = [each for each in cell.workers if len(each.running) >= 5]
    if not busy:
        return False
    worker = min(busy, key=lambda each: each.heartbeat_s)
    await worker.crash()
    silent_s = time.monotonic() - worker.heartbeat_s

    def expire():
        cell.store.drop("servers", worker.worker_id)
        cell.record.add("EXPIRED entry", worker.worker_id)

    asyncio.get_running_loop().call_later(EXPIRY_S - silent_s, expire)
    return True


async def lose_workers(cell, trouble):
    """Lose LOSSES workers, 4 s or more apart.

    If the leader changes meanwhile, each loss comes shortly after a change.
    """
    for _ in range(LOSSES):
        await asyncio.sleep(4)
        leader, end = cell.leader(), time.monotonic() + 5
        while trouble and cell.leader() is leader and time.monotonic() < end:
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)
        while not await lose_worker(cell):
            await asyncio.sleep(0.05)


async def play(folder, trouble):
    cell = Cell(folder, hosts=3, workers=WORKERS)
    try:
        await cell.start()
        if trouble:
            await register_foreign(cell)
        losses = asyncio.create_task(lose_workers(cell, trouble))
        jobs, led = [], []
        began = time.monotonic()
        while time.monotonic() - began < PLAY_S:
            job_id = f"{len(jobs) + 1:016x}"
            answer = await cell.submit(job_id, STEPS, {"work_ms": 2_000}, host=len(jobs) % 3)
            if answer is not None and answer[0] == 200:
                jobs.append(job_id)
            leader = cell.leader()
            if leader is not None and (not led or led[-1] != leader.name):
                led.append(leader.name)
                cell.record.add("LEADER", leader.name)
            await asyncio.sleep(0.5)
        losses.cancel()
        states = {}
        end = time.monotonic() + FINISH_S
        while time.monotonic() < end and len(states) < len(jobs):
            for number, job_id in enumerate(jobs):
                if job_id in states:
                    continue
                answer = await cell.state(job_id, host=number % 3)
                if answer is not None and answer[1].get("state") == "done":
                    states[job_id] = "done"
            await asyncio.sleep(0.5)
        running = sum(len(worker.running) for worker in cell.workers)
        cell.record.add("DONE", len(states), "of", len(jobs), "accepted; tasks running:",
                        running, "; changes of the leader:", len(led) - 1)
        if running:
            raise RuntimeError("tasks still run at the end")
        return [f"LOST: job {job_id} was accepted, {FINISH_S} s after the end of the traffic "
                "it is not done, and none of its tasks runs, with all workers empty"
                for job_id in jobs if job_id not in states]
    finally:
        cell.end()


main(play)
