"""Tests of the encoding of stored rows and of the leader's commits."""

import json
import time
import unittest
from collections import Counter
from random import Random
from unittest import mock

import curio

from marigoldpath_core.fleet import (
    Commit,
    EndedLeaders,
    FleetScheduler,
    FleetSettings,
    JobAccepted,
    JobCancelled,
    RosterEntry,
    WorkersListed,
)
from marigoldpath_core.jobs import (
    AcceptedJob,
    JobSpec,
    JobState,
    Progress,
    RecordedStart,
    Resources,
    StepSpec,
)
from marigoldpath_node.cell import (
    CellDependencies,
    EntryHost,
    RowKey,
)
from marigoldpath_node.cell._clock import now_ms, now_s
from marigoldpath_node.cell._codec import (
    LeaderRow,
    Term,
    decode_job,
    decode_leader,
    decode_roster,
    encode_job,
    encode_leader,
    encode_roster,
)
from marigoldpath_node.cell._commits import Committer
from marigoldpath_node.cell._progress_codec import decode_progress, encode_progress
from marigoldpath_node.cell._records import (
    JOB_PARTITIONS,
    LEADER_ROW_KEY,
    ROSTER_ROW_KEYS,
    STATE_LOCATIONS,
    cancellation_row_key,
    commit_rows,
    job_row_key,
    plan_load,
    progress_row_key,
    read_all,
    read_job,
    read_state,
    remove_jobs,
)
from marigoldpath_node.exposition import CellMetrics
from tests.core.fleet_fixture import entry
from tests.node.cell_fakes import (
    FAST_SETTINGS,
    JOB_ID,
    QUEUE,
    SPEC,
    FakeDirectory,
    FakePeers,
    MemoryStore,
    RecordingLogger,
    entry_host,
)


class CodecTests(unittest.TestCase):
    def test_a_decoded_job_equals_the_encoded_job(self):
        steps = (
            StepSpec(3, Resources(500, 64, 1), estimate_ms=900),
            StepSpec(1, Resources(1, 2, 3), after=(0,), gang=True, target_ms=80),
        )
        job = AcceptedJob(JobSpec(JOB_ID, "text", steps, 2, 5, 7), QUEUE, 4, 99, "z")
        self.assertEqual(decode_job(encode_job(job)), job)

    def test_rows_of_earlier_versions_are_decoded(self):
        """Guards against an upgraded host that cannot become leader.

        It must load the rows that an earlier version stored.
        """
        job = AcceptedJob(SPEC, QUEUE, 4, 99)
        data = json.loads(encode_job(job))
        del data["zone"]
        self.assertEqual(decode_job(json.dumps(data).encode()), job)
        roster = {"a": RosterEntry("a:1", None), "b": RosterEntry("b:1", (JOB_ID,))}
        old = b'{"a":["a:1",null],"b":["b:1",["%s"]]}' % JOB_ID.encode()
        self.assertEqual(decode_roster(old), roster)

    def test_decoded_progress_equals_the_encoded_progress(self):
        progress = Progress(
            JobState.RUNNING,
            {(0, 1): 0b1011},
            {(0, 1, 2): (1, 10_001)},
            {(0, 1, 2): "checkpoint"},
            may_leave_zone=True,
        )
        rows = encode_progress(progress, FAST_SETTINGS.max_row_bytes)
        self.assertEqual(decode_progress(rows), progress)

    def test_progress_that_an_earlier_build_stored(self):
        row = b'{"state":"running","done":{"0.1":"ff"},"failures":{"0.1.9":[1]}}'
        progress = Progress(JobState.RUNNING, {(0, 1): 0xFF}, {(0, 1, 9): (1,)})
        self.assertEqual(decode_progress([row]), progress)


