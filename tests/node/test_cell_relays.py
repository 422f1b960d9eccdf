"""Tests of the relays that send a leader's commands to workers."""

import contextlib
import json
import unittest

import curio
from hypothesis import given
from hypothesis import strategies as st

from marigoldpath_core.fleet import (
    RunningTask,
    StartReplied,
    StartResult,
    StartRun,
    StopReplied,
    StopRun,
    TerminatedRun,
    TerminationReason,
    ThrottleRun,
    WorkerPoll,
    WorkerReport,
)
from marigoldpath_core.jobs import TaskKey
from marigoldpath_node.cell import (
    CellDependencies,
    FencedError,
    WorkerFailedError,
)
from marigoldpath_node.cell._followers import Followers
from marigoldpath_node.cell._peers import (
    FollowerStatus,
    PeerError,
    PeerUnreachableError,
)
from marigoldpath_node.cell._ports import RelayFailedError
from marigoldpath_node.cell._relay_codec import (
    PollCommand,
    decode_commands,
    encode_commands,
)
from marigoldpath_node.cell._relay_server import RelayServer, TransitClock
from marigoldpath_node.cell._relayed_workers import RelayedWorkerClient
from marigoldpath_node.exposition import CellMetrics
from tests.node.cell_fakes import FAST_SETTINGS, RecordingLogger

RELAY = "10.0.0.2:1"
EPOCH = 7
TASK = TaskKey("00000000000000aa", 0, 1, 2)
START = StartRun("w", "10.0.1.1:1", TASK, 3, "payload", "saved", "ticket", 5_000, 11)
STOP = StopRun("w", "10.0.1.1:1", TASK, 3)
THROTTLE = ThrottleRun("w", "10.0.1.1:1", TASK, 3, 50)
POLL = WorkerPoll("10.0.1.1:1", 9_000, 4, 0)
REPORT = WorkerReport(
    "w",
    5_100,
    11,
    (RunningTask(TASK, 3, "saved", 40, 250),),
    (TerminatedRun(5, TASK, 2, TerminationReason.FAILED, ""),),
)
SETTINGS = FAST_SETTINGS._replace(
    min_relay_interval_s=0.001,
    max_relay_interval_s=0.001,
    max_relay_wait_s=0.02,
    max_relay_delay_s=0.2,
    relay_timeout_s=0.5,
    relay_choice_interval_s=0.01,
)


class FakeWorkers:
    """Records commands; returns or raises the configured result of each method."""

    def __init__(self, **results):
        self.results = {
            "poll": REPORT,
            "start": StartReplied("w", TASK, 3, StartResult.STARTED, 5_050),
            "stop": StopReplied("w", TASK, 3, 5_060),
            "throttle": None,
            **results,
        }
        self.commands = []

    async def poll(self, worker_id, epoch, poll):
        return await self._record("poll", (worker_id, poll), epoch)

    async def start(self, command, epoch):
        return await self._record("start", command, epoch)

    async def stop(self, command, epoch):
        return await self._record("stop", command, epoch)

    async def throttle(self, command, epoch):
        return await self._record("throttle", command, epoch)

    async def _record(self, name, command, epoch):
        self.commands.append((name, command, epoch))
        result = self.results[name]
        if result == "never":
            await curio.sleep(60)
        if isinstance(result, Exception):
            raise result
        return result


class LoopbackPeers:
    """Passes the messages of a leader to a relay server, through JSON as on a link."""

    def __init__(self, server):
        self.server = server
        self.error = None
        self.delay_s = 0.0
        self.reply_age_ms = 0

    async def relay_commands(self, _address, data):
        data = json.loads(json.dumps(data))
        data["sent_s"] -= self.delay_s
        if self.error is not None:
            raise self.error
        reply = json.loads(json.dumps(await self.server.accept_commands(data)))
        return reply["accepted"], self._aged(reply["replies"])

    async def take_relayed_replies(self, _address, session, wait_s):
        if self.error is not None:
            raise self.error
        reply = await self.server.take_replies({"session": session, "wait_s": wait_s})
        return self._aged(json.loads(json.dumps(reply))["replies"])

    def _aged(self, replies):
        return [
            [number, age_ms + self.reply_age_ms, encoded]
            for number, age_ms, encoded in replies
        ]


