"""A fake table and object store for tests of the journal, and tests of the fake."""

import json
import unittest
from typing import Any

from marigoldpath_core.journal import Journal
from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    Event,
    Log,
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRow,
    ReadRows,
    Row,
    RowRead,
    RowReadFailed,
    RowsRead,
    RowsReadFailed,
    RowWriteReplied,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.requests import Request, RequestKey, Size


def make_request(name: str) -> Request:
    return Request(RequestKey("team", "zadar", name), "exchange_order", Size(100, 10))


def without_logs(effects: list[Effect]) -> list[Effect]:
    return [effect for effect in effects if not isinstance(effect, Log)]


class MemoryTable:
    """A fake table with compare-and-set and a fake object store.

    `log` contains the value of every row that was written, in order.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, Any] = {}
        self.log: list[dict[str, Any]] = []

    def perform(self, effect: Effect) -> Event:
        """Execute an effect and return its reply."""
        if isinstance(effect, ReadRows):
            found = [row for key, row in self.rows.items() if key.startswith(effect[0])]
            return RowsRead(effect.prefix, tuple(found))
        if isinstance(effect, ReadRow):
            return RowRead(effect.key, self.rows.get(effect.key))
        if isinstance(effect, ReadObject):
            return ObjectRead(effect.key, self.objects.get(effect.key))
        if isinstance(effect, PutObject):
            self.objects[effect.key] = json.loads(json.dumps(effect.value))
            return RowWriteReplied(effect.key, WriteStatus.WRITTEN, 1)
        if isinstance(effect, CreateRow):
            return self._write(effect.key, effect.value, 0)
        if isinstance(effect, WriteRow):
            return self._write(effect.key, effect.value, effect.version)
        raise TypeError(f"no such effect on a table: {effect}")

    def _write(self, key: str, value: dict[str, Any], version: int) -> Event:
        old = self.rows.get(key)
        if (old.version if old else 0) != version:
            return RowWriteReplied(key, WriteStatus.CONFLICT)
        value = json.loads(json.dumps(value))
        self.rows[key] = Row(key, value, version + 1)
        self.log.append(value)
        return RowWriteReplied(key, WriteStatus.WRITTEN, version + 1)

    @staticmethod
    def drop_reply(effect: Effect) -> Event:
        """Return the event that the runtime passes on if no reply arrives."""
        if isinstance(effect, ReadRows):
            return RowsReadFailed(effect.prefix)
        if isinstance(effect, ReadRow):
            return RowReadFailed(effect.key)
        if isinstance(effect, ReadObject):
            return ObjectRead(effect.key, None, failed=True)
        return RowWriteReplied(effect.key, WriteStatus.UNKNOWN)  # type: ignore[union-attr]

    def run(self, journal: Journal, effects: list[Effect], now_ms: int) -> None:
        """Execute effects and those that result from the replies, without faults."""
        queue = without_logs(effects)
        while queue:
            reply = self.perform(queue.pop(0))
            queue += without_logs(journal.handle(reply, now_ms))

    def open(self, journal: Journal, epoch: int, now_ms: int) -> None:
        """Open a journal without faults."""
        self.run(journal, journal.open(epoch, now_ms), now_ms)

    def flush(self, journal: Journal, now_ms: int) -> None:
        """Write the entries that are due without faults."""
        self.run(journal, journal.tick(now_ms), now_ms)


class MemoryTableTests(unittest.TestCase):
    def test_a_write_succeeds_only_over_the_current_version(self) -> None:
        """Guards against an incorrect fake, which would hide errors of the journal."""
        table = MemoryTable()
        self.assertEqual(
            [
                table.perform(CreateRow("a", {"n": 1})),
                table.perform(CreateRow("a", {"n": 2})),
                table.perform(WriteRow("a", {"n": 3}, 1)),
                table.perform(WriteRow("a", {"n": 4}, 1)),
            ],
            [
                RowWriteReplied("a", WriteStatus.WRITTEN, 1),
                RowWriteReplied("a", WriteStatus.CONFLICT),
                RowWriteReplied("a", WriteStatus.WRITTEN, 2),
                RowWriteReplied("a", WriteStatus.CONFLICT),
            ],
        )
