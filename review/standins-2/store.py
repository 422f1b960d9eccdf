"""A stand-in of the platform's store with rows, transactions and the change feed.

It follows PROTOCOL.md, 'The platform's metadata store': linearizable, loses nothing that
it has acknowledged, 100 entries and 1 MB a call, values of at most `row-bytes`, one part
a transaction, transactions of a part one after the other, rate limits with 429.
"""

import asyncio
import base64
import time
from urllib.parse import parse_qsl, urlsplit

from wire import Server

WRITES_PER_S = 600
READS_PER_S = 2_000
TX_S = 0.008
ROW_BYTES = 65_536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_048_576
PAGE_ROWS = 500
# A worker whose last word on its members of a gang is older has none.
GANG_SILENCE_S = 1.0


class _Rate:
    def __init__(self, per_s):
        self._per_s = per_s
        self._second = 0
        self._calls = 0

    def take(self):
        """Return whether a call is within the rate of the current second."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._calls = second, 0
        self._calls += 1
        return self._calls <= self._per_s


class Gangs:
    """Counts the members of each run of a gang that are present on workers.

    It stands for what the workers of a gang see of each other.
    """

    def __init__(self):
        self._present = {}
        self._complete_s = {}

    def report(self, body):
        """Record a worker's members, and return for how long all have been there."""
        now_s = time.monotonic()
        present = self._present.setdefault(body["gang"], {})
        present[body["worker"]] = body["members"], now_s
        count = sum(n for n, at_s in present.values() if now_s - at_s < GANG_SILENCE_S)
        if count >= body["size"]:
            self._complete_s.setdefault(body["gang"], now_s)
        began_s = self._complete_s.get(body["gang"])
        together_ms = None if began_s is None else (now_s - began_s) * 1000
        return {"together-ms": together_ms, "present": count}


class Store:
    """Keeps all rows in memory."""

    def __init__(self, note):
        self.rows = {}
        self.version = 0
        self.refused = 0
        self._changes = []
        self._note = note
        self._changed = asyncio.Event()
        self._gangs = Gangs()
        self._locks = {}
        self._write_rate = _Rate(WRITES_PER_S)
        self._read_rate = _Rate(READS_PER_S)
        self.server = Server(self._handle)

    def put(self, table, key, data, part=""):
        """Write a row as the operator or a worker does."""
        self.version += 1
        self._store(
            {
                "table": table,
                "part": part,
                "key": key,
                "value": base64.b64encode(data).decode(),
            }
        )

    async def _handle(self, method, target, headers, body):
        parts = urlsplit(target)
        name = parts.path.rpartition("/")[2]
        if name == "rows-tx":
            return await self._transact(headers, body)
        if name == "gang":
            # The stand-in's own call, by which workers find out if a gang is complete.
            return 200, self._gangs.report(body)
        if name == "register":
            # The stand-in's own call, by which workers write their entries.
            self.put("servers", body["id"], body["value"].encode())
            return 200, {}
        if not self._read_rate.take():
            return 429, {}
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        if name == "rows-get":
            return 200, self._get(query)
        if name == "rows-feed":
            return 200, await self._feed(query)
        return 404, {}

    async def _transact(self, headers, body):
        if not self._write_rate.take():
            return 429, {}
        rows = [*body["expect-rev"], *body["puts"], *body["remove"]]
        sizes = [len(base64.b64decode(row["value"])) for row in body["puts"]]
        problem = ""
        if len({row["part"] for row in rows}) != 1:
            problem = "several parts"
        elif len(rows) > MAX_ENTRIES:
            problem = f"{len(rows)} entries"
        elif int(headers["content-length"]) > MAX_CALL_BYTES:
            problem = "over 1 MB"
        elif max(sizes, default=0) > ROW_BYTES:
            problem = f"a value of {max(sizes)} bytes, row-bytes is {ROW_BYTES}"
        if problem:
            self.refused += 1
            if self.refused <= 20 or self.refused % 100 == 0:
                names = [
                    f"{row['table']}/{row['key']}"
                    for row, size in zip(body["puts"], sizes)
                    if size > ROW_BYTES
                ]
                self._note("store", "400 to a write", problem, names, self.refused)
            return 400, {}
        async with self._locks.setdefault(rows[0]["part"], asyncio.Lock()):
            await asyncio.sleep(TX_S)
            return self._apply(body)

    def _apply(self, body):
        current = [self._current(row) for row in body["expect-rev"]]
        if [row["ver"] for row in current] != [
            row["ver"] for row in body["expect-rev"]
        ]:
            return 412, {"rows": current, "ver": self.version, "now-ms": _now_ms()}
        self.version += 1
        for row in body["puts"]:
            self._store(row)
        for row in body["remove"]:
            key = row["table"], row["part"], row["key"]
            if self.rows.pop(key, None) is not None:
                self._changes.append({**row, "ver": self.version, "deleted": True})
        return 200, {"ver": self.version, "now-ms": _now_ms()}

    def _store(self, row):
        stored = {**row, "ver": self.version}
        self.rows[row["table"], row["part"], row["key"]] = stored
        self._changes.append(stored)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _current(self, row):
        key = row["table"], row["part"], row["key"]
        none = {"table": key[0], "part": key[1], "key": key[2], "ver": 0}
        return self.rows.get(key, none)

    def _get(self, query):
        found = [
            row
            for (table, part, key), row in sorted(self.rows.items())
            if table == query["table"]
            and part == query["part"]
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        ]
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        page = {"rows": found[:limit], "has-more": len(found) > limit}
        return {**page, "ver": self.version, "now-ms": _now_ms()}

    async def _feed(self, query):
        after = int(query["after"])
        until_s = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            changed = self._changed
            found = [
                row
                for row in self._changes
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass
        return {"rows": found, "ver": self.version, "now-ms": _now_ms()}


def _now_ms():
    return int(time.monotonic() * 1000)
