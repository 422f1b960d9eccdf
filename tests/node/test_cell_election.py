"""Tests of the leader election, of terms of leadership and of followers."""

import unittest

import curio

from marigoldpath_core.fleet import EndedLeaders
from marigoldpath_node.cell import (
    CellDependencies,
    EntryHost,
    StoreHealth,
    WorkerFailedError,
)
from marigoldpath_node.cell._codec import (
    LeaderRow,
    decode_leader,
    encode_leader,
)
from marigoldpath_node.cell._election import Election
from marigoldpath_node.cell._followers import Followers
from marigoldpath_node.cell._peers import (
    FollowerStatus,
    LeaderStatus,
    PeerError,
    PeerRefusedError,
    PeerUnreachableError,
    decode_status,
)
from marigoldpath_node.cell._reachability import Reachability
from marigoldpath_node.cell._records import (
    LEADER_ROW_KEY,
)
from marigoldpath_node.exposition import CellMetrics
from tests.core.fleet_fixture import entry
from tests.node.cell_fakes import (
    FAST_SETTINGS,
    SETTINGS,
    FakeDirectory,
    FakePeers,
    MemoryStore,
    RecordingLogger,
    store_other_leader,
)


def create_election(settings, dependencies, peers):
    return Election(settings, dependencies, peers, StoreHealth(settings, dependencies))


