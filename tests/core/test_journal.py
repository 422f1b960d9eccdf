"""Tests of the journal in exact orders of messages."""

import unittest

from marigoldpath_core.journal import Accepted, Intent, Journal
from marigoldpath_core.requests import task_id
from marigoldpath_core.settings import JournalSettings
from tests.core.test_journal_table import MemoryTable, make_request

SETTINGS = JournalSettings(interval_ms=10, max_entries=3, slots=4, snapshot_after=3)


class JournalReplayTests(unittest.TestCase):
    def test_a_confirmed_entry_is_replayed_by_the_next_leader(self) -> None:
        """Guards the loss of accepted requests at a change of leader."""
        table = MemoryTable()
        old = Journal(SETTINGS, "zadar", "a")
        table.open(old, 1, 0)
        request = make_request("r")
        intent = Intent((task_id(request.key, 1),), "w1")
        tickets = [old.append(Accepted(request, 0), 0), old.append(intent, 0)]
        table.flush(old, 10)
        self.assertEqual(old.confirmed(), tickets)
        new = Journal(SETTINGS, "zadar", "b")
        table.open(new, 2, 500)
        self.assertTrue(new.ready)
        found = new.recovered.get(request.key)
        self.assertEqual((found.request, found.intents), (request, (intent,)))
