"""Tests of the replies of an entry host to its callers."""

import unittest

import curio

from marigoldpath_core.jobs import (
    AcceptedJob,
    JobState,
    Progress,
)
from marigoldpath_node.cell import (
    Configuration,
    SubmissionOutcome,
    UnavailableError,
)
from marigoldpath_node.cell._codec import (
    LeaderRow,
    encode_job,
    encode_leader,
    encode_progress,
)
from marigoldpath_node.cell._peers import (
    LeaderStatus,
)
from marigoldpath_node.cell._records import (
    LEADER_ROW_KEY,
    job_row_key,
    progress_row_key,
    read_state,
)
from tests.node.cell_fakes import (
    FAST_SETTINGS,
    JOB_ID,
    QUEUE,
    SPEC,
    FakePeers,
    MemoryStore,
    entry_host,
)


class SubmissionTests(unittest.TestCase):
    def submit(self, store, peers=None, timeout_s=0.3):
        async def run():
            return await entry_host(store, peers).submit(SPEC, QUEUE, timeout_s)

        return curio.run(run)

    def test_a_stored_job_is_accepted(self):
        store = MemoryStore()
        self.assertIs(self.submit(store), SubmissionOutcome.ACCEPTED)
        self.assertIn(job_row_key(JOB_ID), store.rows)

    def test_a_repeated_submission_does_not_store_the_job_again(self):
        store = MemoryStore()
        self.submit(store)
        version = store.rows[job_row_key(JOB_ID)].version
        self.assertIs(self.submit(store), SubmissionOutcome.ACCEPTED)
        self.assertEqual(store.rows[job_row_key(JOB_ID)].version, version)

    def test_a_write_without_a_reply_is_retried_until_its_result_is_known(self):
        for outcome in ("lost", "dropped", "late"):
            with self.subTest(outcome=outcome):
                store = MemoryStore()
                store.write_outcomes = [outcome]
                self.assertIs(self.submit(store), SubmissionOutcome.ACCEPTED)
                self.assertEqual(store.apply_delayed_writes(), 0)

    def test_refused_writes_return_not_run(self):
        store = MemoryStore()
        store.is_down = True
        self.assertIs(self.submit(store), SubmissionOutcome.NOT_RUN)

    def test_a_write_without_a_reply_never_returns_not_run(self):
        """Guards against a caller that is told a job never runs although it does.

        A write without a reply may be applied later.
        """
        store = MemoryStore()
        store.write_outcomes = ["late"] + ["refused"] * 100
        self.assertIs(self.submit(store), SubmissionOutcome.UNKNOWN)
        self.assertEqual(store.apply_delayed_writes(), 1)


class RepeatedSubmissionTests(unittest.TestCase):
    """A caller is allowed to submit the same job again, whatever the reply was."""

    def submit_twice(self, store, between):
        async def run():
            host = entry_host(store)
            first = await host.submit(SPEC, QUEUE, 0.3)
            between(store)
            return first, await host.submit(SPEC, QUEUE, 0.3)

        return curio.run(run)

    def test_an_accepted_job_stays_accepted_while_the_store_is_down(self):
        def stop(store):
            store.is_down = True

        found = self.submit_twice(MemoryStore(), stop)
        self.assertEqual(
            found, (SubmissionOutcome.ACCEPTED, SubmissionOutcome.ACCEPTED)
        )

    def test_an_unknown_outcome_never_becomes_not_run(self):
        store = MemoryStore()
        store.write_outcomes = ["late"] + ["refused"] * 100
        found = self.submit_twice(store, lambda _: None)
        self.assertEqual(found, (SubmissionOutcome.UNKNOWN, SubmissionOutcome.UNKNOWN))

    def test_a_repeated_submission_returns_the_job_as_first_stored(self):
        """Guards against a second start of a job that an earlier leader has started.

        The stored epoch shows that an earlier leader may have started it.
        """
        store = MemoryStore()
        first = AcceptedJob(SPEC, QUEUE, 4, 1)
        second = AcceptedJob(SPEC._replace(payload="other"), QUEUE, 5, 2)

        async def run():
            await store.commit({}, {job_row_key(JOB_ID): encode_job(first)})
            host = entry_host(store)
            return await host.job_writer.submit(second, 0.3)

        self.assertEqual(curio.run(run), (SubmissionOutcome.ACCEPTED, first))

    def test_a_repeated_submission_of_an_accepted_job_returns_no_job(self):
        async def run():
            host = entry_host(MemoryStore())
            job = AcceptedJob(SPEC, QUEUE, 4, 1)
            await host.job_writer.submit(job, 0.3)
            return await host.job_writer.submit(job._replace(epoch=5), 0.3)

        self.assertEqual(curio.run(run), (SubmissionOutcome.ACCEPTED, None))


