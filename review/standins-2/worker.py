"""A stand-in of a worker, as a process of its own.

It follows PROTOCOL.md, 'Running tasks' and 'Service discovery'. A task runs as long as its
`spec` says: `ms=N`, until it is stopped if the spec is `lasts`, or N ms from the time when
all S members of its gang are there if the spec is `gang=S ms=N`. While the file `LOG.busy`
exists the worker is unhealthy and refuses starts.
"""

import argparse
import asyncio
import json
import random
import time
from pathlib import Path

from wire import Server, call

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.05
MAX_ENDS = 500
GANG_TIMEOUT_MS = 3_000
GANG_CHECK_S = 0.1


class Worker:
    """One life of a worker."""

    def __init__(self, options):
        self._options = options
        self._born = int(time.time() * 1000)
        self._clock_start = time.monotonic() - random.uniform(10, 1_000)
        self._fence = 0
        self._until_ms = 0
        self._runs = {}
        self._highest = {}
        self._gangs = {}
        self._ends = []
        self._number = 0
        self._seq = 0
        self._ended = asyncio.Event()
        self._log = open(options.log, "a", buffering=1)
        self.server = Server(self._handle)

    def clock_ms(self):
        """Return the worker's steady clock."""
        return int((time.monotonic() - self._clock_start) * 1000)

    def note(self, event, task, run, **fields):
        """Write one line to the worker's log."""
        line = {"at": time.monotonic(), "worker": self._options.id, "event": event}
        self._log.write(json.dumps({**line, "task": task, "run": run, **fields}) + "\n")

    async def run(self):
        """Serve until the process is killed."""
        ip, _, port = self._options.address.rpartition(":")
        self.note("born", "", 0, kind=self._options.kind, cpu=self._options.cpu)
        # The entry is written before the first call can be answered.
        await self._register()
        await self.server.start(ip, int(port))
        asyncio.create_task(self._expire())
        asyncio.create_task(self._watch_gangs())
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self._register()

    async def _register(self):
        self._seq += 1
        cpu, memory_mb = self._options.cpu, self._options.memory_mb
        entry = {
            "service": self._options.service,
            "address": self._options.address,
            "zone": self._options.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "seq": self._seq,
            "capacity": {"cpu": cpu, "mem-mb": memory_mb, "gpu": 0},
            "labels": [self._options.kind, self._options.rack],
            "born": self._born,
        }
        body = {"id": self._options.id, "value": json.dumps(entry)}
        await call(
            self._options.store, "POST", "/standin/register", body, timeout_s=1.0
        )

    async def _handle(self, method, target, headers, body):
        if headers.get("x-expect-instance", self._options.id) != self._options.id:
            return 421, self._reply()
        if method == "GET":
            return 200, {}
        if body.get("fence", 0) < self._fence:
            return 409, self._reply(reason="fence")
        self._fence = body.get("fence", 0)
        name = target.rpartition("/")[2]
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            self._highest[body["task"]] = max(
                body["run"], self._highest.get(body["task"], 0)
            )
            run = self._runs.get(body["task"])
            if run is not None and run["run"] == body["run"]:
                asyncio.get_running_loop().call_later(
                    STOP_S, self._end, body["task"], body["run"], "stopped"
                )
            return 200, self._reply()
        if name == "hold":
            return await self._hold(body)
        return 200, self._reply()

    def _start(self, body):
        if Path(self._options.log + ".busy").exists():
            # An unhealthy worker, which has then done nothing.
            return 503, {}
        task, run, until_ms = body["task"], body["run"], body["until-ms"]
        if until_ms < self.clock_ms():
            return 409, self._reply(reason="late")
        self._extend(until_ms)
        current = self._runs.get(task)
        if current is not None and current["run"] == run:
            return 200, self._reply()
        if run <= self._highest.get(task, 0) or current is not None:
            return 409, self._reply(reason="old")
        ms, size = float("inf"), 0
        if body["spec"].startswith("ms="):
            ms = int(body["spec"][3:])
        elif body["spec"].startswith("gang="):
            size = int(body["spec"].split()[0][5:])
        began_s = time.monotonic()
        self._runs[task] = {"run": run, "began": began_s, "ms": ms, "size": size}
        if size:
            gang_ms = int(body["spec"].split()[1][3:])
            self._gangs[task.rpartition(".")[0], run] = size, gang_ms
        self.note("start", task, run, fence=body["fence"])
        if ms != float("inf"):
            asyncio.get_running_loop().call_later(
                ms / 1000, self._end, task, run, "done"
            )
        return 200, self._reply()

    async def _hold(self, body):
        self._ends = [end for end in self._ends if end[0] > body["last-seen"]]
        if "until-ms" in body:
            self._extend(body["until-ms"])
        until_s = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self._ends and time.monotonic() < until_s:
            self._ended.clear()
            try:
                await asyncio.wait_for(self._ended.wait(), until_s - time.monotonic())
            except TimeoutError:
                break
        running = [
            [task, run["run"], "", self._percent(run), 0]
            for task, run in self._runs.items()
        ]
        ends = self._ends[:MAX_ENDS]
        return 200, self._reply(running=running, finished=ends)

    def _percent(self, run):
        elapsed_ms = (time.monotonic() - run["began"]) * 1000
        if run["ms"] == float("inf"):
            return 100 if elapsed_ms > 300 else 0
        return min(99, int(100 * elapsed_ms / max(1, run["ms"])))

    def _extend(self, until_ms):
        longest_ms = self.clock_ms() + HOLD_MAX_MS
        self._until_ms = max(self._until_ms, min(until_ms, longest_ms))

    def _end(self, task, run, how):
        current = self._runs.get(task)
        if current is None or current["run"] != run:
            return
        del self._runs[task]
        self._number += 1
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._ends.append([self._number, task, run, how, ""])
        self.note("end", task, run, how=how)
        self._ended.set()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self._runs and self.clock_ms() > self._until_ms:
                for task, run in list(self._runs.items()):
                    self._end(task, run["run"], "lapsed")

    async def _watch_gangs(self):
        while True:
            await asyncio.sleep(GANG_CHECK_S)
            for (step, run), (size, gang_ms) in list(self._gangs.items()):
                members = [
                    task
                    for task, each in self._runs.items()
                    if each["run"] == run and task.rpartition(".")[0] == step
                ]
                if not members:
                    del self._gangs[step, run]
                await self._check_gang(f"{step}/{run}", members, size, gang_ms, run)

    async def _check_gang(self, gang, members, size, gang_ms, run):
        body = {"gang": gang, "worker": self._options.id, "members": len(members)}
        _, reply = await call(
            self._options.store,
            "POST",
            "/standin/gang",
            {**body, "size": size},
            timeout_s=1.0,
        )
        together_ms = reply.get("together-ms")
        for task in members:
            each = self._runs.get(task)
            if each is None or each["run"] != run or not reply:
                continue
            waited_ms = (time.monotonic() - each["began"]) * 1000
            if together_ms is None and waited_ms > GANG_TIMEOUT_MS:
                self._end(task, run, "alone")
            elif together_ms is not None and together_ms >= gang_ms:
                self._end(task, run, "done")
            elif together_ms is not None and reply["present"] < size:
                self._end(task, run, "broken")

    def _reply(self, **fields):
        return {"clock-ms": self.clock_ms(), "born": self._born, **fields}


async def main():
    """Run one worker."""
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "store", "service", "zone", "kind", "rack", "log"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--cpu", type=int, default=64_000)
    parser.add_argument("--memory-mb", type=int, default=262_144)
    await Worker(parser.parse_args()).run()


if __name__ == "__main__":
    asyncio.run(main())