class ProgressRowsTests(unittest.TestCase):
    """Guards against a progress that exceeds the size of a row.

    The store refuses such a row, and with it every commit of every leader.
    """

    SETTINGS = FAST_SETTINGS._replace(max_row_bytes=2_000)

    def setUp(self):
        self.store = MemoryStore()
        self.rng = Random(42)

    def large_progress(self, tasks=500):
        mask = self.rng.getrandbits(tasks)
        return Progress(
            JobState.RUNNING,
            {(0, 0): mask, (7, 0): (1 << 10_000) - 1},
            {(0, 0, n): (n, n + 1) for n in range(tasks)},
            {(0, 0, n): f"{n:016x}" for n in range(tasks)},
            True,
            {(0, 0, n): (n,) for n in range(tasks)},
            {(0, 0, n): RecordedStart(n, "worker", 1_000) for n in range(tasks)},
            begun_occurrences=8,
            begun_early=(9, 10, 11, 13),
        )

    def commit(self, committer, progress, removed=()):
        """Commit the progress of one job through a committer."""
        row = LeaderRow(1, "a:1", "token")
        commit = Commit(progress, {}, None, (), tuple(removed))
        committer._scheduler = mock.Mock()
        committer._scheduler.begin_commit.return_value = commit
        _, rows, removals = committer._begin_commit(row)
        curio.run(self.store.commit, {}, rows, removals)
        committer._record_parts(commit, rows)
        return rows

    def committer(self):
        dependencies = CellDependencies(
            self.store, None, None, None, RecordingLogger(), CellMetrics()
        )
        return Committer(
            self.SETTINGS, dependencies, Term(LeaderRow(1, "a:1", "token"), 1)
        )

    def load(self):
        return curio.run(read_all, self.store, plan_load(1_000.0))

    def store_job(self):
        job = AcceptedJob(SPEC, QUEUE, 4, 99)
        puts = {job_row_key(JOB_ID): encode_job(job)}
        curio.run(self.store.commit, {}, puts)

    def test_a_large_progress_takes_several_rows(self):
        self.store_job()
        progress = self.large_progress()
        rows = self.commit(self.committer(), {JOB_ID: progress})
        self.assertGreater(len(rows), 10)
        self.assertLessEqual(max(map(len, rows.values())), self.SETTINGS.max_row_bytes)
        self.assertEqual(self.load().progress, {JOB_ID: progress})

    def test_a_shorter_progress_replaces_all_rows(self):
        """Guards against rows of an earlier progress that are never removed."""
        self.store_job()
        committer = self.committer()
        self.commit(committer, {JOB_ID: self.large_progress()})
        self.commit(committer, {JOB_ID: Progress(JobState.DONE)})
        self.assertEqual(self.load().progress, {JOB_ID: Progress(JobState.DONE)})
        keys = [key for key in self.store.rows if key.table == "progress"]
        self.assertEqual(keys, [progress_row_key(JOB_ID)])

    def test_a_new_leader_removes_the_rows_of_a_job(self):
        """Guards against a successor that knows only the first row."""
        self.store_job()
        self.commit(self.committer(), {JOB_ID: self.large_progress()})
        stored = self.load()
        successor = self.committer()
        successor.use_scheduler(mock.Mock(), stored.progress_parts)
        self.commit(successor, {}, removed=[JOB_ID])
        keys = [key for key in self.store.rows if key.table == "progress"]
        self.assertEqual(keys, [])

    def test_a_missing_row_makes_the_progress_unreadable(self):
        """Guards against tasks that run again because their progress is lost."""
        self.store_job()
        self.commit(self.committer(), {JOB_ID: self.large_progress()})
        removals = (progress_row_key(JOB_ID, 3),)
        curio.run(self.store.commit, {}, {}, removals)
        stored = self.load()
        self.assertEqual(stored.unreadable, {JOB_ID})
        self.assertEqual(stored.jobs, {})

    def test_the_state_is_read_from_the_first_row(self):
        """Guards against a status answer that reads the whole progress."""
        self.store_job()
        self.commit(self.committer(), {JOB_ID: self.large_progress()})
        state = curio.run(read_state, self.store, JOB_ID)
        self.assertIs(state, JobState.RUNNING)


class ClockTests(unittest.TestCase):
    def test_the_clock_includes_time_spent_suspended(self):
        """Guards against a resumed leader that continues to send commands.

        Without the suspended time, the age of its last commit would be too low.
        """
        with mock.patch("time.clock_gettime", return_value=12.5) as read:
            self.assertEqual((now_s(), now_ms()), (12.5, 12_500.0))
        read.assert_called_with(time.CLOCK_BOOTTIME)


