"""Guards what an entry host tells its callers."""

import unittest

import curio

from marigoldpath_core.jobs import (
    AcceptedJob,
    JobState,
    Progress,
)
from marigoldpath_node.cell import (
    Configuration,
    Submission,
    UnavailableError,
)
from marigoldpath_node.cell._codec import (
    LeaderRow,
    encode_job,
    encode_leader,
    encode_progress,
)
from marigoldpath_node.cell._peers import (
    LeaderView,
)
from marigoldpath_node.cell._records import (
    LEADER_ROW,
    job_row,
    progress_row,
    read_state,
)
from tests.node.cell_fakes import (
    FAST,
    JOB_ID,
    QUEUE,
    SPEC,
    FakePeers,
    MemoryStore,
    entry_host,
)


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


if __name__ == "__main__":
    unittest.main()
