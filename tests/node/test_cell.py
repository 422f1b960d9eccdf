"""Guards acceptance, election and commits of a cell's entry hosts."""

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
    AdvicePolicy,
    JobSpec,
    JobState,
    Progress,
    Queue,
    Resources,
    StepSpec,
)
from marigoldpath_node.cell import (
    CellSettings,
    Configuration,
    EntryHost,
    Submission,
    Surroundings,
    UnavailableError,
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
from marigoldpath_node.cell._election import Election
from marigoldpath_node.cell._helpers import Helpers
from marigoldpath_node.cell._peers import (
    HelpOffer,
    LeaderView,
    PeerError,
    PeerUnreachableError,
)
from marigoldpath_node.cell._records import (
    LEADER_ROW,
    job_row,
    progress_row,
    read_all,
    read_state,
    remove_jobs,
)
from marigoldpath_node.exposition import CellMetrics
from tests.core.fleet_fixture import entry
from tests.node.cell_fakes import KeptLog, MemoryStore

JOB_ID = "00000000000000aa"
QUEUE = Queue("queue", "service", 0, 3, 1.5, 300, AdvicePolicy(20.0, 0.5, 2_000.0))
SPEC = JobSpec(JOB_ID, "payload", (StepSpec(2, Resources(500, 64, 0)),))
SETTINGS = CellSettings("host", "10.0.0.1:1", "zone", "token")
FAST = SETTINGS._replace(
    accept_retry_s=0.01,
    accept_refused_s=0.05,
    commit_retry_s=0.01,
    election_read_s=0.01,
    refused_s=0.05,
    silent_s=0.1,
    watch_s=0.01,
)


class FakePeers:
    """Answers calls to peers from a table of results by name."""

    def __init__(self, **results):
        self.results = results
        self.calls = []

    def __getattr__(self, name):
        async def call(*arguments):
            self.calls.append((name, arguments))
            result = self.results.get(name, PeerUnreachableError(name))
            if isinstance(result, Exception):
                raise result
            return result

        return call


def entry_host(store, peers=None, settings=FAST):
    log = KeptLog()
    return EntryHost(
        settings,
        Surroundings(store, None, None, None, log, CellMetrics()),
        peers or FakePeers(),
    )


class CodecTests(unittest.TestCase):
    def test_a_job_survives_storage(self):
        steps = (
            StepSpec(3, Resources(500, 64, 1), estimate_ms=900),
            StepSpec(1, Resources(1, 2, 3), after=(0,), gang=True, target_ms=80),
        )
        job = AcceptedJob(JobSpec(JOB_ID, "text", steps, 2, 5, 7), QUEUE, 4, 99, "z")
        self.assertEqual(decode_job(encode_job(job)), job)

    def test_progress_survives_storage(self):
        progress = Progress(
            JobState.RUNNING,
            {(0, 1): 0b1011},
            {(0, 1, 2): (1, 10_001)},
            {(0, 1, 2): "checkpoint"},
            is_spread=True,
        )
        self.assertEqual(decode_progress(encode_progress(progress)), progress)


class ClockTests(unittest.TestCase):
    def test_time_in_which_the_host_was_suspended_counts(self):
        """A leader that slept would take its last commit for recent."""
        with mock.patch("time.clock_gettime", return_value=12.5) as read:
            self.assertEqual((now_s(), now_ms()), (12.5, 12_500.0))
        read.assert_called_with(time.CLOCK_BOOTTIME)


class SubmissionTests(unittest.TestCase):
    def submit(self, store, peers=None, patience_s=0.3):
        async def run():
            return await entry_host(store, peers).submit(SPEC, QUEUE, patience_s)

        return curio.run(run)

    def test_a_stored_job_is_accepted(self):
        store = MemoryStore()
        self.assertIs(self.submit(store), Submission.ACCEPTED)
        self.assertIn(job_row(JOB_ID), store.rows)

    def test_a_repeated_job_stays_one_job(self):
        store = MemoryStore()
        self.submit(store)
        version = store.rows[job_row(JOB_ID)].version
        self.assertIs(self.submit(store), Submission.ACCEPTED)
        self.assertEqual(store.rows[job_row(JOB_ID)].version, version)

    def test_a_lost_answer_is_settled_by_the_same_write(self):
        for fate in ("lost", "dropped", "late"):
            with self.subTest(fate=fate):
                store = MemoryStore()
                store.fates = [fate]
                self.assertIs(self.submit(store), Submission.ACCEPTED)
                self.assertEqual(store.carry_out_late(), 0)

    def test_refused_writes_are_told_as_not_run(self):
        store = MemoryStore()
        store.is_down = True
        self.assertIs(self.submit(store), Submission.NOT_RUN)

    def test_not_run_is_never_told_after_a_lost_answer(self):
        """The lost write may be carried out later, and the job would run."""
        store = MemoryStore()
        store.fates = ["late"] + ["refused"] * 100
        self.assertIs(self.submit(store), Submission.UNKNOWN)
        self.assertEqual(store.carry_out_late(), 1)


class RepeatedSubmissionTests(unittest.TestCase):
    """A caller may hand the same job in again after any answer."""

    def submit_twice(self, store, between):
        async def run():
            host = entry_host(store)
            first = await host.submit(SPEC, QUEUE, 0.3)
            between(store)
            return first, await host.submit(SPEC, QUEUE, 0.3)

        return curio.run(run)

    def test_a_job_accepted_here_stays_accepted_while_the_store_is_down(self):
        def stop(store):
            store.is_down = True

        found = self.submit_twice(MemoryStore(), stop)
        self.assertEqual(found, (Submission.ACCEPTED, Submission.ACCEPTED))

    def test_an_unknown_fate_never_becomes_not_run(self):
        store = MemoryStore()
        store.fates = ["late"] + ["refused"] * 100
        found = self.submit_twice(store, lambda _: None)
        self.assertEqual(found, (Submission.UNKNOWN, Submission.UNKNOWN))

    def test_the_leader_is_told_the_job_as_it_was_stored_first(self):
        """With a later epoch it would start beside a run of an earlier leader."""
        store = MemoryStore()
        first = AcceptedJob(SPEC, QUEUE, 4, 1)
        second = AcceptedJob(SPEC._replace(payload="other"), QUEUE, 5, 2)

        async def run():
            await store.commit({}, {job_row(JOB_ID): encode_job(first)})
            host = entry_host(store)
            return await host.acceptance.submit(second, 0.3)

        self.assertEqual(curio.run(run), (Submission.ACCEPTED, first))

    def test_a_job_that_is_known_as_accepted_is_not_told_again(self):
        async def run():
            host = entry_host(MemoryStore())
            job = AcceptedJob(SPEC, QUEUE, 4, 1)
            await host.acceptance.submit(job, 0.3)
            return await host.acceptance.submit(job._replace(epoch=5), 0.3)

        self.assertEqual(curio.run(run), (Submission.ACCEPTED, None))


class StateTests(unittest.TestCase):
    def test_the_store_tells_the_state_while_no_leader_answers(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            await host.submit(SPEC, QUEUE, 0.3)
            queued = await host.state(JOB_ID)
            await store.commit(
                {}, {progress_row(JOB_ID): encode_progress(Progress(JobState.DONE))}
            )
            return queued, await host.state(JOB_ID), await host.state("0" * 16)

        self.assertEqual(curio.run(run), (JobState.QUEUED, JobState.DONE, None))

    def test_an_unreachable_store_is_no_answer(self):
        store = MemoryStore()
        store.is_down = True
        with self.assertRaises(UnavailableError):
            curio.run(entry_host(store).state, JOB_ID)

    def test_a_cancellation_is_stored_and_told(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            missing = await host.cancel(JOB_ID)
            await host.submit(SPEC, QUEUE, 0.3)
            return missing, await host.cancel(JOB_ID), await read_state(store, JOB_ID)

        self.assertEqual(curio.run(run), (False, True, JobState.CANCELLED))

    def test_an_older_configuration_is_not_taken(self):
        async def run():
            host = entry_host(MemoryStore())
            await host.configure(Configuration(5, {"new": QUEUE}))
            await host.configure(Configuration(4, {}))
            return host.is_ready, host._configuration.version

        self.assertEqual(curio.run(run), (True, 5))


class ReadinessTests(unittest.TestCase):
    """Connections must go to hosts that can accept; a cut host cannot."""

    def ready(self, settings, **note):
        async def run():
            host = entry_host(MemoryStore(), settings=settings)
            before = host.is_ready
            await host.configure(Configuration(1, {}))
            host.acceptance.note_store(**note)
            return before, host.is_ready

        return curio.run(run)

    def test_a_host_without_a_configuration_is_not_ready(self):
        self.assertEqual(self.ready(FAST, is_working=True), (False, True))

    def test_a_host_without_store_and_leader_is_not_ready_after_a_while(self):
        late = FAST._replace(unready_s=0.0)
        self.assertEqual(self.ready(late, is_working=False), (False, False))
        self.assertEqual(self.ready(FAST, is_working=False), (False, True))


class CutOffTests(unittest.TestCase):
    """Callers of a zone that is cut off are better served by another zone."""

    def ready_beside(self, can_order):
        view = LeaderView(3, "other", 9.0, {}, can_order)

        async def run():
            store = MemoryStore()
            row = LeaderRow(3, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW: encode_leader(row)})
            settings = FAST._replace(unready_s=0.0, silent_s=9.0, refused_s=9.0)
            host = entry_host(store, FakePeers(view=view), settings)
            await host.configure(Configuration(1, {}))
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.1)
            store.is_down = True
            await curio.sleep(0.1)
            return host.is_ready

        return curio.run(run)

    def test_a_host_beside_a_leader_that_can_order_is_ready(self):
        self.assertTrue(self.ready_beside(can_order=True))

    def test_a_host_beside_a_leader_that_is_cut_off_is_not_ready(self):
        self.assertFalse(self.ready_beside(can_order=False))


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
            commit = self.scheduler.take_commit(10)
            self.scheduler.not_committed(commit)
            return self.scheduler.take_commit(10)

        self.assertEqual(
            curio.run(run),
            Commit({JOB_ID: Progress(JobState.CANCELLED)}, {}, None, (JOB_ID,)),
        )


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
        election = Election(self.fast, surroundings, peers, lambda **_: None)
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


class FakeDirectory:
    def __init__(self, fault=None):
        self.fault = fault

    async def list_workers(self):
        if self.fault is not None:
            raise self.fault
        return ()


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

    def test_a_host_takes_part_again_after_an_unforeseen_fault(self):
        _, log = self.play(MemoryStore(), FakeDirectory(ValueError("fault")))
        self.assertIn("term_failed", log.events())
        self.assertGreater(log.events().count("leadership_won"), 1)


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

    def test_slow_questions_go_to_other_hosts_and_quick_ones_stay(self):
        surroundings = Surroundings(None, None, None, None, KeptLog(), None)
        helpers = Helpers(FAST, surroundings, FakePeers())
        helpers.note_helper(HelpOffer("10.0.0.2:1", 50.0, 1.0))
        self.assertEqual(helpers._choose(400.0), "10.0.0.2:1")
        self.assertEqual(helpers._choose(20.0), "")


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


if __name__ == "__main__":
    unittest.main()
