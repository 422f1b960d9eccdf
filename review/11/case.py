"""A worker is cut off and runs on while two hosts are stopped in turn."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-3"))
from standins import Cell, main, until  # noqa: E402

WORKERS = 6
CUT_S = 5.5
# The first SIGTERM comes this long after the cut. The second one comes this long after the
# leader has read the list without the worker, or GAP_S after the first.
FIRST_S, READ_S, GAP_S = 0.2, 0.25, 4.0
EXPIRY_S = 4.5  # three heartbeat intervals of silence
JOB = "5c0e7a21d94b36f8"
STEPS = [{"count": 60, "cpu": 4_000, "mem-mb": 1_024, "estimate-ms": 9_000}]


async def cut_off(cell, worker, has_read):
    """Cut a worker off from all hosts and from the store; it runs on."""
    worker.is_cut = True
    cell.record.add("CUT", worker.worker_id, "running", len(worker.running),
                    f"lease ends in {(worker.until_ms - worker.clock_ms()) / 1000:.2f} s")
    loop = asyncio.get_running_loop()
    silent_s = time.monotonic() - worker.heartbeat_s

    async def note_read(method, path, query, body):
        if path == "/v1/rows-get" and query.get("table") == "servers":
            has_read.set()

    def expire():
        cell.store.drop("servers", worker.worker_id)
        cell.record.add("EXPIRED entry", worker.worker_id)
        cell.store.on_call = note_read

    def heal():
        worker.is_cut = False
        worker.write_entry()
        cell.record.add("HEALED", worker.worker_id)

    loop.call_later(EXPIRY_S - silent_s, expire)
    loop.call_later(CUT_S, heal)


async def stop_leader(cell):
    leader = cell.leader()
    cell.record.add("SIGTERM", leader.name)
    leader.signal(signal.SIGTERM)

    async def start_again():
        await until(lambda: leader.process.poll() is not None, 6)
        leader.end()
        leader.start()

    asyncio.create_task(start_again())


async def play(folder, trouble):
    cell = Cell(folder, hosts=4, workers=WORKERS)
    try:
        await cell.start()
        answer = await cell.submit(JOB, STEPS, {"work_ms": 9_000})
        if answer is None or answer[0] != 200:
            raise RuntimeError(f"the job was not accepted: {answer}")
        started = lambda: sum(len(worker.running) for worker in cell.workers)  # noqa: E731
        if not await until(lambda: started() == 60, 10):
            raise RuntimeError("not all tasks were started")
        worker = max(cell.workers, key=lambda each: len(each.running))
        # The cut comes soon after a renewal of its lease, late in a heartbeat interval.
        now = time.monotonic
        await until(lambda: now() - worker.heartbeat_s > 1.25 and now() - worker.held_s < 0.2, 20)
        has_read = asyncio.Event()
        if trouble:
            await cut_off(cell, worker, has_read)
        await asyncio.sleep(FIRST_S)
        await stop_leader(cell)
        try:
            await asyncio.wait_for(has_read.wait(), GAP_S)
            await asyncio.sleep(READ_S)
        except asyncio.TimeoutError:
            pass
        await stop_leader(cell)
        for _ in range(40):
            answer = await cell.state(JOB, host=3)
            if answer is not None and answer[1].get("state") == "done":
                break
            await asyncio.sleep(0.5)
        return cell.runs_twice()
    finally:
        cell.end()


main(play)
