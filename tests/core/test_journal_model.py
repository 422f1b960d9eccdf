"""A property test of leaders that share a table.

Messages to and from the table are delayed, lost and repeated.
"""

import json
import unittest
from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from marigoldpath_core.journal import (
    Accepted,
    Entry,
    Finished,
    Intent,
    Journal,
    encode_entry,
)
from marigoldpath_core.messages import Effect, Event, RowsRead
from marigoldpath_core.requests import OutcomeKind, RequestKey, task_id
from marigoldpath_core.settings import JournalSettings
from tests.core.test_journal_table import MemoryTable, make_request, without_logs

SETTINGS = JournalSettings(
    interval_ms=10, max_entries=3, slots=4, snapshot_after=3, retention_ms=10**9
)
HOSTS = st.sampled_from("abc")
NUMBERS = st.integers(0, 9)
KINDS = st.lists(st.sampled_from("aiif"), min_size=1, max_size=9)
ACTION_NAMES = (
    "tick wait answer lose perform perform_and_repeat postpone"
    " deliver_delayed repeat_answer"
)
ACTIONS = st.lists(st.sampled_from(ACTION_NAMES.split()), max_size=8)


class EntryHostProcess:
    """An entry host with its journal, its clock and its calls to the table."""

    def __init__(self, host: str, now_ms: int) -> None:
        self.host = host
        self.journal = Journal(SETTINGS, "zadar", host)
        self.now_ms = now_ms
        self.epoch = 0
        self.calls: list[tuple[Effect, Event | None]] = []
        self.replies: list[Event] = []
        self.entries: dict[int, Entry] = {}
        self.opened = False


