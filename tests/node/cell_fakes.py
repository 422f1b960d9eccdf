"""A store in memory that follows the port's rules, peers and a logger for tests."""

import curio

from marigoldpath_core.jobs import (
    AdvicePolicy,
    JobSpec,
    Queue,
    Resources,
    StepSpec,
)
from marigoldpath_node.cell import (
    CellSettings,
    EntryHost,
    HistoryGoneError,
    Row,
    RowKey,
    Rows,
    StoreConflictError,
    StoreLostError,
    StoreRefusedError,
    Surroundings,
)
from marigoldpath_node.cell._peers import (
    PeerUnreachableError,
)
from marigoldpath_node.exposition import CellMetrics


class MemoryStore:
    """Rows with versions; `fates` says what happens to the next writes.

    A fate is `ok`, `refused` (nothing is done), `lost` (done, not answered), `dropped`
    (not done, not answered) or `late` (not answered, done by `carry_out_late`).
    """

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.fates = []
        self.is_down = False
        self.is_history_gone = False
        self.failing_reads = []
        self.reply_limits = []
        self.writes = []
        self._late = []
        self._changes = []

    async def commit(self, expected, puts, removals=()):
        if self.is_down:
            raise StoreRefusedError("down")
        fate = self.fates.pop(0) if self.fates else "ok"
        self.writes.append((fate, dict(puts)))
        if fate == "refused":
            raise StoreRefusedError("busy")
        if fate == "dropped":
            raise StoreLostError("no answer")
        if fate == "late":
            self._late.append((expected, puts, removals))
            raise StoreLostError("no answer")
        version = self._apply(expected, puts, removals)
        if fate == "lost":
            raise StoreLostError("no answer")
        return version

    def carry_out_late(self):
        """Carry out late writes whose condition still holds; return how many."""
        done = 0
        for expected, puts, removals in self._late:
            try:
                self._apply(expected, puts, removals)
                done += 1
            except StoreConflictError:
                continue
        self._late.clear()
        return done

    async def read(self, table, part, first="", last="", reply_s=None):
        self.reply_limits.append(reply_s)
        if self.is_down:
            raise StoreRefusedError("down")
        if (table, part) in self.failing_reads:
            self.failing_reads.remove((table, part))
            raise StoreRefusedError("no connection")
        await curio.sleep(0)
        rows = [
            row
            for key, row in sorted(self.rows.items())
            if key.table == table
            and key.part == part
            and first <= key.key
            and (not last or key.key < last)
        ]
        return Rows(tuple(rows), self.version)

    async def changes(self, table, after, wait_ms):
        if self.is_down:
            raise StoreRefusedError("down")
        if self.is_history_gone:
            self.is_history_gone = False
            raise HistoryGoneError("gone")
        found = [r for r in self._changes if r.version > after and r.key.table == table]
        return Rows(tuple(found), self.version)

    def _apply(self, expected, puts, removals):
        parts = {key.part for key in [*expected, *puts, *removals]}
        assert len(parts) == 1, f"a transaction over several parts: {parts}"
        current = {key: self._row(key) for key in expected}
        if any(current[key].version != version for key, version in expected.items()):
            raise StoreConflictError(tuple(current.values()))
        self.version += 1
        for key, value in puts.items():
            self.rows[key] = Row(key, value, self.version)
            self._changes.append(self.rows[key])
        for key in removals:
            self.rows.pop(key, None)
        return self.version

    def _row(self, key: RowKey) -> Row:
        return self.rows.get(key, Row(key, b"", 0))


class KeptLog:
    """Keeps (event, fields) of all lines."""

    def __init__(self):
        self.lines = []

    def _keep(self, event, **fields):
        self.lines.append((event, fields))

    debug = info = warning = error = exception = _keep

    def events(self):
        return [event for event, _ in self.lines]


JOB_ID = "00000000000000aa"


QUEUE = Queue("queue", "service", 0, 3, 1.5, 300, AdvicePolicy(20.0, 0.5, 2_000.0))


SPEC = JobSpec(JOB_ID, "payload", (StepSpec(2, Resources(500, 64, 0)),))


SETTINGS = CellSettings("host", "10.0.0.1:1", "zone", "token")


FAST = SETTINGS._replace(
    accept_retry_s=0.01,
    accept_refused_s=0.05,
    commit_retry_s=0.01,
    election_read_s=0.01,
    refused_s=0.05,
    silent_s=0.1,
    watch_s=0.01,
)


class FakePeers:
    """Answers calls to peers from a table of results by name."""

    def __init__(self, **results):
        self.results = results
        self.calls = []

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls.append((name, arguments))
            result = self.results.get(name, PeerUnreachableError(name))
            if isinstance(result, Exception):
                raise result
            return result

        return call


def entry_host(store, peers=None, settings=FAST):
    log = KeptLog()
    return EntryHost(
        settings,
        Surroundings(store, None, None, None, log, CellMetrics()),
        peers or FakePeers(),
    )


class FakeDirectory:
    def __init__(self, fault=None, entries=()):
        self.fault = fault
        self.entries = entries

    async def list_workers(self):
        if self.fault is not None:
            raise self.fault
        return self.entries