class RelayTestCase(unittest.TestCase):
    def setUp(self):
        self.log = RecordingLogger()
        self.direct = FakeWorkers()
        self.relayed = FakeWorkers()

    def play(self, scenario, settings=SETTINGS):
        """Run a scenario with a client whose relay has been chosen."""

        async def run():
            peers = LoopbackPeers(RelayServer(settings, self.relayed, self.log))
            dependencies = CellDependencies(
                None, self.direct, None, None, self.log, CellMetrics()
            )
            followers = Followers(settings, dependencies, peers)
            followers.record_status(FollowerStatus(RELAY, 10.0, 1.0))
            client = RelayedWorkerClient(
                settings, dependencies, followers, peers, EPOCH
            )
            client.activate()
            task = await curio.spawn(client.run, lambda: 1, daemon=True)
            while client._channel("w") is None:
                await curio.sleep(0.005)
            try:
                return await scenario(client, peers)
            finally:
                await task.cancel()

        return curio.run(run)


class RelayedCommandTests(RelayTestCase):
    def test_each_command_reaches_the_worker_and_its_reply_returns(self):
        async def scenario(client, _peers):
            return (
                await client.poll("w", EPOCH, POLL),
                await client.start(START, EPOCH),
                await client.stop(STOP, EPOCH),
                await client.throttle(THROTTLE, EPOCH),
            )

        replies = self.play(scenario)
        self.assertEqual(replies, tuple(self.relayed.results.values()))
        self.assertEqual(
            self.relayed.commands,
            [
                ("poll", ("w", POLL), EPOCH),
                ("start", START, EPOCH),
                ("stop", STOP, EPOCH),
                ("throttle", THROTTLE, EPOCH),
            ],
        )
        self.assertEqual(self.direct.commands, [])

    def test_a_worker_that_has_seen_a_later_epoch_ends_the_term(self):
        # After a hand-over, the relay of the replaced leader must not command workers.
        self.relayed.results["poll"] = FencedError("epoch 8")

        async def scenario(client, _peers):
            with self.assertRaises(FencedError):
                await client.poll("w", EPOCH, POLL)

        self.play(scenario)

    def test_without_activation_commands_are_sent_directly(self):
        async def scenario():
            dependencies = CellDependencies(
                None, self.direct, None, None, self.log, CellMetrics()
            )
            followers = Followers(SETTINGS, dependencies, None)
            followers.record_status(FollowerStatus(RELAY, 10.0, 1.0))
            client = RelayedWorkerClient(SETTINGS, dependencies, followers, None, EPOCH)
            task = await curio.spawn(client.run, lambda: 1, daemon=True)
            await curio.sleep(0.05)
            await client.start(START, EPOCH)
            await task.cancel()

        curio.run(scenario)
        self.assertEqual(self.direct.commands, [("start", START, EPOCH)])


