"""A fake of the platform's store with rows, transactions and the change feed."""

import base64
import json
import time
from collections import Counter
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import curio

from marigoldpath_bench.faults import FaultInjector, FaultPlan
from marigoldpath_bench.server import FaultInjectingHandler
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._server import FakeServer

FEED_POLL_INTERVAL_S = 0.02


class Conflict(NamedTuple):
    """The current rows of a transaction whose expected versions do not match."""

    rows: list[dict[str, Any]]


class FakeStore(FakeServer):
    """Keep all rows in memory, and count the reads of each table.

    While `queued_statuses` is not empty, each request gets the next of these statuses.
    With `delays_writes`, the connection of a write is closed without a reply, and
    `apply_delayed_writes` applies the write later if its condition still holds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.version = 0
        self.changes: list[dict[str, Any]] = []
        self.oldest_version = 0
        self.read_counts: Counter[str] = Counter()
        self.queued_statuses: list[int] = []
        self.delays_writes = False
        self._delayed_writes: list[Any] = []
        self._fault_injector = FaultInjector()
        self._changed = curio.Event()
        self._fault_handler = FaultInjectingHandler(
            self._fault_injector, self._serve, self._wait_for_change
        )

    async def set_fault_plan(self, plan: FaultPlan) -> None:
        """Apply a fault plan to the next requests."""
        self._fault_injector.set_fault_plan(plan)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def _wait_for_change(self) -> None:
        await self._changed.wait()

    def put(self, table: str, key: str, value: Any, part: str = "") -> None:
        """Write a row unconditionally, as the operator or a worker does."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        text = base64.b64encode(data).decode()
        self.version += 1
        self._store({"table": table, "part": part, "key": key, "value": text})

    def remove(self, table: str, key: str) -> None:
        """Remove a row unconditionally, as the platform does with expired entries."""
        self.version += 1
        self._drop({"table": table, "part": "", "key": key})

    def value(self, table: str, key: str, part: str = "") -> Any:
        """Return the decoded JSON of a row, None if there is no such row."""
        row = self.rows.get((table, part, key))
        return None if row is None else json.loads(base64.b64decode(row["value"]))

    def discard_history(self) -> None:
        """Reply with 410 to queries for the changes up to now."""
        self.oldest_version = self.version

    def apply_delayed_writes(self) -> None:
        """Apply the delayed writes whose condition still holds."""
        for body in self._delayed_writes:
            self._apply(body)
        self._delayed_writes.clear()

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Respond to a request as the active fault plan requires."""
        return await self._fault_handler(request)

    async def _serve(self, request: HttpRequest) -> HttpResponse:
        if self.queued_statuses:
            return json_response(self.queued_statuses.pop(0), {})
        query = dict(parse_qsl(urlsplit(request.target).query, keep_blank_values=True))
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            return self._transact(json.loads(request.body))
        if name == "rows-get":
            return self._get(query)
        if name == "rows-feed":
            return await self._feed(query)
        return json_response(404, {})

    def _transact(self, body: Any) -> HttpResponse:
        rows = [*body["expect-rev"], *body["puts"], *body["remove"]]
        if len({row["part"] for row in rows}) != 1:
            return json_response(400, {})
        if self.delays_writes:
            self._delayed_writes.append(body)
            raise ConnectionAbortedError("the write is delayed")
        conflict = self._apply(body)
        if conflict is not None:
            return json_response(412, {"rows": conflict.rows, "ver": self.version})
        return json_response(200, {"ver": self.version, "now-ms": 0})

    def _apply(self, body: Any) -> Conflict | None:
        current = [self._current(row) for row in body["expect-rev"]]
        wanted = [row["ver"] for row in body["expect-rev"]]
        if [row["ver"] for row in current] != wanted:
            return Conflict(current)
        self.version += 1
        for row in body["puts"]:
            self._store(row)
        for row in body["remove"]:
            self._drop(row)
        return None

    def _store(self, row: dict[str, Any]) -> None:
        stored = {**row, "ver": self.version}
        self.rows[row["table"], row["part"], row["key"]] = stored
        self.changes.append(stored)

    def _drop(self, row: dict[str, Any]) -> None:
        if self.rows.pop((row["table"], row["part"], row["key"]), None) is not None:
            self.changes.append({**row, "ver": self.version, "deleted": True})

    def _current(self, row: dict[str, Any]) -> dict[str, Any]:
        missing = {"table": row["table"], "part": row["part"], "key": row["key"]}
        key = row["table"], row["part"], row["key"]
        return self.rows.get(key, {**missing, "ver": 0})

    def _get(self, query: dict[str, str]) -> HttpResponse:
        self.read_counts[query["table"]] += 1
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

    async def _feed(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        if after < self.oldest_version:
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
            await curio.sleep(FEED_POLL_INTERVAL_S)
