"""Tests of the journal in exact orders of messages."""

import unittest

from marigoldpath_core.journal import Accepted, Finished, Intent, Journal
from marigoldpath_core.messages import (
    CreateRow,
    Effect,
    PutObject,
    ReadRow,
    ReadRows,
    Row,
    RowReadFailed,
    RowWriteReplied,
    WriteStatus,
)
from marigoldpath_core.requests import OutcomeKind, task_id
from marigoldpath_core.settings import JournalSettings
from tests.core.test_journal_table import MemoryTable, make_request, without_logs

SETTINGS = JournalSettings(interval_ms=10, max_entries=3, slots=4, snapshot_after=3)
REQUEST = make_request("r")
INTENT = Intent((task_id(REQUEST.key, 1),), "w1")


class JournalTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.table = MemoryTable()
        self.old = Journal(SETTINGS, "zadar", "a")
        self.new = Journal(SETTINGS, "zadar", "b")
        self.table.open(self.old, 1, 0)

    def begin(self, name: str, now_ms: int) -> Effect:
        """Append an entry to the old leader's journal; return its write's effect."""
        self.old.append(Accepted(make_request(name), now_ms), now_ms)
        return without_logs(self.old.tick(now_ms))[0]

    def drop_reply(self, effect: Effect, now_ms: int) -> list[Effect]:
        return without_logs(self.old.handle(self.table.drop_reply(effect), now_ms))


class JournalGroupTests(JournalTestCase):
    def test_one_row_is_in_flight_and_the_next_waits_for_the_interval(self) -> None:
        """Guards the platform against more writes than it can take."""
        write = self.begin("r1", 10)
        for number in range(4):
            self.old.append(Accepted(make_request(f"s{number}"), 11), 11)
        self.assertEqual(self.old.tick(25), [])
        written = self.table.perform(write)
        (second,) = self.old.handle(written, 25)
        self.assertEqual(len(second.value["entries"]), 3)
        self.assertEqual(self.old.handle(self.table.perform(second), 26), [])
        self.assertEqual(self.old.wake_ms, 35)
        self.assertEqual(len(self.old.tick(35)), 1)
        self.assertEqual(self.old.confirmed(), [1, 2, 3, 4])


class JournalLostAnswerTests(JournalTestCase):
    def test_a_row_that_was_not_written_is_written_again_unchanged(self) -> None:
        """Guards against a second row for the same entries."""
        write = self.begin("r1", 10)
        self.assertEqual(self.drop_reply(write, 15), [ReadRow(write.key)])
        self.assertFalse(self.old.available)
        read = self.table.perform(ReadRow(write.key))
        self.assertEqual(self.old.handle(read, 20), [write])
        self.table.perform(write)
        self.drop_reply(write, 30)
        read = self.table.perform(ReadRow(write.key))
        self.assertEqual(self.old.handle(read, 31), [])
        self.assertEqual((self.old.confirmed(), self.old.available), ([1], True))

    def test_a_table_that_is_down_is_asked_at_a_bounded_rate(self) -> None:
        """Guards a recovering platform against a storm of reads."""
        write = self.begin("r1", 10)
        self.drop_reply(write, 15)
        self.assertEqual(self.old.handle(RowReadFailed(write.key), 20), [])
        self.assertEqual((self.old.tick(119), self.old.wake_ms), ([], 120))
        self.assertEqual(without_logs(self.old.tick(120)), [ReadRow(write.key)])

    def test_a_write_without_any_answer_makes_the_journal_unavailable(self) -> None:
        """Guards early refusal: the shell may report a lost answer much later."""
        self.begin("r1", 10)
        self.old.tick(self.old.wake_ms or 0)
        self.assertFalse(self.old.available)

    def test_a_repeated_reply_does_not_confirm_a_later_row_of_the_slot(self) -> None:
        """Guards durability: the entry would be reported before it is written."""
        write = self.begin("r1", 10)
        reply = self.table.perform(write)
        self.old.handle(reply, 11)
        for now_ms in range(100, 900, 100):
            later = self.begin(f"s{now_ms}", now_ms)
            if later.key == write.key:
                break
            self.table.run(self.old, [later], now_ms)
            if self.old.needs_snapshot:
                self.table.run(self.old, self.old.snapshot(now_ms), now_ms + 10)
        self.assertEqual(later.key, write.key)
        self.old.confirmed()
        self.old.handle(reply, 901)
        self.assertEqual(self.old.confirmed(), [])


