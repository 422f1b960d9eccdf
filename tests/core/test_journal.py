"""Tests of the journal; each test sets the order in which replies arrive."""

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
        self.old_journal = Journal(SETTINGS, "zadar", "a")
        self.new_journal = Journal(SETTINGS, "zadar", "b")
        self.table.open(self.old_journal, 1, 0)

    def start_write(self, name: str, now_ms: int) -> Effect:
        """Append an entry to the previous leader's journal; return the write effect."""
        self.old_journal.append(Accepted(make_request(name), now_ms), now_ms)
        return without_logs(self.old_journal.tick(now_ms))[0]

    def drop_reply(self, effect: Effect, now_ms: int) -> list[Effect]:
        return without_logs(
            self.old_journal.handle(self.table.drop_reply(effect), now_ms)
        )


class JournalBatchTests(JournalTestCase):
    def test_one_row_is_in_flight_and_the_next_waits_for_the_interval(self) -> None:
        """Guards against more writes per second than the platform can process."""
        write = self.start_write("r1", 10)
        for number in range(4):
            self.old_journal.append(Accepted(make_request(f"s{number}"), 11), 11)
        self.assertEqual(self.old_journal.tick(25), [])
        written = self.table.perform(write)
        (second,) = self.old_journal.handle(written, 25)
        self.assertEqual(len(second.value["entries"]), 3)
        self.assertEqual(self.old_journal.handle(self.table.perform(second), 26), [])
        self.assertEqual(self.old_journal.wake_ms, 35)
        self.assertEqual(len(self.old_journal.tick(35)), 1)
        self.assertEqual(self.old_journal.confirmed(), [1, 2, 3, 4])


class JournalLostReplyTests(JournalTestCase):
    def test_a_row_that_was_not_written_is_retried_unchanged(self) -> None:
        """Guards against a second row that contains the same entries."""
        write = self.start_write("r1", 10)
        self.assertEqual(self.drop_reply(write, 15), [ReadRow(write.key)])
        self.assertFalse(self.old_journal.available)
        read = self.table.perform(ReadRow(write.key))
        self.assertEqual(self.old_journal.handle(read, 20), [write])
        self.table.perform(write)
        self.drop_reply(write, 30)
        read = self.table.perform(ReadRow(write.key))
        self.assertEqual(self.old_journal.handle(read, 31), [])
        self.assertEqual(
            (self.old_journal.confirmed(), self.old_journal.available), ([1], True)
        )

    def test_an_unavailable_table_is_read_at_a_bounded_rate(self) -> None:
        """Guards against overloading a recovering platform with reads."""
        write = self.start_write("r1", 10)
        self.drop_reply(write, 15)
        self.assertEqual(self.old_journal.handle(RowReadFailed(write.key), 20), [])
        self.assertEqual(
            (self.old_journal.tick(119), self.old_journal.wake_ms), ([], 120)
        )
        self.assertEqual(without_logs(self.old_journal.tick(120)), [ReadRow(write.key)])

    def test_a_write_without_a_reply_makes_the_journal_unavailable(self) -> None:
        """Guards against accepting requests that cannot be recorded.

        The runtime can report a lost reply much later than the journal detects it.
        """
        self.start_write("r1", 10)
        self.old_journal.tick(self.old_journal.wake_ms or 0)
        self.assertFalse(self.old_journal.available)

    def test_a_repeated_reply_does_not_confirm_a_later_row_of_the_slot(self) -> None:
        """Guards against confirming an entry before its row is written."""
        write = self.start_write("r1", 10)
        reply = self.table.perform(write)
        self.old_journal.handle(reply, 11)
        for now_ms in range(100, 900, 100):
            later = self.start_write(f"s{now_ms}", now_ms)
            if later.key == write.key:
                break
            self.table.run(self.old_journal, [later], now_ms)
            if self.old_journal.needs_snapshot:
                self.table.run(
                    self.old_journal, self.old_journal.snapshot(now_ms), now_ms + 10
                )
        self.assertEqual(later.key, write.key)
        self.old_journal.confirmed()
        self.old_journal.handle(reply, 901)
        self.assertEqual(self.old_journal.confirmed(), [])