class StateTests(unittest.TestCase):
    def test_the_state_is_read_from_the_store_if_no_leader_replies(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            await host.submit(SPEC, QUEUE, 0.3)
            queued = await host.state(JOB_ID)
            await store.commit(
                {}, {progress_row_key(JOB_ID): encode_progress(Progress(JobState.DONE))}
            )
            return queued, await host.state(JOB_ID), await host.state("0" * 16)

        self.assertEqual(curio.run(run), (JobState.QUEUED, JobState.DONE, None))

    def test_reading_the_state_fails_if_the_store_is_down(self):
        store = MemoryStore()
        store.is_down = True
        with self.assertRaises(UnavailableError):
            curio.run(entry_host(store).state, JOB_ID)

    def test_a_cancellation_is_stored_and_returned_as_state(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            missing = await host.cancel(JOB_ID)
            await host.submit(SPEC, QUEUE, 0.3)
            return missing, await host.cancel(JOB_ID), await read_state(store, JOB_ID)

        self.assertEqual(curio.run(run), (False, True, JobState.CANCELLED))

    def test_an_older_configuration_is_ignored(self):
        async def run():
            host = entry_host(MemoryStore())
            await host.configure(Configuration(5, {"new": QUEUE}))
            await host.configure(Configuration(4, {}))
            return host.is_ready, host._configuration.version

        self.assertEqual(curio.run(run), (True, 5))


class ReadinessTests(unittest.TestCase):
    """A partitioned host cannot accept jobs and must not receive connections."""

    def readiness(self, settings, **call):
        async def run():
            host = entry_host(MemoryStore(), settings=settings)
            before = host.is_ready
            await host.configure(Configuration(1, {}))
            host.job_writer.record_store_call(**call)
            return before, host.is_ready

        return curio.run(run)

    def test_a_host_without_a_configuration_is_not_ready(self):
        self.assertEqual(self.readiness(FAST_SETTINGS, is_working=True), (False, True))

    def test_a_host_without_store_and_leader_becomes_not_ready_after_a_timeout(self):
        without_timeout = FAST_SETTINGS._replace(unready_timeout_s=0.0)
        self.assertEqual(
            self.readiness(without_timeout, is_working=False), (False, False)
        )
        self.assertEqual(self.readiness(FAST_SETTINGS, is_working=False), (False, True))


class PartitionTests(unittest.TestCase):
    """A host is not ready while its leader cannot send commands.

    The load balancer then sends the callers to a zone that is not partitioned.
    """

    def is_ready_with_leader(self, can_order):
        status = LeaderStatus(3, "other", 9.0, {}, can_order)

        async def run():
            store = MemoryStore()
            row = LeaderRow(3, "10.0.0.2:1", "other")
            await store.commit({}, {LEADER_ROW_KEY: encode_leader(row)})
            settings = FAST_SETTINGS._replace(
                unready_timeout_s=0.0,
                unresponsive_leader_timeout_s=9.0,
                refused_leader_timeout_s=9.0,
            )
            host = entry_host(store, FakePeers(exchange_status=status), settings)
            await host.configure(Configuration(1, {}))
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.1)
            store.is_down = True
            await curio.sleep(0.1)
            return host.is_ready

        return curio.run(run)

    def test_a_host_whose_leader_can_send_commands_is_ready(self):
        self.assertTrue(self.is_ready_with_leader(can_order=True))

    def test_a_host_whose_leader_is_partitioned_is_not_ready(self):
        self.assertFalse(self.is_ready_with_leader(can_order=False))


if __name__ == "__main__":
    unittest.main()