class JournalEpochTests(JournalTestCase):
    def test_an_old_leader_that_was_faster_is_replayed_and_followed(self) -> None:
        """Guards the intents that the old leader wrote while the new one opened."""
        rows = self.table.perform(self.new.open(2, 500)[0])
        self.old.append(Accepted(REQUEST, 10), 10)
        self.old.append(INTENT, 10)
        self.table.flush(self.old, 10)
        self.table.run(self.new, self.new.handle(rows, 500), 500)
        self.table.flush(self.new, 510)
        self.assertTrue(self.new.ready)
        self.assertEqual(self.new.recovered.get(REQUEST.key).intents, (INTENT,))

    def test_a_leader_that_sees_a_higher_epoch_reports_what_never_was_written(
        self,
    ) -> None:
        """Guards `not_run`: it needs certainty that the entry is in no row."""
        write = self.begin("r1", 10)
        self.old.append(INTENT, 10)
        self.table.open(self.new, 2, 500)
        self.table.run(self.old, [write], 20)
        self.assertTrue(self.old.fenced)
        self.assertEqual(self.old.unconfirmed, ((1, 2), ()))

    def test_a_late_reply_of_an_earlier_epoch_confirms_nothing(self) -> None:
        """Guards a process that leads again before its last write was answered."""
        late_write = self.begin("r1", 10)
        rows = self.table.perform(ReadRows("journal/zadar/"))
        self.old.open(3, 20)
        (write,) = self.old.handle(rows, 30)
        self.assertEqual((type(write), write.key), (CreateRow, late_write.key))
        late_reply = self.table.perform(late_write)
        self.table.run(self.old, self.old.handle(late_reply, 31), 31)
        self.assertFalse(self.old.ready)
        self.table.run(self.old, self.old.tick(40), 40)
        self.assertEqual(self.table.log[-1]["epoch"], 3)

    def test_rows_older_than_those_known_are_read_again(self) -> None:
        """Guards against a repeated reply that hides rows written since."""
        stale = self.table.perform(ReadRows("journal/zadar/"))
        self.table.run(self.old, [self.begin("r1", 10)], 10)
        self.old.open(3, 20)
        self.assertEqual(without_logs(self.old.handle(stale, 30)), [])
        self.table.run(self.old, self.old.tick(130), 130)
        self.assertTrue(self.old.ready)


class JournalSnapshotTests(JournalTestCase):
    def fill(self) -> None:
        for number in range(3):
            write = self.begin(f"r{number}", 100 * number + 100)
            self.table.run(self.old, [write], 100 * number + 101)

    def test_a_full_ring_refuses_until_a_snapshot_is_named(self) -> None:
        """Guards rows that no snapshot covers."""
        self.fill()
        self.assertEqual((self.old.available, self.old.needs_snapshot), (False, True))
        ticket = self.old.append(INTENT, 500)
        self.assertEqual(self.old.tick(500), [])
        self.table.run(self.old, self.old.snapshot(500), 500)
        self.assertEqual((self.old.confirmed()[-1], self.old.available), (ticket, True))

    def test_a_new_leader_of_a_full_ring_writes_the_snapshot_first(self) -> None:
        """Guards against a zone that no leader could ever open again."""
        self.fill()
        effects = self.new.handle(self.table.perform(self.new.open(2, 500)[0]), 500)
        self.assertEqual([type(effect) for effect in effects], [PutObject])
        reply = RowWriteReplied(effects[0].key, WriteStatus.UNKNOWN)
        self.assertEqual(self.new.handle(reply, 501), [])
        self.table.run(self.new, self.new.tick(1_501), 1_501)
        kinds = [entry["kind"] for entry in self.table.log[-1]["entries"]]
        self.assertEqual((self.new.ready, kinds), (True, ["snapshot", "epoch"]))

    def test_times_move_to_the_new_clock_and_outcomes_expire(self) -> None:
        """Guards deadlines: clocks of two hosts differ by any amount."""
        self.old.append(Accepted(REQUEST, 40_000), 40_000)
        key = make_request("done").key
        self.old.append(Finished(key, OutcomeKind.DONE, None, 45_000), 45_000)
        self.table.flush(self.old, 45_000)
        self.table.run(self.old, self.old.snapshot(45_000), 45_010)
        self.table.open(self.new, 2, 7)
        self.assertEqual(self.new.recovered.get(REQUEST.key).accepted_ms, 7 - 5_000)
        self.assertEqual(self.new.recovered.get(key).finished_ms, 7)
        self.table.run(self.new, self.new.snapshot(60_007), 60_007)
        self.assertIsNone(self.new.recovered.get(key))

    def test_an_entry_of_an_unknown_kind_stops_the_opening(self) -> None:
        """Guards a rolling upgrade: a skipped entry could be an intent."""
        value = {**self.table.log[0], "sequence": 2}
        value["entries"] = [{"kind": "later", "fields": {}}]
        self.table.rows["journal/zadar/2"] = Row("journal/zadar/2", value, 1)
        self.table.open(self.new, 2, 500)
        self.assertEqual((self.new.ready, self.new.unreadable), (False, True))
