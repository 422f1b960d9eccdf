"""The platform's store and workers in small, over HTTP on the loopback address."""

import base64
import json
import time
from urllib.parse import parse_qsl, urlsplit

import curio

from marigoldpath_node.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    json_response,
)


class StandInServer:
    """Serves `answer` on a free port and writes down what it was told."""

    def __init__(self):
        self.told = []
        self._server = HttpServer(HttpServerSettings("127.0.0.1", 0), self._handle)

    async def start(self):
        self._server.listen()
        await curio.spawn(self._server.run, daemon=True)

    @property
    def address(self):
        return f"127.0.0.1:{self._server.port}"

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body) if request.body else None
        self.told.append((request.method, request.path, body))
        return await self.answer(request, body)

    async def answer(self, request, body):
        raise NotImplementedError


class StandInStore(StandInServer):
    """Rows, transactions and the feed; `statuses` are given before all else."""

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.version = 0
        self.changes = []
        self.oldest = 0
        self.statuses = []

    def put(self, table, key, value, part=""):
        """Write a row as the operator or a worker does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(
            {
                "table": table,
                "part": part,
                "key": key,
                "value": base64.b64encode(data).decode(),
            }
        )

    def forget_history(self):
        self.oldest = self.version

    async def answer(self, request, body):
        if self.statuses:
            return json_response(self.statuses.pop(0), {})
        query = dict(parse_qsl(urlsplit(request.target).query, keep_blank_values=True))
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            return self._transact(body)
        if name == "rows-get":
            return self._get(query)
        if name == "rows-feed":
            return await self._feed(query)
        return json_response(404, {})

    def _transact(self, body):
        rows = [*body["expect-rev"], *body["puts"], *body["remove"]]
        if len({row["part"] for row in rows}) != 1:
            return json_response(400, {})
        current = [self._current(row) for row in body["expect-rev"]]
        wanted = [row["ver"] for row in body["expect-rev"]]
        if [row["ver"] for row in current] != wanted:
            return json_response(412, {"rows": current, "ver": self.version})
        self.version += 1
        for row in body["puts"]:
            self._put(row, self.version)
        return json_response(200, {"ver": self.version, "now-ms": 0})

    def _put(self, row, version=0):
        if not version:
            self.version += 1
        stored = {**row, "ver": self.version}
        self.rows[row["table"], row["part"], row["key"]] = stored
        self.changes.append(stored)

    def _current(self, row):
        missing = {"table": row["table"], "part": row["part"], "key": row["key"]}
        key = row["table"], row["part"], row["key"]
        return self.rows.get(key, {**missing, "ver": 0})

    def _get(self, query):
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query["part"]
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = int(query.get("limit", 500))
        page = {"rows": found[:limit], "has-more": len(found) > limit}
        return json_response(200, {**page, "ver": self.version, "now-ms": 0})

    async def _feed(self, query):
        after = int(query["after"])
        if after < self.oldest:
            return json_response(410, {})
        until_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [
                row
                for row in self.changes
                if row["ver"] > after and row["table"] == query["table"]
            ]
            if found or time.monotonic() >= until_s:
                return json_response(200, {"rows": found, "ver": self.version})
            await curio.sleep(0.02)


class StandInWorker(StandInServer):
    """Runs tasks for `work_s` seconds, fit or not; keeps fence, lease and ends."""

    def __init__(self, worker_id, work_s=0.1):
        super().__init__()
        self.worker_id = worker_id
        self.born = 1_000
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
            "born": self.born,
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
            200, {"clock-ms": self._clock(), "born": self.born, **lists}
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


def configuration(version=1, **route):
    """Return an operator's configuration with one queue."""
    fields = {
        "name": "queue",
        "host": "site.example",
        "prefix": "/q/",
        "service": "service",
        "priority": 0,
        "attempts": 3,
        "stretch": 1.5,
        "target-duration-ms": 300,
    }
    fields.update(route)
    return {"version": version, "routes": [fields], "services": [], "limits": {}}
