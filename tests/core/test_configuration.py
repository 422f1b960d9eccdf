"""Tests of configuration versions with a controlled order of events."""

import random
import unittest
from typing import Any

from marigoldpath_core.configuration import (
    CURRENT_VERSION_KEY,
    ApplyOutcome,
    ApplyRequested,
    ApplyStatus,
    ConfigurationChanged,
    ConfigurationManager,
    PeerRecordReceived,
    ReplyToApply,
    VersionRecord,
    encode_pointer,
    encode_record,
)
from marigoldpath_core.messages import (
    CreateRow,
    ObjectRead,
    PutObject,
    ReadObject,
    ReadRow,
    Row,
    RowRead,
    RowReadFailed,
    RowWriteReplied,
    Tick,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.sheet import read_configuration

WRITES = (WriteRow, CreateRow, PutObject)


def text_of(weight: int) -> str:
    return f"row,name,weight\nkind,plan,{weight}\n"


class Store:
    """A fake table and object store; the test decides when an effect is executed."""

    def __init__(self) -> None:
        self.row: Row | None = None
        self.objects: dict[str, Any] = {}

    def execute(self, effect: Any) -> Any:
        """Execute an effect and return the event with its reply."""
        if isinstance(effect, ReadRow):
            return RowRead(effect.key, self.row)
        if isinstance(effect, ReadObject):
            return ObjectRead(effect.key, self.objects.get(effect.key))
        if isinstance(effect, PutObject):
            self.objects[effect.key] = effect.value
            return RowWriteReplied(effect.key, WriteStatus.WRITTEN)
        row_version = self.row.version if self.row else None
        expected_version = effect.version if isinstance(effect, WriteRow) else None
        if row_version != expected_version:
            return RowWriteReplied(effect.key, WriteStatus.CONFLICT)
        self.row = Row(effect.key, effect.value, (row_version or 0) + 1)
        return RowWriteReplied(effect.key, WriteStatus.WRITTEN, self.row.version)


class Host:
    """A configuration manager with its effects in flight."""

    def __init__(self, store: Store) -> None:
        self.store = store
        self.manager = ConfigurationManager(read_configuration)
        self.now = 0
        self.pending: list[Any] = []
        self.outcomes: list[ApplyOutcome] = []
        self.versions: list[int] = []

    def handle(self, event: Any) -> None:
        for effect in self.manager.handle(event, self.now):
            if isinstance(effect, ReplyToApply):
                self.outcomes.append(effect.outcome)
            elif isinstance(effect, ConfigurationChanged):
                self.versions.append(effect.configuration.version)
            elif isinstance(effect, (ReadRow, ReadObject, *WRITES)):
                self.pending.append(effect)

    def tick(self, ms: int = 1_000) -> None:
        self.now += ms
        self.handle(Tick())

    def apply(self, base: int, weight: int, author: str = "ana") -> None:
        self.handle(ApplyRequested(1, base, author, "08:00", text_of(weight)))

    def step(self, lose_reply: bool = False) -> Any:
        """Execute the oldest effect; `lose_reply` reports its reply as lost or failed.

        Reads of objects are not affected.
        """
        effect = self.pending.pop(0)
        event = self.store.execute(effect)
        if lose_reply and isinstance(effect, WRITES):
            event = RowWriteReplied(effect.key, WriteStatus.UNKNOWN)
        elif lose_reply and isinstance(effect, ReadRow):
            event = RowReadFailed(effect.key)
        self.handle(event)
        return effect

    def run(self) -> None:
        while self.pending:
            self.step()

    def step_until(self, effect_type: type) -> None:
        """Execute effects until the oldest one is of the given type."""
        while not isinstance(self.pending[0], effect_type):
            self.step()


def record(version: int, weight: int, previous: str = "") -> VersionRecord:
    return VersionRecord(
        version, version - 1, "eva", "09:00", previous, text_of(weight)
    )


class ActiveVersionTests(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.host = Host(self.store)

    def store_version(self, stored: VersionRecord) -> None:
        """Store a version in the row and its object."""
        pointer = stored.pointer
        self.store.objects[pointer.object_key] = dict(encode_record(stored))
        version = self.store.row.version + 1 if self.store.row else 1
        self.store.row = Row(CURRENT_VERSION_KEY, encode_pointer(pointer), version)

    def test_a_version_in_the_row_becomes_active_after_one_read(self) -> None:
        self.store_version(record(3, 5))
        self.host.tick()
        self.host.run()
        self.assertEqual(self.host.manager.version, 3)
        self.assertEqual(self.host.manager.configuration.kinds[0].weight, 5)

    def test_a_late_reply_with_an_older_row_is_ignored(self) -> None:
        self.store_version(record(3, 5))
        old_row, old_object = self.store.row, dict(self.store.objects)
        self.store_version(record(4, 6))
        self.host.tick()
        self.host.run()
        self.host.handle(RowRead(CURRENT_VERSION_KEY, old_row))
        for key, value in old_object.items():
            self.host.handle(ObjectRead(key, value))
        self.assertEqual(self.host.versions, [4])

    def test_a_row_that_the_platform_reset_does_not_lower_the_version(self) -> None:
        self.store_version(record(4, 6))
        self.host.tick()
        self.host.run()
        self.store_version(record(2, 1))
        self.host.tick()
        self.host.run()
        self.assertEqual(self.host.manager.version, 4)
        self.host.apply(4, 9)
        self.host.run()
        self.assertEqual(self.store.row.value["version"], 5)

    def test_a_missing_or_damaged_object_is_read_again(self) -> None:
        stored = record(3, 5)
        self.store_version(stored)
        good = self.store.objects.pop(stored.pointer.object_key)
        self.host.tick()
        self.host.run()
        self.store.objects[stored.pointer.object_key] = {**good, "text": text_of(9)}
        self.host.tick()
        self.host.run()
        self.assertEqual(self.host.manager.version, 0)
        self.store.objects[stored.pointer.object_key] = good
        self.host.tick()
        self.host.run()
        self.assertEqual(self.host.versions, [3])

    def test_a_host_without_the_platform_activates_a_version_from_a_peer(self) -> None:
        self.host.handle(PeerRecordReceived(record(6, 2)))
        self.host.handle(PeerRecordReceived(record(5, 1)))
        self.assertEqual(self.host.versions, [6])

    def test_reads_continue_after_a_read_without_a_reply(self) -> None:
        self.host.tick()
        self.host.pending.clear()
        for _ in range(12):
            self.host.tick()
        self.assertIn(ReadRow(CURRENT_VERSION_KEY), self.host.pending)


class ApplyTests(unittest.TestCase):
    def setUp(self) -> None:
        self.store = Store()
        self.host = Host(self.store)

    def applied(self, host: Host, base: int, weight: int) -> None:
        host.apply(base, weight)
        host.run()
        self.assertIs(host.outcomes.pop().status, ApplyStatus.APPLIED)

    def test_the_object_is_written_before_the_row(self) -> None:
        self.host.apply(0, 5)
        done = []
        while self.host.pending:
            done.append(type(self.host.step()))
        self.assertEqual(done, [ReadRow, PutObject, CreateRow, ReadRow])
        self.assertEqual(self.host.versions, [1])

    def test_a_sheet_with_problems_writes_nothing(self) -> None:
        self.host.handle(ApplyRequested(1, 0, "ana", "", "row,name\nkind,\n"))
        self.assertEqual(self.host.outcomes[0].code, "bad_sheet")
        self.assertEqual(self.host.outcomes[0].faults[0].row, 2)
        self.assertEqual(self.host.pending, [])

    def test_a_write_whose_reply_is_lost_is_applied_once(self) -> None:
        self.applied(self.host, 0, 5)
        self.host.apply(1, 6)
        self.host.step_until(WriteRow)
        self.host.step(lose_reply=True)
        self.host.run()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.APPLIED)
        self.assertEqual(self.store.row.version, 2)

    def test_a_lost_write_is_repeated(self) -> None:
        self.applied(self.host, 0, 5)
        self.host.apply(1, 6)
        self.host.step_until(WriteRow)
        self.host.pending.pop(0)
        self.host.handle(RowWriteReplied(CURRENT_VERSION_KEY, WriteStatus.UNKNOWN))
        self.host.run()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.APPLIED)

    def test_the_first_of_two_concurrent_applies_wins_and_the_other_is_refused(
        self,
    ) -> None:
        other = Host(self.store)
        self.applied(self.host, 0, 5)
        other.tick()
        other.run()
        self.host.apply(1, 6, "ana")
        other.apply(1, 7, "bruno")
        self.host.step_until(WriteRow)
        other.step_until(WriteRow)
        self.host.run()
        other.run()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.APPLIED)
        lost = other.outcomes[0]
        self.assertEqual((lost.status, lost.author), (ApplyStatus.REFUSED, "ana"))
        self.assertEqual(lost.changes, ("kind plan changed: weight from 5 to 6",))
        self.assertEqual(other.manager.version, 2)

    def test_an_applied_change_that_was_replaced_is_reported_as_applied(self) -> None:
        other = Host(self.store)
        self.applied(self.host, 0, 5)
        self.host.apply(1, 6)
        self.host.step_until(WriteRow)
        self.host.step(lose_reply=True)
        other.tick()
        other.run()
        self.applied(other, 2, 8)
        self.host.run()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.APPLIED)
        self.assertEqual(self.host.manager.version, 3)

    def test_a_change_overtaken_by_two_versions_is_refused(self) -> None:
        other = Host(self.store)
        self.applied(self.host, 0, 5)
        other.tick()
        other.run()
        self.host.apply(1, 6)
        self.host.step_until(WriteRow)
        self.applied(other, 1, 7)
        self.applied(other, 2, 8)
        self.host.run()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.REFUSED)
        self.assertEqual(self.host.manager.configuration.kinds[0].weight, 8)

    def test_a_late_reply_to_an_earlier_apply_does_not_confirm_this_one(self) -> None:
        self.applied(self.host, 0, 5)
        self.host.apply(1, 6)
        self.host.step_until(WriteRow)
        self.host.handle(RowWriteReplied(CURRENT_VERSION_KEY, WriteStatus.WRITTEN, 2))
        self.assertEqual(self.host.outcomes, [])
        self.host.run()
        self.assertEqual(self.store.row.value["version"], 2)

    def test_an_apply_without_the_platform_is_refused(self) -> None:
        self.host.apply(0, 5)
        for _ in range(9):
            self.host.tick()
        self.assertEqual(self.host.outcomes[0].code, "platform_unavailable")

    def test_an_apply_without_a_reply_to_the_row_write_is_unknown(self) -> None:
        self.host.apply(0, 5)
        self.host.step_until(CreateRow)
        self.host.step(lose_reply=True)
        for _ in range(9):
            self.host.pending.clear()
            self.host.tick()
        self.assertIs(self.host.outcomes[0].status, ApplyStatus.UNKNOWN)

    def test_an_outdated_base_is_refused_with_the_changes_since(self) -> None:
        self.applied(self.host, 0, 5)
        self.applied(self.host, 1, 6)
        self.host.apply(1, 7)
        self.assertEqual(self.host.outcomes[0].code, "version_conflict")
        self.assertEqual(len(self.host.outcomes[0].changes), 1)

    def test_each_version_links_to_the_one_before(self) -> None:
        for base in range(3):
            self.applied(self.host, base, 5 + base)
        key = self.host.manager.record.pointer.object_key
        found = []
        while key:
            found.append(self.store.objects[key]["version"])
            key = self.store.objects[key]["previous"]
        self.assertEqual(found, [3, 2, 1])