class ElectionTests(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.log = RecordingLogger()
        self.settings = FAST_SETTINGS._replace(successor_timeout_s=5.0)

    async def write_leader_row(self, **fields):
        row = LeaderRow(3, "10.0.0.2:1", "other")._replace(**fields)
        await self.store.commit({}, {LEADER_ROW_KEY: encode_leader(row)})
        return row

    async def run_until_elected(self, peers):
        dependencies = CellDependencies(
            self.store, None, None, None, self.log, CellMetrics()
        )
        election = create_election(self.settings, dependencies, peers)
        return await curio.ignore_after(0.6, election.run_until_elected)

    def leader_status(self, **fields):
        return LeaderStatus(3, "other", 0.0, {})._replace(**fields)

    def run_with_leader_row(self, peers, **fields):
        async def run():
            await self.write_leader_row(**fields)
            return await self.run_until_elected(peers)

        return curio.run(run)

    def test_the_first_host_leads_with_the_first_epoch(self):
        term = curio.run(self.run_until_elected, FakePeers())
        self.assertEqual(term.row.epoch, 1)

    def test_a_leader_that_replies_is_followed(self):
        self.assertIsNone(
            self.run_with_leader_row(FakePeers(exchange_status=self.leader_status()))
        )

    def test_a_lost_leader_is_replaced_with_the_next_epoch(self):
        for error in (PeerUnreachableError("refused"), PeerError("no reply")):
            with self.subTest(error=error):
                term = self.run_with_leader_row(FakePeers(exchange_status=error))
                self.assertEqual(term.row.epoch, 4)

    def test_what_a_new_leader_knows_of_the_earlier_ones(self):
        """Guards against a leader that waits without end, or too briefly, for others.

        Only a process that has ended certainly sends no more commands. One that does
        not reply may be cut off, and lead a majority of the workers.
        """
        known = (EndedLeaders(2, 100.0), EndedLeaders(3, 50.0))
        proved = (*known, EndedLeaders(4, 0.0))
        restarted = self.leader_status(token="later")
        loading = self.leader_status(epoch=0)
        for reply, fields, expected in (
            (PeerRefusedError("refused"), {}, proved),
            (restarted, {}, proved),
            (PeerError("not asked"), {"released": True}, proved),
            (PeerUnreachableError("no route"), {}, known),
            (PeerError("no reply"), {}, known),
            (loading, {}, known),
            (self.leader_status(store_age_s=9.0), {}, known),
            (PeerRefusedError("refused"), {"ended": known[:1]}, known[:1]),
        ):
            with self.subTest(reply=reply, fields=fields):
                self.setUp()
                peers = FakePeers(exchange_status=reply)
                term = self.run_with_leader_row(peers, **{"ended": known, **fields})
                self.assertEqual(term.row.ended, expected)

    def test_the_first_leader_knows_that_there_were_none(self):
        term = curio.run(self.run_until_elected, FakePeers())
        self.assertEqual(term.row.ended[-1], EndedLeaders(1, 0.0))

    def test_a_leader_whose_row_changes_is_not_replaced(self):
        """The leader may be partitioned only from this host and still be active."""

        async def commit_repeatedly(row):
            for number in range(60):
                await curio.sleep(0.01)
                changed = encode_leader(row._replace(beat=number))
                await self.store.commit({}, {LEADER_ROW_KEY: changed})

        async def run():
            row = await self.write_leader_row()
            await curio.spawn(commit_repeatedly, row, daemon=True)
            return await self.run_until_elected(
                FakePeers(exchange_status=PeerUnreachableError("unreachable"))
            )

        self.assertIsNone(curio.run(run))

    def test_a_leader_without_the_store_is_replaced(self):
        term = self.run_with_leader_row(
            FakePeers(exchange_status=self.leader_status(store_age_s=9.0))
        )
        self.assertEqual(term.row.epoch, 4)

    def test_a_stopping_host_reports_that_it_cannot_lead(self):
        # A leader that stopped named a host as its successor that was stopping too, so
        # no host acquired the row at once.
        peers = FakePeers(exchange_status=LeaderStatus(3, "other", 0.0, {}))

        async def run():
            dependencies = CellDependencies(
                self.store, None, None, None, self.log, CellMetrics()
            )
            election = create_election(self.settings, dependencies, peers)
            before = await election._exchange_status("10.0.0.2:1")
            election.stop()
            return before, await election._exchange_status("10.0.0.2:1")

        curio.run(run)
        reported = [arguments[1].has_store for _, arguments in peers.calls]
        self.assertEqual(reported, [True, False])

    def test_a_released_row_without_a_successor_is_acquired_at_once(self):
        term = self.run_with_leader_row(
            FakePeers(exchange_status=self.leader_status()), released=True
        )
        self.assertEqual(term.row.epoch, 4)

    def test_only_the_named_successor_acquires_a_released_row_at_once(self):
        for successor, wins in ((FAST_SETTINGS.address, True), ("10.0.0.9:1", False)):
            with self.subTest(successor=successor):
                self.setUp()
                term = self.run_with_leader_row(
                    FakePeers(), released=True, successor=successor
                )
                self.assertEqual(term is not None, wins)

    def test_another_host_acquires_a_released_row_after_the_successor_timeout(self):
        self.settings = FAST_SETTINGS._replace(successor_timeout_s=0.05)
        term = self.run_with_leader_row(
            FakePeers(), released=True, successor="10.0.0.9:1"
        )
        self.assertEqual(term.row.epoch, 4)

    def test_a_much_smaller_host_waits_so_that_a_larger_one_can_win(self):
        refused = FakePeers(exchange_status=PeerUnreachableError("refused"))
        self.settings = FAST_SETTINGS._replace(smaller_host_delay_s=5.0)
        self.assertIsNotNone(self.run_with_leader_row(refused, cores=1.4))
        self.setUp()
        self.settings = FAST_SETTINGS._replace(smaller_host_delay_s=5.0)
        self.assertIsNone(self.run_with_leader_row(refused, cores=1.5))

    def test_a_much_smaller_host_waits_also_if_the_process_was_restarted(self):
        """Guards against two failovers in a row.

        A larger host that found the process down waits for a while itself, and takes
        the leadership from a smaller one as soon as it can.
        """
        self.settings = FAST_SETTINGS._replace(
            cores=0.5, smaller_host_delay_s=0.1, refused_leader_timeout_s=5.0
        )
        restarted = LeaderStatus(0, "a later incarnation", 0.0, {})
        self.assertIsNone(
            self.run_with_leader_row(FakePeers(exchange_status=restarted), cores=2.0)
        )
        self.assertIsNotNone(
            self.run_with_leader_row(FakePeers(exchange_status=restarted), cores=0.5)
        )

    def test_the_row_of_an_earlier_incarnation_is_acquired_at_once(self):
        term = self.run_with_leader_row(FakePeers(), address=FAST_SETTINGS.address)
        self.assertEqual(term.row.epoch, 4)


class RecheckTests(unittest.TestCase):
    """Guards against a lost leader that a host follows for a whole status interval."""

    def lost_after_s(self, recheck):
        status = LeaderStatus(3, "other", 0.0, {}, status_interval_s=5.0)
        peers = FakePeers(exchange_status=status)

        async def run():
            store = MemoryStore()
            await store_other_leader(store)
            dependencies = CellDependencies(
                store, None, None, None, RecordingLogger(), CellMetrics()
            )
            election = create_election(FAST_SETTINGS, dependencies, peers)
            await curio.spawn(election.run_until_elected, daemon=True)
            await curio.sleep(0.05)
            assert election.leader is not None
            peers.results.clear()
            if recheck:
                await election.recheck()
            await curio.sleep(0.1)
            return election.leader

        return curio.run(run)

    def test_a_failed_call_makes_the_host_check_its_leader_at_once(self):
        self.assertIsNone(self.lost_after_s(recheck=True))

    def test_without_one_the_host_keeps_to_the_interval_of_the_leader(self):
        self.assertIsNotNone(self.lost_after_s(recheck=False))


class StatusTests(unittest.TestCase):
    """Guards against hosts of two versions that take each other for lost."""

    def test_fields_of_a_later_version_are_ignored(self):
        data = {**LeaderStatus(3, "t", 0.5, {})._asdict(), "later": 1}
        self.assertEqual(decode_status(LeaderStatus, data).epoch, 3)

    def test_a_missing_field_has_its_default_and_a_required_one_is_an_error(self):
        data = {"address": "10.0.0.2:1", "started_s": 1.0}
        self.assertTrue(decode_status(FollowerStatus, data).has_store)
        for bad in ({"started_s": 1.0}, [], None, "text"):
            with self.subTest(bad=bad), self.assertRaises(TypeError):
                decode_status(FollowerStatus, bad)


class TermTests(unittest.TestCase):
    """After an error that ends its term, a process still takes part in elections."""

    def run_host(self, store, directory):
        async def run():
            log = RecordingLogger()
            dependencies = CellDependencies(
                store, None, directory, None, log, CellMetrics()
            )
            host = EntryHost(FAST_SETTINGS, dependencies, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.4)
            return host.is_leading, log

        return curio.run(run)

    def test_a_leader_retries_failed_reads_of_the_stored_state(self):
        store = MemoryStore()
        store.failing_reads = [("jobs", "0"), ("jobs", "3"), ("progress", "leader")]
        is_leading, log = self.run_host(store, FakeDirectory())
        self.assertTrue(is_leading)
        self.assertIn("leader_load_failed", log.events())
        self.assertIn("leader_loaded", log.events())

    def test_a_leader_that_cannot_reach_the_workers_releases_the_leadership(self):
        """Guards against a cell without a working leader.

        This leader still renews its row, so no other host would be elected.
        """

        class Unreachable:
            async def poll(self, worker_id, epoch, poll):
                raise WorkerFailedError("no connection")

        store = MemoryStore()

        async def run():
            directory = FakeDirectory(entries=(entry("a"), entry("b")))
            dependencies = CellDependencies(
                store, Unreachable(), directory, None, RecordingLogger(), CellMetrics()
            )
            settings = FAST_SETTINGS._replace(
                workers_unreachable_timeout_s=0.2, released_leader_delay_s=5.0
            )
            host = EntryHost(settings, dependencies, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.1)
            was_leading = host.is_leading
            await curio.sleep(0.6)
            return was_leading, host.is_leading

        self.assertEqual(curio.run(run), (True, False))
        self.assertTrue(decode_leader(store.rows[LEADER_ROW_KEY].value).released)

    def test_the_time_without_a_majority_doubles_with_each_term(self):
        """Guards against a leadership that changes for good if no host reaches one."""
        timeouts = [
            Reachability(SETTINGS, terms).timeout_s for terms in (0, 1, 2, 4, 100)
        ]
        base_s = SETTINGS.workers_unreachable_timeout_s
        self.assertEqual(timeouts, [base_s * each for each in (1, 2, 4, 16, 16)])

    def test_a_released_row_passes_on_the_terms_without_a_majority(self):
        for fields, expected in (
            ({"released": True, "unreachable_terms": 2}, 2),
            ({"unreachable_terms": 2}, 0),
        ):
            with self.subTest(fields=fields):
                store = MemoryStore()
                row = LeaderRow(3, "10.0.0.1:1", "gone", **fields)

                async def run(store=store, row=row):
                    await store.commit({}, {LEADER_ROW_KEY: encode_leader(row)})
                    dependencies = CellDependencies(
                        store, None, None, None, RecordingLogger(), CellMetrics()
                    )
                    peers = FakePeers(exchange_status=PeerRefusedError("refused"))
                    election = create_election(FAST_SETTINGS, dependencies, peers)
                    return await election.run_until_elected()

                self.assertEqual(curio.run(run).row.unreachable_terms, expected)

    def test_the_timeout_of_a_load_doubles_after_each_failure(self):
        """On a slow link, the read of a page can take longer than the first timeout."""
        store = MemoryStore()
        store.failing_reads = 2 * [("jobs", "0")]
        self.run_host(store, FakeDirectory())
        timeouts = {each for each in store.read_timeouts if each is not None}
        self.assertEqual(timeouts, {1.0, 2.0, 4.0})

    def test_a_leader_that_cannot_load_the_state_detects_a_newer_leader(self):
        store = MemoryStore()
        store.failing_reads = 1_000 * [("jobs", "0")]

        async def run():
            log = RecordingLogger()
            dependencies = CellDependencies(
                store, None, FakeDirectory(), None, log, CellMetrics()
            )
            settings = FAST_SETTINGS._replace(load_timeout_s=0.1)
            host = EntryHost(settings, dependencies, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.3)
            status = host._own_status()
            other = LeaderRow(7, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW_KEY: encode_leader(other)})
            await curio.sleep(0.1)
            return status, log

        status, log = curio.run(run)
        self.assertGreater(status.store_age_s, 0.1)
        self.assertFalse(status.can_order)
        self.assertIn("leadership_lost", log.events())

    def test_a_host_takes_part_in_elections_after_an_unexpected_error(self):
        _, log = self.run_host(MemoryStore(), FakeDirectory(ValueError("fault")))
        self.assertIn("term_failed", log.events())
        self.assertGreater(log.events().count("leadership_won"), 1)


