"""Guards the election of a leader, and its helpers."""

import unittest

import curio

from marigoldpath_node.cell import (
    EntryHost,
    Surroundings,
    WorkerFailedError,
)
from marigoldpath_node.cell._codec import (
    LeaderRow,
    decode_leader,
    encode_leader,
)
from marigoldpath_node.cell._election import Election
from marigoldpath_node.cell._followers import Helpers
from marigoldpath_node.cell._peers import (
    HelpOffer,
    LeaderView,
    PeerError,
    PeerUnreachableError,
)
from marigoldpath_node.cell._records import (
    LEADER_ROW,
)
from marigoldpath_node.exposition import CellMetrics
from tests.core.fleet_fixture import entry
from tests.node.cell_fakes import FAST, FakeDirectory, FakePeers, KeptLog, MemoryStore


class FakeStoreWatch:
    is_store_suspect = False

    def note_store(self, *, is_working, reason=""):
        pass


class ElectionTests(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.log = KeptLog()
        self.fast = FAST._replace(successor_s=5.0)

    async def lead(self, **fields):
        row = LeaderRow(3, "10.0.0.2:1", "other")._replace(**fields)
        await self.store.commit({}, {LEADER_ROW: encode_leader(row)})
        return row

    async def win(self, peers):
        surroundings = Surroundings(
            self.store, None, None, None, self.log, CellMetrics()
        )
        self.watch = FakeStoreWatch()
        election = Election(self.fast, surroundings, peers, self.watch)
        return await curio.ignore_after(0.6, election.win)

    def view(self, **fields):
        return LeaderView(3, "other", 0.0, {})._replace(**fields)

    def run_with(self, peers, **fields):
        async def run():
            await self.lead(**fields)
            return await self.win(peers)

        return curio.run(run)

    def test_the_first_host_leads_with_the_first_epoch(self):
        term = curio.run(self.win, FakePeers())
        self.assertEqual(term.row.epoch, 1)

    def test_a_leader_that_answers_is_followed(self):
        self.assertIsNone(self.run_with(FakePeers(view=self.view())))

    def test_a_lost_leader_is_replaced_with_the_next_epoch(self):
        for fault in (PeerUnreachableError("refused"), PeerError("silent")):
            with self.subTest(fault=fault):
                term = self.run_with(FakePeers(view=fault))
                self.assertEqual(term.row.epoch, 4)

    def test_a_leader_whose_row_changes_is_not_replaced(self):
        """It is cut off from this host only, and leads for the others."""

        async def beat(row):
            for number in range(60):
                await curio.sleep(0.01)
                changed = encode_leader(row._replace(beat=number))
                await self.store.commit({}, {LEADER_ROW: changed})

        async def run():
            row = await self.lead()
            await curio.spawn(beat, row, daemon=True)
            return await self.win(FakePeers(view=PeerUnreachableError("cut")))

        self.assertIsNone(curio.run(run))

    def test_a_leader_without_the_store_is_replaced(self):
        term = self.run_with(FakePeers(view=self.view(store_age_s=9.0)))
        self.assertEqual(term.row.epoch, 4)

    def test_a_released_row_is_taken_at_once(self):
        term = self.run_with(FakePeers(view=self.view()), released=True)
        self.assertEqual(term.row.epoch, 4)

    def test_a_released_row_goes_to_the_named_successor_first(self):
        for successor, wins in ((FAST.address, True), ("10.0.0.9:1", False)):
            with self.subTest(successor=successor):
                self.setUp()
                term = self.run_with(FakePeers(), released=True, successor=successor)
                self.assertEqual(term is not None, wins)

    def test_another_host_takes_over_from_a_successor_that_does_not(self):
        self.fast = FAST._replace(successor_s=0.05)
        term = self.run_with(FakePeers(), released=True, successor="10.0.0.9:1")
        self.assertEqual(term.row.epoch, 4)

    def test_a_much_smaller_host_leaves_time_to_larger_ones(self):
        refused = FakePeers(view=PeerUnreachableError("refused"))
        self.fast = FAST._replace(smaller_s=5.0)
        self.assertIsNotNone(self.run_with(refused, cores=1.4))
        self.setUp()
        self.fast = FAST._replace(smaller_s=5.0)
        self.assertIsNone(self.run_with(refused, cores=1.5))

    def test_an_own_earlier_life_is_replaced_at_once(self):
        term = self.run_with(FakePeers(), address=FAST.address)
        self.assertEqual(term.row.epoch, 4)


class TermTests(unittest.TestCase):
    """A fault must end a term at most, never the process's part in elections."""

    def play(self, store, directory):
        async def run():
            log = KeptLog()
            surroundings = Surroundings(
                store, None, directory, None, log, CellMetrics()
            )
            host = EntryHost(FAST, surroundings, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.4)
            return host.is_leading, log

        return curio.run(run)

    def test_a_leader_reads_again_what_it_could_not_read(self):
        store = MemoryStore()
        store.failing_reads = [("jobs", "0"), ("jobs", "3"), ("progress", "leader")]
        is_leading, log = self.play(store, FakeDirectory())
        self.assertTrue(is_leading)
        self.assertIn("leader_load_failed", log.events())
        self.assertIn("leader_loaded", log.events())

    def test_a_leader_out_of_reach_of_the_workers_leaves_to_another_host(self):
        """Its row is stored all the while, so that nobody would replace it."""

        class Unreachable:
            async def look(self, worker_id, epoch, order):
                raise WorkerFailedError("no connection")

        store = MemoryStore()

        async def run():
            directory = FakeDirectory(entries=(entry("a"), entry("b")))
            surroundings = Surroundings(
                store, Unreachable(), directory, None, KeptLog(), CellMetrics()
            )
            settings = FAST._replace(lonely_s=0.2, left_s=5.0)
            host = EntryHost(settings, surroundings, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.1)
            led = host.is_leading
            await curio.sleep(0.6)
            return led, host.is_leading

        self.assertEqual(curio.run(run), (True, False))
        self.assertTrue(decode_leader(store.rows[LEADER_ROW].value).released)

    def test_a_load_that_fails_gets_more_time(self):
        """The rows of a large cell may not pass a slow link within the first limit."""
        store = MemoryStore()
        store.failing_reads = 2 * [("jobs", "0")]
        self.play(store, FakeDirectory())
        limits = {each for each in store.reply_limits if each is not None}
        self.assertEqual(limits, {1.0, 2.0, 4.0})

    def test_a_leader_that_cannot_load_is_replaced_and_notices(self):
        store = MemoryStore()
        store.failing_reads = 1_000 * [("jobs", "0")]

        async def run():
            log = KeptLog()
            surroundings = Surroundings(
                store, None, FakeDirectory(), None, log, CellMetrics()
            )
            settings = FAST._replace(load_s=0.1)
            host = EntryHost(settings, surroundings, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.3)
            told = host._own_view()
            other = LeaderRow(7, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW: encode_leader(other)})
            await curio.sleep(0.1)
            return told, log

        told, log = curio.run(run)
        self.assertGreater(told.store_age_s, 0.1)
        self.assertFalse(told.can_order)
        self.assertIn("leadership_lost", log.events())

    def test_a_host_takes_part_again_after_an_unforeseen_fault(self):
        _, log = self.play(MemoryStore(), FakeDirectory(ValueError("fault")))
        self.assertIn("term_failed", log.events())
        self.assertGreater(log.events().count("leadership_won"), 1)


