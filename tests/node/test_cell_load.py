"""Tests of a leader that loads the stored state."""

import unittest

import curio

from marigoldpath_node.cell import CellDependencies
from marigoldpath_node.cell._clock import now_s
from marigoldpath_node.cell._codec import (
    LeaderRow,
    Term,
    decode_leader,
    encode_leader,
)
from marigoldpath_node.cell._followers import Followers
from marigoldpath_node.cell._leader import Leader
from marigoldpath_node.cell._records import (
    JOB_PARTITIONS,
    JOBS_TABLE,
    LEADER_ROW_KEY,
    MAX_CONCURRENT_READS,
    StateReader,
    plan_load,
)
from marigoldpath_node.exposition import CellMetrics
from tests.node.cell_fakes import (
    FAST_SETTINGS,
    FakeDirectory,
    FakePeers,
    MemoryStore,
    RecordingLogger,
)

ROW = LeaderRow(3, "10.0.0.1:1", "token")


class SlowStore(MemoryStore):
    """Returns each partition as `pages` pages, each after `read_s` seconds."""

    read_s = 0.0
    pages = 1

    def __init__(self):
        super().__init__()
        self.locations = []

    async def read(self, table, partition, *arguments, **options):
        self.locations.append((table, partition))
        await curio.sleep(self.read_s)
        for _ in range(self.pages - 1):
            if "on_page" in options:
                options["on_page"]()
            await curio.sleep(self.read_s)
        return await super().read(table, partition, *arguments, **options)

    def beat(self):
        return decode_leader(self.rows[LEADER_ROW_KEY].value).beat


class LoadTestCase(unittest.TestCase):
    settings = FAST_SETTINGS._replace(
        commit_interval_s=0.02, load_progress_timeout_s=0.15, max_load_s=5.0
    )

    def setUp(self):
        self.store = SlowStore()

    def play(self, scenario, written_s=0.0):
        async def run():
            version = await self.store.commit({}, {LEADER_ROW_KEY: encode_leader(ROW)})
            dependencies = CellDependencies(
                self.store,
                None,
                FakeDirectory(),
                None,
                RecordingLogger(),
                CellMetrics(),
            )
            followers = Followers(self.settings, dependencies, FakePeers())
            term = Term(ROW, version, written_s)
            leader = Leader(self.settings, dependencies, followers, FakePeers(), term)
            task = await curio.spawn(leader.run, daemon=True)
            try:
                return await scenario(leader)
            finally:
                await task.cancel()

        return curio.run(run)


class RenewalTests(LoadTestCase):
    """Guards against leaders that replace each other while they load.

    The load of a host with a slow link delays its replies to its peers. When its row
    stayed unchanged as well, another host of that size replaced it and loaded as
    slowly: nothing was started for 14 s.
    """

    def test_a_leader_renews_its_row_while_it_loads(self):
        self.store.read_s = 0.06

        async def scenario(leader):
            while not leader.is_serving:
                beat = self.store.beat()
                await curio.sleep(0.005)
            return beat

        self.assertGreaterEqual(self.play(scenario), 2)

    def test_a_partition_of_many_pages_does_not_count_as_a_load_without_progress(self):
        self.store.read_s, self.store.pages = 0.02, 24

        async def scenario(leader):
            await curio.sleep(0.3)
            beat = self.store.beat()
            await curio.sleep(0.15)
            return beat, self.store.beat(), leader.is_serving

        before, after, is_serving = self.play(scenario)
        self.assertFalse(is_serving)
        self.assertGreater(after, before)

    def test_a_load_without_progress_does_not_keep_the_row(self):
        self.store.read_s = 60.0

        async def scenario(_leader):
            await curio.sleep(0.3)
            beat = self.store.beat()
            await curio.sleep(0.2)
            return beat, self.store.beat()

        before, after = self.play(scenario)
        self.assertGreater(before, 0)
        self.assertEqual(before, after)

    def test_a_leader_that_was_replaced_during_the_load_ends_its_term(self):
        self.store.read_s = 0.06

        async def scenario(leader):
            other = ROW._replace(epoch=4, token="other")
            await self.store.commit({}, {LEADER_ROW_KEY: encode_leader(other)})
            await curio.timeout_after(2.0, leader._term_ended.wait)

        self.play(scenario)

    def test_a_leader_that_stops_during_the_load_releases_its_row(self):
        self.store.read_s = 0.06

        async def scenario(leader):
            await leader.stop()

        self.play(scenario)
        self.assertTrue(decode_leader(self.store.rows[LEADER_ROW_KEY].value).released)


class AuthorityTests(LoadTestCase):
    """Guards against commands on the authority of a row that was written long ago.

    A host that is suspended during the load can be replaced without noticing it.
    """

    def test_an_old_row_is_no_authority_after_the_load(self):
        async def scenario(leader):
            leader._committer._committed_s = now_s() - 10.0
            while not leader.is_serving:
                await curio.sleep(0)
            return leader.may_send_commands

        self.settings = self.settings._replace(commit_interval_s=60.0)
        self.assertFalse(self.play(scenario))

    def test_a_new_row_is_authority_after_the_load(self):
        async def scenario(leader):
            while not leader.is_serving:
                await curio.sleep(0)
            return leader.may_send_commands

        self.settings = self.settings._replace(commit_interval_s=60.0)
        self.assertTrue(self.play(scenario, written_s=now_s()))


class LoadPlanTests(unittest.TestCase):
    """Guards against a load that fills a slow link for seconds."""

    def test_a_slow_link_gets_small_pages_and_few_reads_at_a_time(self):
        plan = plan_load(5.0)
        transfer_s = plan.page_rows * plan.concurrent_reads * 2_000 * 8 / 5_000_000
        self.assertLess(transfer_s, 0.3)

    def test_a_fast_link_gets_large_pages(self):
        plan = plan_load(1_000.0)
        self.assertEqual(plan.page_rows, 500)
        self.assertEqual(plan.concurrent_reads, MAX_CONCURRENT_READS)


class StateReaderTests(unittest.TestCase):
    def test_a_repeated_read_reads_only_what_is_missing(self):
        # A slow link would otherwise carry the same rows again after each failure.
        store = SlowStore()
        missing = [(JOBS_TABLE, "3"), (JOBS_TABLE, "5")]
        store.failing_reads = list(missing)

        async def run():
            reader = StateReader(store, plan_load(1_000.0))
            try:
                await reader.read()
            except Exception as error:
                failure = error
            store.locations.clear()
            await reader.read()
            return failure

        self.assertIn("no connection", str(curio.run(run)))
        self.assertEqual(store.locations, missing)

    def test_the_version_is_that_of_the_partition_read_first(self):
        # Later changes of the other partitions are then read as changes.
        store = SlowStore()
        store.failing_reads = [(JOBS_TABLE, str(JOB_PARTITIONS - 1))]

        async def run():
            reader = StateReader(store, plan_load(1_000.0))
            try:
                await reader.read()
            except Exception:
                store.version += 7
            return (await reader.read()).version

        self.assertEqual(curio.run(run), 0)


if __name__ == "__main__":
    unittest.main()
