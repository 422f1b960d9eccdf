"""A worker of the platform that does what a test says."""

import time

import curio

from marigoldpath_bench.stand_ins import StandInServer
from marigoldpath_node.http import json_response


class StandInWorker(StandInServer):
    """Runs tasks for `work_s` seconds, fit or not; keeps fence, lease and ends."""

    def __init__(self, worker_id, work_s=0.1):
        super().__init__()
        self.worker_id = worker_id
        self.incarnation = 1_000
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.starts = []
        self._number = 0
        self._work_s = work_s
        self._started_s = time.monotonic()

    def entry(self):
        """Return what the worker writes to the store."""
        return {
            "service": "service",
            "address": self.address,
            "zone": "split",
            "state": "ready",
            "capacity": {"cpu": 4_000, "mem-mb": 8_192, "gpu": 0},
            "labels": ["a", "r1"],
            "born": self.incarnation,
            "seq": 1,
        }

    async def answer(self, request, body):
        if request.headers.get("x-expect-instance") != self.worker_id:
            return json_response(421, {})
        if body["fence"] < self.fence:
            return json_response(409, {"clock-ms": self._clock(), "reason": "fence"})
        self.fence = body["fence"]
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._hold(body)
        if name == "run-start":
            return await self._start(body)
        return json_response(200, {"clock-ms": self._clock()})

    async def _hold(self, body):
        self.ends = [end for end in self.ends if end[0] > body["last-seen"]]
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.ends and time.monotonic() < until_s:
            await curio.sleep(0.01)
        running = [[task, run, "", 50, 0] for task, run in self.runs.items()]
        lists = {"running": running, "finished": self.ends}
        return json_response(
            200, {"clock-ms": self._clock(), "born": self.incarnation, **lists}
        )

    async def _start(self, body):
        if body["until-ms"] <= self._clock():
            return json_response(409, {"clock-ms": self._clock(), "reason": "late"})
        self.starts.append((body["task"], body["run"]))
        self.runs[body["task"]] = body["run"]
        await curio.spawn(self._end_later, body["task"], body["run"], daemon=True)
        return json_response(200, {"clock-ms": self._clock()})

    async def _end_later(self, task, run):
        await curio.sleep(self._work_s)
        del self.runs[task]
        self._number += 1
        self.ends.append([self._number, task, run, "done", ""])

    def _clock(self):
        return int((time.monotonic() - self._started_s) * 1000)
