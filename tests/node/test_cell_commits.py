"""Guards what a cell stores, and how it is read back."""

import json
import time
import unittest
from unittest import mock

import curio

from marigoldpath_core.fleet import (
    Commit,
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
    Resources,
    StepSpec,
)
from marigoldpath_node.cell import (
    EntryHost,
    Surroundings,
)
from marigoldpath_node.cell._clock import now_ms, now_s
from marigoldpath_node.cell._codec import (
    LeaderRow,
    Term,
    decode_job,
    decode_leader,
    decode_progress,
    decode_roster,
    encode_job,
    encode_leader,
    encode_progress,
    encode_roster,
)
from marigoldpath_node.cell._commits import Committer
from marigoldpath_node.cell._records import (
    LEADER_ROW,
    progress_row,
    read_all,
    remove_jobs,
)
from marigoldpath_node.exposition import CellMetrics
from tests.core.fleet_fixture import entry
from tests.node.cell_fakes import (
    FAST,
    JOB_ID,
    QUEUE,
    SPEC,
    FakeDirectory,
    FakePeers,
    KeptLog,
    MemoryStore,
    entry_host,
)


class CodecTests(unittest.TestCase):
    def test_a_job_survives_storage(self):
        steps = (
            StepSpec(3, Resources(500, 64, 1), estimate_ms=900),
            StepSpec(1, Resources(1, 2, 3), after=(0,), gang=True, target_ms=80),
        )
        job = AcceptedJob(JobSpec(JOB_ID, "text", steps, 2, 5, 7), QUEUE, 4, 99, "z")
        self.assertEqual(decode_job(encode_job(job)), job)

    def test_rows_of_earlier_versions_are_read(self):
        """A leader that cannot read them could not lead after an upgrade."""
        job = AcceptedJob(SPEC, QUEUE, 4, 99)
        data = json.loads(encode_job(job))
        del data["zone"]
        self.assertEqual(decode_job(json.dumps(data).encode()), job)
        roster = {"a": RosterEntry("a:1", None), "b": RosterEntry("b:1", (JOB_ID,))}
        old = b'{"a":["a:1",null],"b":["b:1",["%s"]]}' % JOB_ID.encode()
        self.assertEqual(decode_roster(old), roster)

    def test_progress_survives_storage(self):
        progress = Progress(
            JobState.RUNNING,
            {(0, 1): 0b1011},
            {(0, 1, 2): (1, 10_001)},
            {(0, 1, 2): "checkpoint"},
            may_leave_zone=True,
        )
        self.assertEqual(decode_progress(encode_progress(progress)), progress)


class ClockTests(unittest.TestCase):
    def test_time_in_which_the_host_was_suspended_counts(self):
        """A leader that slept would take its last commit for recent."""
        with mock.patch("time.clock_gettime", return_value=12.5) as read:
            self.assertEqual((now_s(), now_ms()), (12.5, 12_500.0))
        read.assert_called_with(time.CLOCK_BOOTTIME)


class RecordTests(unittest.TestCase):
    def test_everything_stored_is_read(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            for number in range(16):
                spec = SPEC._replace(job_id=f"{number:x}{'0' * 15}")
                await host.submit(spec, QUEUE, 0.3)
            await host.cancel("f" + "0" * 15)
            return await read_all(store)

        stored = curio.run(run)
        self.assertEqual(len(stored.jobs), 16)
        cancelled = [key for key, job in stored.jobs.items() if job.is_cancelled]
        self.assertEqual(cancelled, ["f" + "0" * 15])


class CommitTests(unittest.TestCase):
    def setUp(self):
        self.store = MemoryStore()
        self.row = LeaderRow(1, "10.0.0.1:1", "token")
        self.log = KeptLog()

    async def committer(self):
        version = await self.store.commit({}, {LEADER_ROW: encode_leader(self.row)})
        self.scheduler = FleetScheduler(FleetSettings(), 1, {}, 0.0)
        self.scheduler.handle(WorkersListed((entry("a"),)), 0.0)
        term = Term(self.row, version)
        surroundings = Surroundings(
            self.store, None, None, None, self.log, CellMetrics()
        )
        return Committer(FAST, surroundings, self.scheduler, term)

    def commit(self, fates, then=None):
        async def run():
            committer = await self.committer()
            self.store.fates = list(fates)
            if then is not None:
                await then(self.store)
            return await committer._commit(released=False)

        return curio.run(run)

    def test_a_lost_answer_is_settled_by_the_beat(self):
        for fate in ("lost", "dropped", "late"):
            with self.subTest(fate=fate):
                self.setUp()
                self.assertTrue(self.commit([fate]))
                stored = decode_leader(self.store.rows[LEADER_ROW].value)
                self.assertEqual(stored.beat, 1)
                self.assertEqual(self.store.carry_out_late(), 0)

    def test_the_roster_survives_storage(self):
        roster = {"a": RosterEntry("a:1", None), "b": RosterEntry("b:1", (JOB_ID,))}
        self.assertEqual(decode_roster(encode_roster(roster)), roster)

    def test_a_replaced_row_ends_the_leadership(self):
        async def replace(store):
            other = LeaderRow(2, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW: encode_leader(other)})

        self.assertFalse(self.commit([], replace))

    def test_a_released_row_says_so(self):
        async def run():
            committer = await self.committer()
            await committer.release("10.0.0.2:1")

        curio.run(run)
        stored = decode_leader(self.store.rows[LEADER_ROW].value)
        self.assertEqual((stored.released, stored.successor), (True, "10.0.0.2:1"))

    def test_what_could_not_be_stored_is_kept_for_the_next_commit(self):
        async def run():
            await self.committer()
            self.scheduler.handle(JobAccepted(AcceptedJob(SPEC, QUEUE, 1, 0)), 0.0)
            self.scheduler.handle(JobCancelled(JOB_ID), 0.0)
            commit = self.scheduler.begin_commit(10)
            self.scheduler.commit_failed(commit)
            return self.scheduler.begin_commit(10)

        self.assertEqual(
            curio.run(run),
            Commit({JOB_ID: Progress(JobState.CANCELLED)}, {}, None, (JOB_ID,)),
        )


class RetentionTests(unittest.TestCase):
    def test_rows_of_removed_jobs_are_gone(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            await host.submit(SPEC, QUEUE, 0.3)
            await host.cancel(JOB_ID)
            await remove_jobs(store, (JOB_ID, "f" * 16))
            return await read_all(store)

        self.assertEqual(curio.run(run).jobs, {})

    def test_progress_without_its_job_is_removed_by_the_next_leader(self):
        """The last leader removed the job's row and was lost then."""
        store = MemoryStore()

        async def run():
            key = progress_row(JOB_ID)
            await store.commit({}, {key: encode_progress(Progress(JobState.DONE))})
            surroundings = Surroundings(
                store, None, FakeDirectory(), None, KeptLog(), CellMetrics()
            )
            host = EntryHost(FAST, surroundings, FakePeers())
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.3)
            return key in store.rows

        self.assertFalse(curio.run(run))


if __name__ == "__main__":
    unittest.main()