class ConcurrentOperatorsTests(unittest.TestCase):
    def test_reported_outcomes_are_correct_in_random_orders(self) -> None:
        """Guards against false outcomes.

        Replies are reordered or lost, or report that the result is unknown.

        An applied change must be in the chain of versions and a refused one must not.
        """
        counts = dict.fromkeys(ApplyStatus, 0)
        for seed in range(300):
            store = Store()
            hosts = [Host(store) for _ in range(3)]
            finished = self.play(random.Random(seed), hosts)
            applied_authors = self.authors_of_chain(store)
            for author, outcome in finished:
                counts[outcome.status] += 1
                if outcome.status is ApplyStatus.APPLIED:
                    self.assertIn(author, applied_authors, f"seed {seed}")
                elif outcome.status is ApplyStatus.REFUSED:
                    self.assertNotIn(author, applied_authors, f"seed {seed}")
            for host in hosts:
                self.assertEqual(host.versions, sorted(set(host.versions)))
        self.assertTrue(all(count > 20 for count in counts.values()), counts)

    def play(
        self, choice: random.Random, hosts: list[Host]
    ) -> list[tuple[str, ApplyOutcome]]:
        finished = []
        waiting: dict[int, str] = {}
        for move in range(200):
            index = choice.randrange(len(hosts))
            host = hosts[index]
            roll = choice.random()
            if roll < 0.1 and index not in waiting:
                waiting[index] = f"operator-{move}"
                host.apply(host.manager.version, 1 + move, waiting[index])
            elif roll < 0.3:
                host.tick(choice.choice((100, 1_000, 3_000)))
            elif host.pending and roll < 0.9:
                choice.shuffle(host.pending)
                host.step(lose_reply=choice.random() < 0.3)
            elif host.pending:
                host.pending.pop(0)
            for outcome in host.outcomes:
                finished.append((waiting.pop(index), outcome))
            host.outcomes.clear()
        return finished

    def authors_of_chain(self, store: Store) -> list[str]:
        authors = []
        value = store.row.value if store.row else {}
        key = f"config/{value['version']}-{value['digest']}" if value else ""
        while key:
            authors.append(store.objects[key]["author"])
            key = store.objects[key]["previous"]
        return authors


if __name__ == "__main__":
    unittest.main()
