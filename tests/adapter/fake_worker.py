"""A fake worker of the platform."""

import time

import curio

from marigoldpath_bench.platform_fakes import FakeServer
from marigoldpath_node.http import json_response


class FakeWorker(FakeServer):
    """A worker that runs each task for `run_s` seconds and has unlimited capacity.

    It rejects commands of earlier epochs and keeps terminated runs until they are
    acknowledged.
    """

    def __init__(self, worker_id, run_s=0.1):
        super().__init__()
        self.worker_id = worker_id
        self.incarnation = 1_000
        self.fence = 0
        self.runs = {}
        self.terminated = []
        self.starts = []
        self._last_number = 0
        self._run_s = run_s
        self._start_s = time.monotonic()

    def entry(self):
        """Return the worker's entry for the store."""
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

    async def respond(self, request, body):
        if request.headers.get("x-expect-instance") != self.worker_id:
            return json_response(421, {})
        if body["fence"] < self.fence:
            return json_response(409, {"clock-ms": self._clock_ms(), "reason": "fence"})
        self.fence = body["fence"]
        name = request.path.rpartition("/")[2]
        if name == "hold":
            return await self._reply_to_poll(body)
        if name == "run-start":
            return await self._start_run(body)
        return json_response(200, {"clock-ms": self._clock_ms()})

    async def _reply_to_poll(self, body):
        self.terminated = [row for row in self.terminated if row[0] > body["last-seen"]]
        deadline_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.terminated and time.monotonic() < deadline_s:
            await curio.sleep(0.01)
        running = [[task, run, "", 50, 0] for task, run in self.runs.items()]
        report = {"running": running, "finished": self.terminated}
        return json_response(
            200, {"clock-ms": self._clock_ms(), "born": self.incarnation, **report}
        )

    async def _start_run(self, body):
        if body["until-ms"] <= self._clock_ms():
            return json_response(409, {"clock-ms": self._clock_ms(), "reason": "late"})
        self.starts.append((body["task"], body["run"]))
        self.runs[body["task"]] = body["run"]
        await curio.spawn(self._terminate_later, body["task"], body["run"], daemon=True)
        return json_response(200, {"clock-ms": self._clock_ms()})

    async def _terminate_later(self, task, run):
        await curio.sleep(self._run_s)
        del self.runs[task]
        self._last_number += 1
        self.terminated.append([self._last_number, task, run, "done", ""])

    def _clock_ms(self):
        return int((time.monotonic() - self._start_s) * 1000)
