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
)
from marigoldpath_node.cell._peers import (
    LeaderStatus,
    NotLeadingError,
    PeerError,
    PeerUnreachableError,
)
from marigoldpath_node.cell._progress_codec import encode_progress
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
    store_other_leader,
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


class SlowPeers(FakePeers):
    """Peers that do not reply to a request to store a job."""

    async def store_job(self, _address, _job):
        await curio.sleep(0.15)
        raise PeerError("no reply")


class RepeatedSubmissionTests(unittest.TestCase):
    """A caller is allowed to submit the same job again, whatever the reply was."""

    def submit_twice(self, store, between):
        async def run():
            host = entry_host(store)
            first = await host.submit(SPEC, QUEUE, 0.3)
            between(store)
            return first, await host.submit(SPEC, QUEUE, 0.3)

        return curio.run(run)

    def test_a_repeat_during_the_first_submission_is_never_not_run(self):
        """Guards against a caller that is told a job never runs although it does.

        The store has become unresponsive, so the repeat writes nothing itself, while
        the write of the first submission is repeated until it succeeds.
        """

        async def run():
            store = MemoryStore()
            host = entry_host(store)
            store.write_outcomes = ["dropped"] * 100
            first = await curio.spawn(host.submit(SPEC, QUEUE, 0.5))
            await curio.sleep(0.03)
            repeat = await host.submit(SPEC, QUEUE, 0.5)
            store.write_outcomes = []
            outcomes = await first.join(), repeat
            store.is_down = True
            return *outcomes, await host.submit(SPEC, QUEUE, 0.3)

        first, repeat, last = curio.run(run)
        self.assertIs(first, SubmissionOutcome.ACCEPTED)
        self.assertIs(repeat, SubmissionOutcome.UNKNOWN)
        self.assertIs(last, SubmissionOutcome.ACCEPTED)

    def test_an_unknown_repeat_does_not_hide_that_the_job_is_accepted(self):
        """Guards against a host that forgets an accepted job.

        The first submission is accepted while the repeat still waits for another host.
        """

        async def run():
            store = MemoryStore()
            await store_other_leader(store)
            status = LeaderStatus(3, "other", 0.0, {})
            host = entry_host(store, SlowPeers(exchange_status=status))
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.05)
            store.write_outcomes = ["dropped"] * 100
            first = await curio.spawn(host.submit(SPEC, QUEUE, 0.5))
            await curio.sleep(0.03)
            repeat = await curio.spawn(host.submit(SPEC, QUEUE, 0.5))
            await curio.sleep(0.03)
            store.write_outcomes = []
            outcomes = await first.join(), await repeat.join()
            store.is_down = True
            return *outcomes, await host.submit(SPEC, QUEUE, 0.3)

        first, repeat, last = curio.run(run)
        self.assertIs(first, SubmissionOutcome.ACCEPTED)
        self.assertIs(repeat, SubmissionOutcome.UNKNOWN)
        self.assertIs(last, SubmissionOutcome.ACCEPTED)

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
            return await host._job_writer.submit(second, 0.3)

        self.assertEqual(curio.run(run), (SubmissionOutcome.ACCEPTED, first))

    def test_a_repeated_submission_of_an_accepted_job_returns_no_job(self):
        async def run():
            host = entry_host(MemoryStore())
            job = AcceptedJob(SPEC, QUEUE, 4, 1)
            await host._job_writer.submit(job, 0.3)
            return await host._job_writer.submit(job._replace(epoch=5), 0.3)

        self.assertEqual(curio.run(run), (SubmissionOutcome.ACCEPTED, None))


class StoringPeers:
    """Peers of a host that does not reach the store; `outcomes` is by address."""

    def __init__(self, status, outcomes):
        self.status = status
        self.outcomes = outcomes
        self.requested = []

    async def exchange_status(self, _address, _own_status):
        return self.status

    async def store_job(self, address, _job):
        self.requested.append(address)
        outcome = self.outcomes[address]
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    async def send_job(self, _address, _job):
        pass