class JobPartitionTests(unittest.TestCase):
    """Guards against jobs that are not accepted because the store is slow.

    The store runs the transactions of a partition one after the other. With few
    partitions, a slow store takes fewer jobs than callers hand in.
    """

    def test_jobs_are_spread_over_all_partitions(self):
        rng = Random(1)
        keys = [job_row_key(f"{rng.getrandbits(64):016x}") for _ in range(1_000)]
        counts = Counter(key.partition for key in keys)
        self.assertEqual(len(counts), JOB_PARTITIONS)
        self.assertLess(max(counts.values()), 3 * 1_000 / JOB_PARTITIONS)

    def test_a_cancellation_is_in_the_partition_of_its_job(self):
        """Both are read together."""
        self.assertEqual(
            cancellation_row_key(JOB_ID).partition, job_row_key(JOB_ID).partition
        )

    def test_a_job_of_an_earlier_build_is_found_cancelled_and_removed(self):
        """Guards against a job that runs again after an upgrade.

        That happens if its row stays while its progress is removed.
        """
        job_id = "ff" + "0" * 14
        earlier_key = RowKey("jobs", "7", job_id)
        store = MemoryStore()

        async def run():
            job = AcceptedJob(SPEC._replace(job_id=job_id), QUEUE, 0, 0)
            await store.commit({}, {earlier_key: encode_job(job)})
            is_cancelled = await entry_host(store).cancel(job_id)
            stored = await read_job(store, job_id)
            await remove_jobs(store, (job_id,))
            return is_cancelled, stored, await read_job(store, job_id)

        is_cancelled, stored, after_removal = curio.run(run)
        self.assertTrue(is_cancelled)
        self.assertTrue(stored.is_cancelled)
        self.assertIsNone(after_removal)
        self.assertNotIn(earlier_key, store.rows)

    def test_every_partition_is_read_by_a_new_leader(self):
        partitions = {part for table, part in STATE_LOCATIONS if table == "jobs"}
        keys = [job_row_key(f"{number:02x}{'0' * 14}") for number in range(256)]
        self.assertEqual({key.partition for key in keys}, partitions)