class HelperTests(unittest.TestCase):
    def test_the_host_that_started_last_is_named_as_successor(self):
        surroundings = Surroundings(None, None, None, None, KeptLog(), None)
        helpers = Helpers(FAST, surroundings, FakePeers())
        self.assertEqual(helpers.successor(), "")
        helpers.note_helper(HelpOffer("10.0.0.2:1", 50.0, 1.0))
        helpers.note_helper(HelpOffer("10.0.0.3:1", 2.0, 1.0))
        helpers.note_helper(HelpOffer("10.0.0.4:1", 90.0, 1.0))
        self.assertEqual(helpers.successor(), "10.0.0.3:1")
        self.assertEqual(helpers.larger(), "")

    def test_a_leader_hands_over_to_a_much_larger_host(self):
        """A small host cannot look at all workers of a large cell in time."""
        surroundings = Surroundings(None, None, None, None, KeptLog(), None)
        helpers = Helpers(FAST, surroundings, FakePeers())
        helpers.note_helper(HelpOffer("10.0.0.2:1", 2.0, 1.4))
        self.assertEqual(helpers.larger(), "")
        helpers.note_helper(HelpOffer("10.0.0.3:1", 50.0, 1.5))
        self.assertEqual(helpers.larger(), "10.0.0.3:1")
        self.assertEqual(helpers.successor(), "10.0.0.3:1")

    def test_no_leader_hands_over_to_a_host_without_the_store(self):
        """The next leader would hand over to it again, and so on."""
        surroundings = Surroundings(None, None, None, None, KeptLog(), None)
        helpers = Helpers(FAST, surroundings, FakePeers())
        helpers.note_helper(HelpOffer("10.0.0.2:1", 2.0, 4.0, has_store=False))
        self.assertEqual((helpers.larger(), helpers.successor()), ("", ""))
        helpers.note_helper(HelpOffer("10.0.0.3:1", 2.0, 0.5))
        self.assertEqual(helpers.successor(), "10.0.0.3:1")

    def test_slow_questions_go_to_other_hosts_and_quick_ones_stay(self):
        surroundings = Surroundings(None, None, None, None, KeptLog(), None)
        helpers = Helpers(FAST, surroundings, FakePeers())
        helpers.note_helper(HelpOffer("10.0.0.2:1", 50.0, 1.0))
        self.assertEqual(helpers._choose(400.0), "10.0.0.2:1")
        self.assertEqual(helpers._choose(20.0), "")


if __name__ == "__main__":
    unittest.main()