class JournalEpochTests(JournalTestCase):
    def test_rows_that_the_old_leader_writes_during_loading_are_applied(self) -> None:
        """Guards against losing intents written after the new leader's read."""
        rows = self.table.perform(self.new_journal.open(2, 500)[0])
        self.old_journal.append(Accepted(REQUEST, 10), 10)
        self.old_journal.append(INTENT, 10)
        self.table.flush(self.old_journal, 10)
        self.table.run(self.new_journal, self.new_journal.handle(rows, 500), 500)
        self.table.flush(self.new_journal, 510)
        self.assertTrue(self.new_journal.ready)
        self.assertEqual(self.new_journal.recovered.get(REQUEST.key).intents, (INTENT,))

    def test_a_fenced_leader_reports_entries_that_were_not_written(
        self,
    ) -> None:
        """Guards against a wrong outcome `not_run`.

        The outcome is correct only if the request's entry is in no row.
        """
        write = self.start_write("r1", 10)
        self.old_journal.append(INTENT, 10)
        self.table.open(self.new_journal, 2, 500)
        self.table.run(self.old_journal, [write], 20)
        self.assertTrue(self.old_journal.fenced)
        self.assertEqual(self.old_journal.unconfirmed, ((1, 2), ()))

    def test_a_late_reply_of_an_earlier_epoch_confirms_nothing(self) -> None:
        """Guards against confirming a row of the new epoch by the wrong reply.

        A process can become leader again before the reply to its last write arrives.
        """
        late_write = self.start_write("r1", 10)
        rows = self.table.perform(ReadRows("journal/zadar/"))
        self.old_journal.open(3, 20)
        (write,) = self.old_journal.handle(rows, 30)
        self.assertEqual((type(write), write.key), (CreateRow, late_write.key))
        late_reply = self.table.perform(late_write)
        self.table.run(self.old_journal, self.old_journal.handle(late_reply, 31), 31)
        self.assertFalse(self.old_journal.ready)
        self.table.run(self.old_journal, self.old_journal.tick(40), 40)
        self.assertEqual(self.table.log[-1]["epoch"], 3)

    def test_a_read_older_than_recorded_versions_is_repeated(self) -> None:
        """Guards against losing rows that a late reply to an earlier read lacks."""
        stale = self.table.perform(ReadRows("journal/zadar/"))
        self.table.run(self.old_journal, [self.start_write("r1", 10)], 10)
        self.old_journal.open(3, 20)
        self.assertEqual(without_logs(self.old_journal.handle(stale, 30)), [])
        self.table.run(self.old_journal, self.old_journal.tick(130), 130)
        self.assertTrue(self.old_journal.ready)


class JournalSnapshotTests(JournalTestCase):
    def fill_ring_buffer(self) -> None:
        for number in range(3):
            write = self.start_write(f"r{number}", 100 * number + 100)
            self.table.run(self.old_journal, [write], 100 * number + 101)

    def test_a_full_ring_buffer_accepts_no_row_until_a_snapshot_is_referenced(
        self,
    ) -> None:
        """Guards against overwriting rows that no snapshot covers."""
        self.fill_ring_buffer()
        self.assertEqual(
            (self.old_journal.available, self.old_journal.needs_snapshot), (False, True)
        )
        ticket = self.old_journal.append(INTENT, 500)
        self.assertEqual(self.old_journal.tick(500), [])
        self.table.run(self.old_journal, self.old_journal.snapshot(500), 500)
        self.assertEqual(
            (self.old_journal.confirmed()[-1], self.old_journal.available),
            (ticket, True),
        )

    def test_a_new_leader_with_a_full_ring_buffer_writes_a_snapshot_first(self) -> None:
        """Guards against a full journal that no new leader can open for writing."""
        self.fill_ring_buffer()
        effects = self.new_journal.handle(
            self.table.perform(self.new_journal.open(2, 500)[0]), 500
        )
        self.assertEqual([type(effect) for effect in effects], [PutObject])
        reply = RowWriteReplied(effects[0].key, WriteStatus.UNKNOWN)
        self.assertEqual(self.new_journal.handle(reply, 501), [])
        self.table.run(self.new_journal, self.new_journal.tick(1_501), 1_501)
        kinds = [entry["kind"] for entry in self.table.log[-1]["entries"]]
        self.assertEqual((self.new_journal.ready, kinds), (True, ["snapshot", "epoch"]))

    def test_times_are_converted_to_the_new_clock_and_outcomes_expire(self) -> None:
        """Guards against wrong deadlines and retention times after a change of leader.

        The clocks of two hosts can differ by any amount.
        """
        self.old_journal.append(Accepted(REQUEST, 40_000), 40_000)
        key = make_request("done").key
        self.old_journal.append(Finished(key, OutcomeKind.DONE, None, 45_000), 45_000)
        self.table.flush(self.old_journal, 45_000)
        self.table.run(self.old_journal, self.old_journal.snapshot(45_000), 45_010)
        self.table.open(self.new_journal, 2, 7)
        self.assertEqual(
            self.new_journal.recovered.get(REQUEST.key).accepted_ms, 7 - 5_000
        )
        self.assertEqual(self.new_journal.recovered.get(key).finished_ms, 7)
        self.table.run(self.new_journal, self.new_journal.snapshot(60_007), 60_007)
        self.assertIsNone(self.new_journal.recovered.get(key))

    def test_an_entry_of_an_unknown_kind_makes_the_journal_unreadable(self) -> None:
        """Guards against losing an intent during a rolling upgrade.

        An entry of a newer version that were skipped could be an intent.
        """
        value = {**self.table.log[0], "sequence": 2}
        value["entries"] = [{"kind": "later", "fields": {}}]
        self.table.rows["journal/zadar/2"] = Row("journal/zadar/2", value, 1)
        self.table.open(self.new_journal, 2, 500)
        self.assertEqual(
            (self.new_journal.ready, self.new_journal.unreadable), (False, True)
        )