class RecordTests(unittest.TestCase):
    def test_all_partitions_of_the_job_table_are_read(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            for number in range(2 * JOB_PARTITIONS):
                spec = SPEC._replace(job_id=f"{number:02x}{'0' * 14}")
                await host.submit(spec, QUEUE, 0.3)
            await host.cancel("1f" + "0" * 14)
            return await read_all(store, plan_load(1_000.0))

        stored = curio.run(run)
        self.assertEqual(len(stored.jobs), 2 * JOB_PARTITIONS)
        cancelled = [key for key, job in stored.jobs.items() if job.is_cancelled]
        self.assertEqual(cancelled, ["1f" + "0" * 14])


class CommitTests(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.row = LeaderRow(1, "10.0.0.1:1", "token")
        self.log = RecordingLogger()

    async def create_committer(self):
        version = await self.store.commit({}, {LEADER_ROW_KEY: encode_leader(self.row)})
        self.scheduler = FleetScheduler(FleetSettings(), 1, {}, 0.0)
        self.scheduler.handle(WorkersListed((entry("a"),)), 0.0)
        term = Term(self.row, version)
        dependencies = CellDependencies(
            self.store, None, None, None, self.log, CellMetrics()
        )
        return Committer(FAST_SETTINGS, dependencies, term, self.scheduler)

    def commit(self, write_outcomes, before=None):
        async def run():
            committer = await self.create_committer()
            self.store.write_outcomes = list(write_outcomes)
            if before is not None:
                await before(self.store)
            return await committer._commit(released=False)

        return curio.run(run)

    def test_the_beat_shows_whether_a_write_without_a_reply_was_applied(self):
        for outcome in ("lost", "dropped", "late"):
            with self.subTest(outcome=outcome):
                self.setUp()
                self.assertTrue(self.commit([outcome]))
                stored = decode_leader(self.store.rows[LEADER_ROW_KEY].value)
                self.assertEqual(stored.beat, 1)
                self.assertEqual(self.store.apply_delayed_writes(), 0)

    def test_the_changes_of_many_jobs_are_stored_in_commits_of_limited_size(self):
        checkpoint = "x" * 30_000

        async def run():
            committer = await self.create_committer()
            for number in range(20):
                job = AcceptedJob(SPEC._replace(job_id=f"{number:016x}"), QUEUE, 1, 0)
                self.scheduler.handle(JobAccepted(job), 0.0)
                opened = self.scheduler._fleet.jobs[job.spec.job_id]
                opened.steps[0, 0].tasks[0].checkpoint = checkpoint
                self.scheduler._fleet.mark_dirty(opened)
            commits = 0
            while self.scheduler.needs_commit:
                self.assertTrue(await committer._commit(released=False))
                commits += 1
            return commits

        commits = curio.run(run)
        sizes = [
            sum(len(value) for value in puts.values()) for _, puts in self.store.writes
        ]
        self.assertGreater(commits, 1)
        self.assertLess(max(sizes), FAST_SETTINGS.max_commit_bytes)
        for number in range(20):
            self.assertIn(progress_row_key(f"{number:016x}"), self.store.rows)

    def test_a_decoded_roster_equals_the_encoded_roster(self):
        roster = {"a": RosterEntry("a:1", None), "b": RosterEntry("b:1", (JOB_ID,))}
        roster["c"] = RosterEntry("c:1", (JOB_ID,), "zone", 7)
        encoded = encode_roster(roster)
        self.assertEqual(decode_roster(encoded), roster)
        # Hosts of an earlier build read entries of three fields only.
        self.assertEqual(json.loads(encoded)["a"], ["a:1", None, ""])

    def test_a_decoded_leader_row_equals_the_encoded_row(self):
        """An election compares the rows to find out whether its write was applied."""
        ended = (EndedLeaders(2, 4_785.25), EndedLeaders(3, 0.0))
        row = LeaderRow(3, "a:1", "token", ended=ended)
        self.assertEqual(decode_leader(encode_leader(row)), row)

    def test_a_commit_fails_if_the_leader_row_was_replaced(self):
        async def replace(store):
            other = LeaderRow(2, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW_KEY: encode_leader(other)})

        self.assertFalse(self.commit([], replace))

    def test_release_marks_the_row_and_names_the_successor(self):
        async def run():
            committer = await self.create_committer()
            await committer.release("10.0.0.2:1")

        curio.run(run)
        stored = decode_leader(self.store.rows[LEADER_ROW_KEY].value)
        self.assertEqual((stored.released, stored.successor), (True, "10.0.0.2:1"))

    def test_a_failed_commit_is_repeated_by_the_next_commit(self):
        async def run():
            await self.create_committer()
            self.scheduler.handle(JobAccepted(AcceptedJob(SPEC, QUEUE, 1, 0)), 0.0)
            self.scheduler.handle(JobCancelled(JOB_ID), 0.0)
            commit = self.scheduler.begin_commit(10)
            self.scheduler.commit_failed(commit)
            return self.scheduler.begin_commit(10)

        self.assertEqual(
            curio.run(run),
            Commit({JOB_ID: Progress(JobState.CANCELLED)}, {}, None, (JOB_ID,)),
        )


class RosterTests(unittest.TestCase):
    """Guards against a cell that starts nothing because its roster is too large.

    At 1,500 workers the roster exceeded the limit of a row, every commit was refused,
    and no worker of a roster that is not stored may be used.
    """

    MAX_ROW_BYTES = 65_536
    MAX_TRANSACTION_ROWS = 100

    def rows(self, workers, jobs=()):
        roster = {
            f"i-{number:010x}": RosterEntry("10.200.255.255:8588", None, "zone-name")
            for number in range(workers)
        }
        progress = {job_id: Progress(JobState.DONE) for job_id in jobs}
        return roster, commit_rows(
            LeaderRow(1, "10.0.0.1:1", "token"),
            Commit(progress, {}, roster, ()),
            FAST_SETTINGS.max_row_bytes,
        )

    def test_each_row_of_a_large_roster_is_within_the_limit(self):
        roster, rows = self.rows(4_111)
        self.assertLess(max(map(len, rows.values())), self.MAX_ROW_BYTES)
        self.assertEqual(self.load(rows), roster)

    def test_a_commit_with_the_roster_fits_into_one_transaction(self):
        jobs = [f"{n:016x}" for n in range(FAST_SETTINGS.max_jobs_per_commit)]
        _, rows = self.rows(1, jobs)
        self.assertLessEqual(len(rows), self.MAX_TRANSACTION_ROWS)

    def test_the_roster_of_an_earlier_build_is_read_and_replaced(self):
        old, _ = self.rows(3)
        rows = {ROSTER_ROW_KEYS[0]: encode_roster(old)}
        self.assertEqual(self.load(rows), old)
        new, new_rows = self.rows(1)
        self.assertEqual(self.load({**rows, **new_rows}), new)

    def load(self, rows):
        store = MemoryStore()

        async def run():
            await store.commit({}, rows)
            return await read_all(store, plan_load(1_000.0))

        return curio.run(run).roster


class RetentionTests(unittest.TestCase):
    def test_removed_jobs_are_not_read(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            await host.submit(SPEC, QUEUE, 0.3)
            await host.cancel(JOB_ID)
            await remove_jobs(store, (JOB_ID, "f" * 16))
            return await read_all(store, plan_load(1_000.0))

        self.assertEqual(curio.run(run).jobs, {})

    def test_progress_without_a_job_is_removed_by_the_next_leader(self):
        """Guards against progress rows that are never removed.

        They remain if the previous leader fails after it removed the job's row.
        """
        store = MemoryStore()

        async def run():
            key = progress_row_key(JOB_ID)
            await store.commit(
                {},
                {
                    key: encode_progress(
                        Progress(JobState.DONE), FAST_SETTINGS.max_row_bytes
                    )[0]
                },
            )
            dependencies = CellDependencies(
                store, None, FakeDirectory(), None, RecordingLogger(), CellMetrics()
            )
            host = EntryHost(FAST_SETTINGS, dependencies, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.3)
            return key in store.rows

        self.assertFalse(curio.run(run))


if __name__ == "__main__":
    unittest.main()