class FailedRelayTests(RelayTestCase):
    """Guards against work given up, or started again, because a relay failed."""

    def test_a_failed_relay_says_nothing_about_the_worker(self):
        async def scenario(client, peers):
            peers.error = PeerError("no reply")
            with self.assertRaises(RelayFailedError):
                await client.poll("w", EPOCH, POLL)
            return await client.poll("w", EPOCH, POLL)

        self.assertEqual(self.play(scenario), REPORT)
        self.assertEqual(len(self.direct.commands), 1)

    def test_the_outcome_of_a_start_through_a_failed_relay_is_unknown(self):
        self.relayed.results["start"] = "never"

        async def scenario(client, peers):
            starting = await curio.spawn(client.start, START, EPOCH)
            while not self.relayed.commands:
                await curio.sleep(0.005)
            peers.error = PeerUnreachableError("the relay was killed")
            return await starting.join()

        self.assertIs(self.play(scenario).result, StartResult.UNKNOWN)
        # The start may have been executed, so it is not sent again.
        self.assertEqual(self.direct.commands, [])

    def test_a_command_without_a_reply_fails_the_relay(self):
        self.relayed.results["stop"] = "never"
        settings = SETTINGS._replace(relay_timeout_s=0.05)

        async def scenario(client, _peers):
            with self.assertRaises(RelayFailedError):
                await client.stop(STOP, EPOCH)

        self.play(scenario, settings)
        self.assertIn("relay_failed", self.log.events())

    def test_a_worker_that_the_relay_does_not_reach_is_called_directly(self):
        # The relay can be partitioned from workers that the leader reaches.
        self.relayed.results["poll"] = WorkerFailedError("no route")

        async def scenario(client, _peers):
            with self.assertRaises(RelayFailedError):
                await client.poll("w", EPOCH, POLL)
            return await client.poll("w", EPOCH, POLL)

        self.assertEqual(self.play(scenario), REPORT)

    def test_a_relay_that_leaves_the_cell_is_replaced_by_direct_calls(self):
        settings = SETTINGS._replace(check_interval_s=0.01)

        async def scenario(client, _peers):
            client._followers.remove(RELAY)
            while client._channel("w") is not None:
                await curio.sleep(0.005)
            return await client.start(START, EPOCH)

        self.play(scenario, settings)
        self.assertEqual(self.direct.commands, [("start", START, EPOCH)])


class DelayedMessageTests(RelayTestCase):
    """Guards against a relay that acts on permissions which have expired.

    A relay that was paused reads messages that its leader sent seconds ago.
    """

    def test_a_delayed_command_is_not_sent(self):
        async def scenario(client, peers):
            peers.delay_s = 5.0
            with self.assertRaises(RelayFailedError):
                await client.poll("w", EPOCH, POLL)

        self.play(scenario)
        self.assertEqual(self.relayed.commands, [])
        self.assertIn("relayed_commands_late", self.log.events())

    def test_an_old_report_does_not_prove_a_majority(self):
        async def scenario(client, peers):
            peers.reply_age_ms = 5_000
            with self.assertRaises(RelayFailedError):
                await client.poll("w", EPOCH, POLL)

        self.play(scenario)
        self.assertEqual(len(self.relayed.commands), 1)

    def test_clocks_that_differ_are_no_delay(self):
        clock = TransitClock()
        self.assertEqual(clock.excess_s(1_000.0, 5.0), 0.0)
        self.assertAlmostEqual(clock.excess_s(1_001.0, 6.5), 0.5)
        self.assertAlmostEqual(clock.excess_s(1_002.0, 6.9), 0.0)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


class MalformedMessageTests(unittest.TestCase):
    """Guards against a message that ends a handler or is executed in part."""

    def encoded(self):
        commands = [(1, START), (2, PollCommand("w", POLL)), (3, STOP), (4, THROTTLE)]
        return json.loads(json.dumps(encode_commands(commands)))

    def test_a_message_keeps_its_commands(self):
        self.assertEqual(
            decode_commands(self.encoded()),
            [(1, START), (2, PollCommand("w", POLL)), (3, STOP), (4, THROTTLE)],
        )

    def test_the_payload_of_a_job_is_sent_once(self):
        commands = [(number, START._replace(run=number)) for number in range(20)]
        self.assertEqual(json.dumps(encode_commands(commands)).count("payload"), 2)

    @given(st.integers(0, 3), st.integers(0, 10), VALUES)
    def test_a_replaced_value_is_refused_or_decoded(self, row, field, value):
        data = self.encoded()
        fields = data["commands"][row]
        fields[min(field, len(fields) - 1)] = value
        with contextlib.suppress(ValueError):
            decode_commands(data)

    @given(VALUES)
    def test_any_other_message_is_refused_or_empty(self, value):
        for data in (value, {"commands": value, "payloads": {}}):
            with contextlib.suppress(ValueError):
                self.assertEqual(decode_commands(data), [])