class JournalMachine(RuleBasedStateMachine):
    """Runs journals on a shared table and checks written rows and confirmations."""

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.processes = {
            "a": EntryHostProcess("a", 0),
            "b": EntryHostProcess("b", 10**6),
        }
        self.processes["c"] = EntryHostProcess("c", 50)
        self.epoch = 0
        self.delayed: list[Effect] = []
        self.confirmed: list[tuple[int, Entry]] = []
        self.not_written: list[Entry] = []
        self.recovered_states: list[tuple[int, dict[RequestKey, Any]]] = []
        self.written: set[str] = set()
        self.intended: set[str] = set()
        self.batches: set[str] = set()
        self.checked_rows = self.checked_confirmed = self.checked_recovered_states = 0
        self.log_epoch = self.snapshot_sequence = 0

    @rule(host=HOSTS, actions=ACTIONS)
    def start_new_epoch(self, host: str, actions: list[str]) -> None:
        process = self.processes[host]
        process.journal.close()
        self._collect_not_written(process)
        self.epoch += 1
        process.epoch, process.opened = self.epoch, False
        self._process_effects(process, process.journal.open(self.epoch, process.now_ms))
        self.move_calls(host, actions)

    @rule(host=HOSTS, kinds=KINDS, number=NUMBERS, actions=ACTIONS)
    def append_entries(
        self, host: str, kinds: list[str], number: int, actions: list[str]
    ) -> None:
        """Append entries and write a row; `actions` can make table calls fail."""
        if not self.processes[host].journal.ready:
            self.start_new_epoch(host, [])
            self._deliver_replies(self.processes[host])
        for kind in kinds:
            self.append(host, number, kind)
        self.move_calls(host, ["tick", *actions])

    @rule(host=HOSTS, kinds=KINDS, number=NUMBERS)
    def run_without_faults(self, host: str, kinds: list[str], number: int) -> None:
        """Append entries without faults, so that the ring buffer wraps within a run."""
        process = self.processes[host]
        if not process.journal.ready:
            self.start_new_epoch(host, [])
        for kind in kinds:
            self._deliver_replies(process)
            self.append(host, number, kind)
            self.tick(process, 100)
            if process.journal.needs_snapshot:
                self._process_effects(process, process.journal.snapshot(process.now_ms))

    @rule(host=HOSTS, actions=ACTIONS)
    def move_calls(self, host: str, actions: list[str]) -> None:
        """Execute, lose, delay or repeat calls of a host, as the actions say."""
        process = self.processes[host]
        for action in actions:
            if action == "tick":
                self.tick(process, 10)
            elif action == "wait":
                self.tick(process, 1_000)
            elif action == "deliver_delayed" and self.delayed:
                self.table.perform(self.delayed.pop())
            elif action == "repeat_answer" and process.replies:
                event = process.replies[-1]
                self._process_effects(
                    process, process.journal.handle(event, process.now_ms)
                )
            elif process.calls:
                self._move_call(process, action)

    @rule(index=st.integers(0, 9))
    def deliver_delayed(self, index: int) -> None:
        if index < len(self.delayed):
            self.table.perform(self.delayed.pop(index))

    @rule(host=HOSTS, back=st.integers(1, 9))
    def repeat_reply(self, host: str, back: int) -> None:
        process = self.processes[host]
        if back <= len(process.replies):
            event = process.replies[-back]
            self._process_effects(
                process, process.journal.handle(event, process.now_ms)
            )

    @rule(host=HOSTS, back=st.integers(0, 3))
    def withdraw(self, host: str, back: int) -> None:
        process = self.processes[host]
        ticket = len(process.entries) - back
        if process.journal.withdraw(ticket):
            self.not_written.append(process.entries[ticket])

    def append(self, host: str, number: int, kind: str) -> None:
        process = self.processes[host]
        if not process.journal.ready:
            return
        ticket = len(process.entries) + 1
        request = make_request(f"r{number}")
        recovered_request = process.journal.recovered.get(request.key)
        entry: Entry = Accepted(make_request(f"{host}{ticket}"), process.now_ms)
        if kind != "a" and self._is_pending(process, request.key):
            return
        if kind == "i" and recovered_request is None:
            entry = Intent((task_id(request.key, 1),), f"{host}{ticket}")
        if (
            kind == "f"
            and recovered_request is not None
            and not recovered_request.finished
        ):
            entry = Finished(request.key, OutcomeKind.DONE, None, process.now_ms)
        self.assert_equal(process.journal.append(entry, process.now_ms), ticket)
        process.entries[ticket] = entry

    def tick(self, process: EntryHostProcess, elapsed_ms: int) -> None:
        process.now_ms += elapsed_ms
        self._process_effects(process, process.journal.tick(process.now_ms))

    def _move_call(self, process: EntryHostProcess, action: str) -> None:
        effect, event = process.calls[0]
        if action == "answer":
            self._deliver_reply(process)
        elif action == "lose":
            process.calls.pop(0)
            if event is None:
                self.delayed.append(effect)
            reply = self.table.drop_reply(effect)
            self._process_effects(
                process, process.journal.handle(reply, process.now_ms)
            )
        elif action == "postpone":
            process.calls.append(process.calls.pop(0))
        elif event is None and action in ("perform", "perform_and_repeat"):
            process.calls[0] = (effect, self.table.perform(effect))
            if action == "perform_and_repeat":
                self.delayed.append(effect)

    def _deliver_reply(self, process: EntryHostProcess) -> None:
        effect, event = process.calls.pop(0)
        if isinstance(event, RowsRead):
            event = self._make_torn_read(event)
        event = event or self.table.perform(effect)
        process.replies.append(event)
        self._process_effects(process, process.journal.handle(event, process.now_ms))

    def _make_torn_read(self, event: RowsRead) -> RowsRead:
        """Return a read with earlier rows of some slots and current rows of others."""
        early = [row for row in event.rows if row.key[-1] in "02"]
        late = [row for row in self.table.rows.values() if row.key[-1] in "13"]
        return RowsRead(event.prefix, (*early, *late))

    @invariant()
    def journal_is_consistent(self) -> None:
        self._check_rows()
        self._check_reported_entries()
        self._check_recovered_states()

    def _check_rows(self) -> None:
        """Check the rows that were written since the last check.

        Each sequence number and each batch is written once, epochs never decrease, no
        task has two intents, and only rows covered by a snapshot are overwritten.
        """
        for row in self.table.log[self.checked_rows :]:
            self.checked_rows += 1
            self.assert_equal(row["sequence"], self.checked_rows)
            assert row["epoch"] >= self.log_epoch, row
            self.log_epoch = row["epoch"]
            assert row["batch"] not in self.batches, row
            self.batches.add(row["batch"])
            for payload in row["entries"]:
                self._check_entry(payload)
            assert row["sequence"] - SETTINGS.slots <= self.snapshot_sequence, row

    def _check_entry(self, payload: Any) -> None:
        text = json.dumps(payload)
        if payload["kind"] == "snapshot":
            assert payload["fields"]["object_key"] in self.table.objects
            self.snapshot_sequence = max(
                self.snapshot_sequence, payload["fields"]["sequence"]
            )
        elif payload["kind"] == "intent":
            for task in payload["fields"]["tasks"]:
                assert task not in self.intended, payload
                self.intended.add(task)
        self.written.add(text)

    def _check_reported_entries(self) -> None:
        """Check that what was reported to leaders agrees with the written rows.

        Entries reported as not written are in no row. Confirmed entries are in a row,
        and every later leader has recovered them.
        """
        for entry in self.not_written:
            assert json.dumps(encode_entry(entry)) not in self.written, entry
        for epoch, entry in self.confirmed[self.checked_confirmed :]:
            self.checked_confirmed += 1
            assert json.dumps(encode_entry(entry)) in self.written, entry
            for later, recovered in self.recovered_states:
                assert later <= epoch or self._contains_entry(recovered, entry), (
                    later,
                    entry,
                )

    def _check_recovered_states(self) -> None:
        """Check that new leaders recovered the entries confirmed in earlier epochs."""
        for later, recovered in self.recovered_states[self.checked_recovered_states :]:
            self.checked_recovered_states += 1
            for epoch, entry in self.confirmed:
                assert later <= epoch or self._contains_entry(recovered, entry), (
                    later,
                    entry,
                )

    def assert_equal(self, found: Any, expected: Any) -> None:
        assert found == expected, (found, expected)

    def _contains_entry(self, recovered: dict[RequestKey, Any], entry: Entry) -> bool:
        if isinstance(entry, Accepted):
            return recovered[entry.request.key].request == entry.request
        if isinstance(entry, Finished):
            return recovered[entry.key].finished
        assert isinstance(entry, Intent)
        recovered_request = recovered[
            RequestKey("team", "zadar", entry.tasks[0][11:13])
        ]
        return recovered_request.finished or recovered_request.intents == (entry,)

    def _is_pending(self, process: EntryHostProcess, key: RequestKey) -> bool:
        resolved = [entry for _, entry in self.confirmed] + self.not_written
        return any(
            entry not in resolved
            and (
                (isinstance(entry, Intent) and entry.tasks == (task_id(key, 1),))
                or (isinstance(entry, Finished) and entry.key == key)
            )
            for entry in process.entries.values()
        )

    def _deliver_replies(self, process: EntryHostProcess) -> None:
        while process.calls:
            self._deliver_reply(process)

    def _process_effects(
        self, process: EntryHostProcess, effects: list[Effect]
    ) -> None:
        process.calls += [(effect, None) for effect in without_logs(effects)]
        journal = process.journal
        for ticket in journal.confirmed():
            self.confirmed.append((process.epoch, process.entries[ticket]))
        if journal.fenced:
            self._collect_not_written(process)
        if journal.ready and not process.opened:
            process.opened = True
            recovered = {request.key: request for request in journal.recovered}
            self.recovered_states.append((process.epoch, recovered))

    def _collect_not_written(self, process: EntryHostProcess) -> None:
        for ticket in process.journal.unconfirmed.not_written:
            self.not_written.append(process.entries[ticket])


class JournalModelTests(JournalMachine.TestCase):  # type: ignore[name-defined,misc]
    """Checks durability, fencing by epoch and snapshots under random faults.

    Also checks that no task has two intents.
    """

    settings = settings(
        max_examples=80,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


if __name__ == "__main__":
    unittest.main()