class FollowerTests(unittest.TestCase):
    def test_the_host_that_started_last_is_chosen_as_successor(self):
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        followers = Followers(FAST_SETTINGS, dependencies, FakePeers())
        self.assertEqual(followers.choose_successor(), "")
        followers.record_status(FollowerStatus("10.0.0.2:1", 50.0, 1.0))
        followers.record_status(FollowerStatus("10.0.0.3:1", 2.0, 1.0))
        followers.record_status(FollowerStatus("10.0.0.4:1", 90.0, 1.0))
        self.assertEqual(followers.choose_successor(), "10.0.0.3:1")
        self.assertEqual(followers.find_larger_host(), "")

    def test_a_much_larger_host_is_found(self):
        """A small host cannot poll all workers of a large cell in time.

        A leader on a small host therefore looks for a much larger one.
        """
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        followers = Followers(FAST_SETTINGS, dependencies, FakePeers())
        followers.record_status(FollowerStatus("10.0.0.2:1", 2.0, 1.4))
        self.assertEqual(followers.find_larger_host(), "")
        followers.record_status(FollowerStatus("10.0.0.3:1", 50.0, 1.5))
        self.assertEqual(followers.find_larger_host(), "10.0.0.3:1")
        self.assertEqual(followers.choose_successor(), "10.0.0.3:1")

    def test_a_host_without_the_store_is_not_chosen_as_successor(self):
        """Guards against repeated transfers to a host that cannot lead."""
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        followers = Followers(FAST_SETTINGS, dependencies, FakePeers())
        followers.record_status(FollowerStatus("10.0.0.2:1", 2.0, 4.0, has_store=False))
        self.assertEqual(
            (followers.find_larger_host(), followers.choose_successor()), ("", "")
        )
        followers.record_status(FollowerStatus("10.0.0.3:1", 2.0, 0.5))
        self.assertEqual(followers.choose_successor(), "10.0.0.3:1")

    def test_many_followers_report_less_often(self):
        """Guards against a leader whose time goes into the status of its followers.

        Their reports grow with the number of hosts, whatever the load is.
        """
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        settings = SETTINGS._replace(max_status_rate=100.0)
        followers = Followers(settings, dependencies, FakePeers())
        for number in range(300):
            followers.record_status(FollowerStatus(f"10.0.0.{number}:1", 2.0))
            if number == 20:
                self.assertEqual(followers.status_interval_s, settings.check_interval_s)
        self.assertEqual(followers.status_interval_s, 3.0)
        self.assertEqual(followers.count, 300)

    def test_only_followers_that_reach_the_store_write_for_others(self):
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        followers = Followers(SETTINGS, dependencies, FakePeers())
        self.assertEqual(followers.choose_writers(), ())
        for number in range(8):
            status = FollowerStatus(f"10.0.0.{number}:1", 2.0, 1.0, number % 2 == 0)
            followers.record_status(status)
        chosen = followers.choose_writers()
        self.assertEqual(len(chosen), SETTINGS.max_writers)
        self.assertLessEqual(
            set(chosen), {f"10.0.0.{number}:1" for number in (0, 2, 4, 6)}
        )

    def test_the_successor_is_told_of_the_released_row(self):
        """Guards against a successor that waits for its next status report."""
        log = RecordingLogger()
        dependencies = CellDependencies(None, None, None, None, log, None)
        peers = FakePeers(request_check=None)
        followers = Followers(SETTINGS, dependencies, peers)
        curio.run(followers.notify_successor, "")
        curio.run(followers.notify_successor, "10.0.0.2:1")
        self.assertEqual(peers.calls, [("request_check", ("10.0.0.2:1",))])
        peers.results.clear()
        curio.run(followers.notify_successor, "10.0.0.2:1")
        self.assertEqual(log.events(), ["successor_not_notified"])

    def test_slow_advice_requests_go_to_followers_and_quick_ones_do_not(self):
        dependencies = CellDependencies(None, None, None, None, RecordingLogger(), None)
        followers = Followers(FAST_SETTINGS, dependencies, FakePeers())
        followers.record_status(FollowerStatus("10.0.0.2:1", 50.0, 1.0))
        self.assertEqual(followers._choose_sender(400.0), "10.0.0.2:1")
        self.assertEqual(followers._choose_sender(20.0), "")


if __name__ == "__main__":
    unittest.main()