class StoreThroughPeersTests(unittest.TestCase):
    """A host that the store turns away finds another host that can write.

    Guards against jobs that are refused although other hosts could store them, and
    against a refusal of a job that one of them may have stored.
    """

    LEADER, FIRST, SECOND = "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"

    def submit(self, outcomes, settings=FAST_SETTINGS, submissions=1, **status):
        writers = (self.FIRST, self.SECOND)
        leader_status = LeaderStatus(3, "other", 0.0, {}, writers=writers)
        self.peers = StoringPeers(leader_status._replace(**status), outcomes)

        async def run():
            store = MemoryStore()
            row = LeaderRow(3, self.LEADER, "other")
            await store.commit({}, {LEADER_ROW_KEY: encode_leader(row)})
            host = entry_host(store, self.peers, settings)
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.05)
            store.is_down = True
            results = [
                await host.submit(SPEC._replace(job_id=f"{number:016x}"), QUEUE, 0.3)
                for number in range(submissions)
            ]
            return results[-1]

        return curio.run(run)

    def test_another_host_stores_the_job_if_the_leader_cannot(self):
        outcome = self.submit(
            {
                self.LEADER: NotLeadingError("no store"),
                self.FIRST: PeerUnreachableError("gone"),
                self.SECOND: "accepted",
            }
        )
        self.assertIs(outcome, SubmissionOutcome.ACCEPTED)
        self.assertEqual(self.peers.requested, [self.LEADER, self.FIRST, self.SECOND])

    def test_a_leader_without_the_store_is_not_requested(self):
        outcome = self.submit({self.FIRST: "accepted"}, store_age_s=9.0)
        self.assertIs(outcome, SubmissionOutcome.ACCEPTED)
        self.assertEqual(self.peers.requested, [self.FIRST])

    def test_a_lost_reply_of_one_host_is_never_not_run(self):
        for lost in (PeerError("no reply"), "unknown"):
            with self.subTest(lost=lost):
                outcome = self.submit(
                    {
                        self.LEADER: lost,
                        self.FIRST: "not_run",
                        self.SECOND: NotLeadingError("no store"),
                    }
                )
                self.assertIs(outcome, SubmissionOutcome.UNKNOWN)

    def test_a_job_that_no_host_can_have_stored_is_not_run(self):
        outcome = self.submit(
            {
                self.LEADER: "not_run",
                self.FIRST: NotLeadingError("no store"),
                self.SECOND: PeerUnreachableError("gone"),
            }
        )
        self.assertIs(outcome, SubmissionOutcome.NOT_RUN)

    def test_the_budget_bounds_the_further_attempts(self):
        """Guards against an outage that multiplies the calls between the hosts."""
        refused = NotLeadingError("no store")
        self.submit(
            {self.LEADER: refused, self.FIRST: refused, self.SECOND: refused},
            FAST_SETTINGS._replace(max_retry_budget=4.0, retry_budget_ratio=0.1),
            submissions=20,
        )
        further = [each for each in self.peers.requested if each != self.LEADER]
        self.assertGreaterEqual(len(further), 4)
        self.assertLessEqual(len(further), 4 + 20 * 0.1)


class StoreForPeerTests(unittest.TestCase):
    """A host stores jobs of others only while it reaches the store itself."""

    def serve(self, *, is_store_up):
        store = MemoryStore()
        job = AcceptedJob(SPEC, QUEUE, 1, 0)

        async def run():
            host = entry_host(store)
            await host.store_health.record_call(is_working=is_store_up)
            body = {"job": encode_job(job).decode()}
            return await host._serve_store_job(body)

        return curio.run(run), job_row_key(JOB_ID) in store.rows

    def test_a_follower_stores_a_job_of_another_host(self):
        self.assertEqual(self.serve(is_store_up=True), ({"outcome": "accepted"}, True))

    def test_a_host_without_the_store_refuses_it(self):
        self.assertEqual(self.serve(is_store_up=False), (None, False))


class ForwardingTests(unittest.TestCase):
    """Guards against a job that waits for the leader's next read of the job table.

    A host may still follow a leader that was replaced a moment ago.
    """

    def test_a_job_is_sent_to_the_leader_that_is_elected_meanwhile(self):
        class ReplacedLeader(StoringPeers):
            async def send_job(self, address, job):
                self.requested.append(address)
                if len(self.requested) == 1:
                    raise NotLeadingError("replaced")

        peers = ReplacedLeader(LeaderStatus(3, "other", 0.0, {}), {})

        async def run():
            store = MemoryStore()
            await store_other_leader(store)
            host = entry_host(store, peers)
            await curio.spawn(host.run, daemon=True)
            await curio.sleep(0.05)
            await host.submit(SPEC, QUEUE, 0.3)
            await curio.sleep(0.1)

        curio.run(run)
        self.assertEqual(peers.requested, ["10.0.0.2:1"] * 2)


class StateTests(unittest.TestCase):
    def test_the_state_is_read_from_the_store_if_no_leader_replies(self):
        store = MemoryStore()

        async def run():
            host = entry_host(store)
            await host.submit(SPEC, QUEUE, 0.3)
            queued = await host.state(JOB_ID)
            await store.commit(
                {},
                {
                    progress_row_key(JOB_ID): encode_progress(
                        Progress(JobState.DONE), 1_000
                    )[0]
                },
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


class StoreHealthTests(unittest.TestCase):
    """The probe of an unresponsive store shows when it replies again."""

    def run_probe(self, store, for_s=0.2):
        async def run():
            settings = FAST_SETTINGS._replace(store_probe_interval_s=0.01)
            store_health = entry_host(store, settings=settings).store_health
            await curio.spawn(store_health.run, daemon=True)
            await store_health.record_call(is_working=False, reason="no reply")
            await store_health.wait_until_responsive(for_s)
            return store_health

        return curio.run(run)

    def test_a_store_that_replies_ends_the_outage(self):
        store_health = self.run_probe(MemoryStore())
        self.assertFalse(store_health.is_unresponsive)
        self.assertEqual(store_health.outage_s, 0.0)

    def test_a_store_that_is_down_stays_unresponsive(self):
        store = MemoryStore()
        store.is_down = True
        self.assertGreater(self.run_probe(store).outage_s, 0.1)

    def test_a_row_that_cannot_be_decoded_does_not_end_the_probe(self):
        store = MemoryStore()
        curio.run(store.commit, {}, {LEADER_ROW_KEY: b"[" * 9})
        self.assertFalse(self.run_probe(store).is_unresponsive)


class ReadinessTests(unittest.TestCase):
    """A partitioned host cannot accept jobs and must not receive connections."""

    def readiness(self, settings, **call):
        async def run():
            host = entry_host(MemoryStore(), settings=settings)
            before = host.is_ready
            await host.configure(Configuration(1, {}))
            await host.store_health.record_call(**call)
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
            await store_other_leader(store)
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
