"""A seeded search over leaders that share a table which delays, loses and repeats."""

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
STEPS = (
    "tick wait answer lose perform perform_and_repeat postpone"
    " deliver_delayed repeat_answer"
)
ACTIONS = st.lists(st.sampled_from(STEPS.split()), max_size=8)


class Process:
    """An entry host: its journal, its own clock and its calls to the table."""

    def __init__(self, host: str, now_ms: int) -> None:
        self.host = host
        self.journal = Journal(SETTINGS, "zadar", host)
        self.now_ms = now_ms
        self.epoch = 0
        self.calls: list[tuple[Effect, Event | None]] = []
        self.answers: list[Event] = []
        self.entries: dict[int, Entry] = {}
        self.opened = False


class JournalMachine(RuleBasedStateMachine):
    """Checks the log of rows and what leaders were told about their entries."""

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.processes = {"a": Process("a", 0), "b": Process("b", 10**6)}
        self.processes["c"] = Process("c", 50)
        self.epoch = 0
        self.delayed: list[Effect] = []
        self.confirmed: list[tuple[int, Entry]] = []
        self.not_written: list[Entry] = []
        self.openings: list[tuple[int, dict[RequestKey, Any]]] = []
        self.written: set[str] = set()
        self.intended: set[str] = set()
        self.batches: set[str] = set()
        self.checked = self.checked_confirmed = self.checked_openings = 0
        self.log_epoch = self.covered = 0

    @rule(host=HOSTS, actions=ACTIONS)
    def take_over(self, host: str, actions: list[str]) -> None:
        process = self.processes[host]
        process.journal.close()
        self._collect(process)
        self.epoch += 1
        process.epoch, process.opened = self.epoch, False
        self._after(process, process.journal.open(self.epoch, process.now_ms))
        self.move_calls(host, actions)

    @rule(host=HOSTS, kinds=KINDS, number=NUMBERS, actions=ACTIONS)
    def append_some(
        self, host: str, kinds: list[str], number: int, actions: list[str]
    ) -> None:
        """Append entries, begin a row and meet faults."""
        if not self.processes[host].journal.ready:
            self.take_over(host, [])
            self._answer_all(self.processes[host])
        for kind in kinds:
            self.append(host, number, kind)
        self.move_calls(host, ["tick", *actions])

    @rule(host=HOSTS, kinds=KINDS, number=NUMBERS)
    def run_freely(self, host: str, kinds: list[str], number: int) -> None:
        """Without faults for a while, so that the ring wraps within a search."""
        process = self.processes[host]
        if not process.journal.ready:
            self.take_over(host, [])
        for kind in kinds:
            self._answer_all(process)
            self.append(host, number, kind)
            self.tick(process, 100)
            if process.journal.needs_snapshot:
                self._after(process, process.journal.snapshot(process.now_ms))

    @rule(host=HOSTS, actions=ACTIONS)
    def move_calls(self, host: str, actions: list[str]) -> None:
        """Steps of calls on their way to the table and back."""
        process = self.processes[host]
        for action in actions:
            if action == "tick":
                self.tick(process, 10)
            elif action == "wait":
                self.tick(process, 1_000)
            elif action == "deliver_delayed" and self.delayed:
                self.table.perform(self.delayed.pop())
            elif action == "repeat_answer" and process.answers:
                event = process.answers[-1]
                self._after(process, process.journal.handle(event, process.now_ms))
            elif process.calls:
                self._move_call(process, action)

    @rule(index=st.integers(0, 9))
    def deliver_delayed(self, index: int) -> None:
        if index < len(self.delayed):
            self.table.perform(self.delayed.pop(index))

    @rule(host=HOSTS, back=st.integers(1, 9))
    def repeat_answer(self, host: str, back: int) -> None:
        process = self.processes[host]
        if back <= len(process.answers):
            event = process.answers[-back]
            self._after(process, process.journal.handle(event, process.now_ms))

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
        known = process.journal.recovered.get(request.key)
        entry: Entry = Accepted(make_request(f"{host}{ticket}"), process.now_ms)
        if kind != "a" and self._is_pending(process, request.key):
            return
        if kind == "i" and known is None:
            entry = Intent((task_id(request.key, 1),), f"{host}{ticket}")
        if kind == "f" and known is not None and not known.finished:
            entry = Finished(request.key, OutcomeKind.DONE, None, process.now_ms)
        self.assert_equal(process.journal.append(entry, process.now_ms), ticket)
        process.entries[ticket] = entry

    def tick(self, process: Process, elapsed_ms: int) -> None:
        process.now_ms += elapsed_ms
        self._after(process, process.journal.tick(process.now_ms))

    def _move_call(self, process: Process, action: str) -> None:
        effect, event = process.calls[0]
        if action == "answer":
            self._answer(process)
        elif action == "lose":
            process.calls.pop(0)
            if event is None:
                self.delayed.append(effect)
            reply = self.table.drop_reply(effect)
            self._after(process, process.journal.handle(reply, process.now_ms))
        elif action == "postpone":
            process.calls.append(process.calls.pop(0))
        elif event is None and action in ("perform", "perform_and_repeat"):
            process.calls[0] = (effect, self.table.perform(effect))
            if action == "perform_and_repeat":
                self.delayed.append(effect)

    def _answer(self, process: Process) -> None:
        effect, event = process.calls.pop(0)
        if isinstance(event, RowsRead):
            event = self._torn(event)
        event = event or self.table.perform(effect)
        process.answers.append(event)
        self._after(process, process.journal.handle(event, process.now_ms))

    def _torn(self, event: RowsRead) -> RowsRead:
        """Return a read that saw some slots early and the others late."""
        early = [row for row in event.rows if row.key[-1] in "02"]
        late = [row for row in self.table.rows.values() if row.key[-1] in "13"]
        return RowsRead(event.prefix, (*early, *late))

    @invariant()
    def holds(self) -> None:
        self._check_rows()
        self._check_reports()
        self._check_openings()

    def _check_rows(self) -> None:
        """A second row of a sequence or a row after a higher epoch's is an error."""
        for row in self.table.log[self.checked :]:
            self.checked += 1
            self.assert_equal(row["sequence"], self.checked)
            assert row["epoch"] >= self.log_epoch, row
            self.log_epoch = row["epoch"]
            assert row["batch"] not in self.batches, row
            self.batches.add(row["batch"])
            for payload in row["entries"]:
                self._check_entry(payload)
            assert row["sequence"] - SETTINGS.slots <= self.covered, row

    def _check_entry(self, payload: Any) -> None:
        text = json.dumps(payload)
        if payload["kind"] == "snapshot":
            assert payload["fields"]["object_key"] in self.table.objects
            self.covered = max(self.covered, payload["fields"]["sequence"])
        elif payload["kind"] == "intent":
            for task in payload["fields"]["tasks"]:
                assert task not in self.intended, payload
                self.intended.add(task)
        self.written.add(text)

    def _check_reports(self) -> None:
        """What leaders were told of an entry agrees with the rows written."""
        for entry in self.not_written:
            assert json.dumps(encode_entry(entry)) not in self.written, entry
        for epoch, entry in self.confirmed[self.checked_confirmed :]:
            self.checked_confirmed += 1
            assert json.dumps(encode_entry(entry)) in self.written, entry
            for later, seen in self.openings:
                assert later <= epoch or self._shows(seen, entry), (later, entry)

    def _check_openings(self) -> None:
        """Every later leader sees the confirmed entries."""
        for later, seen in self.openings[self.checked_openings :]:
            self.checked_openings += 1
            for epoch, entry in self.confirmed:
                assert later <= epoch or self._shows(seen, entry), (later, entry)

    def assert_equal(self, found: Any, expected: Any) -> None:
        assert found == expected, (found, expected)

    def _shows(self, seen: dict[RequestKey, Any], entry: Entry) -> bool:
        if isinstance(entry, Accepted):
            return seen[entry.request.key].request == entry.request
        if isinstance(entry, Finished):
            return seen[entry.key].finished
        assert isinstance(entry, Intent)
        known = seen[RequestKey("team", "zadar", entry.tasks[0][11:13])]
        return known.finished or known.intents == (entry,)

    def _is_pending(self, process: Process, key: RequestKey) -> bool:
        settled = [entry for _, entry in self.confirmed] + self.not_written
        return any(
            entry not in settled
            and (
                (isinstance(entry, Intent) and entry.tasks == (task_id(key, 1),))
                or (isinstance(entry, Finished) and entry.key == key)
            )
            for entry in process.entries.values()
        )

    def _answer_all(self, process: Process) -> None:
        while process.calls:
            self._answer(process)

    def _after(self, process: Process, effects: list[Effect]) -> None:
        process.calls += [(effect, None) for effect in without_logs(effects)]
        journal = process.journal
        for ticket in journal.confirmed():
            self.confirmed.append((process.epoch, process.entries[ticket]))
        if journal.fenced:
            self._collect(process)
        if journal.ready and not process.opened:
            process.opened = True
            seen = {request.key: request for request in journal.recovered}
            self.openings.append((process.epoch, seen))

    def _collect(self, process: Process) -> None:
        for ticket in process.journal.unconfirmed.not_written:
            self.not_written.append(process.entries[ticket])


class JournalModelTests(JournalMachine.TestCase):  # type: ignore[name-defined,misc]
    """Guards durability, fencing by epoch and at most one intent of a request."""

    settings = settings(
        max_examples=80,
        stateful_step_count=40,
        derandomize=True,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


if __name__ == "__main__":
    unittest.main()
