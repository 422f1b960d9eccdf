"""Tests of forwarding between entry hosts, on loopback sockets."""

import json
import unittest
from typing import Any
from unittest import mock

import curio

from marigoldpath_core.messages import (
    OutcomeRefusedByOrigin,
    RequestSubmitted,
    SendOutcome,
)
from marigoldpath_core.requests import Origin, Outcome, OutcomeKind, RequestKey
from marigoldpath_core.settings import RoutingSettings
from marigoldpath_node.http import json_response
from marigoldpath_node.peers import (
    BatchItem,
    BatchSender,
    PeerReplyError,
    PeerUnavailableError,
    PendingCalls,
    encode_outcome,
)

from .fakes import (
    BODY,
    KEY,
    EntryHostUnderTest,
    FakeHttpServer,
    kernel_test,
    make_client,
    run,
)

ROW = ("GET", "/v1/rows/leader/rijeka")
SUBMIT = ("POST", "/v1/peer/submit")
STATE = ("POST", "/v1/peer/state")
REMOTE = {"availability_zone": "rijeka"}
REMOTE_KEY = RequestKey("t", "rijeka", "r1")


def row_of(address: str, epoch: int = 1, host: str = "r1") -> dict[str, Any]:
    value = {"epoch": epoch, "host": host, "address": address, "released": False}
    return {"value": value, "version": epoch}


class BatchSenderTests(unittest.TestCase):
    @kernel_test
    async def test_items_queued_during_a_post_are_sent_in_the_next(self) -> None:
        batches: list[list[Any]] = []

        async def post(values: list[Any]) -> Any:
            batches.append(values)
            await curio.sleep(0.05)
            return len(values)

        sender = BatchSender(post)
        async with curio.TaskGroup() as tasks:
            await tasks.spawn(sender.send, BatchItem(1, 1))
            await curio.sleep(0.01)
            for value in (2, 3):
                await tasks.spawn(sender.send, BatchItem(value, 1))
        self.assertEqual(batches, [[1], [2, 3]])
        self.assertTrue(sender.idle)

    @kernel_test
    async def test_item_abandoned_before_its_post_is_not_sent(self) -> None:
        batches: list[list[Any]] = []

        async def post(values: list[Any]) -> Any:
            batches.append(values)
            await curio.sleep(0.05)

        sender = BatchSender(post)
        first = await curio.spawn(sender.send, BatchItem(1, 1))
        await curio.sleep(0.01)
        item = BatchItem(2, 1)
        with self.assertRaises(curio.TaskTimeout):
            await curio.timeout_after(0.01, sender.send, item)
        await first.join()
        await curio.sleep(0.02)
        self.assertFalse(item.is_posted)
        self.assertEqual(batches, [[1]])

    @kernel_test
    async def test_every_item_of_a_failed_post_raises_the_error(self) -> None:
        async def post(_values: list[Any]) -> Any:
            raise PeerReplyError("lost")

        sender = BatchSender(post)
        for _ in range(2):
            with self.assertRaises(PeerReplyError):
                await sender.send(BatchItem(1, 1))


class CallTableTests(unittest.TestCase):
    @kernel_test
    async def test_late_outcome_of_another_request_is_rejected(self) -> None:
        calls = PendingCalls()
        call = calls.open(KEY)
        other = Outcome(KEY._replace(id="r2"), OutcomeKind.DONE)
        self.assertFalse(await calls.complete(call.number, other))
        self.assertIsNone(call.outcome)
        self.assertTrue(await calls.complete(call.number, Outcome(KEY, "done")))  # type: ignore[arg-type]

    def test_call_numbers_differ_after_a_restart(self) -> None:
        self.assertNotEqual(
            PendingCalls().open(KEY).number, PendingCalls().open(KEY).number
        )


class ForwardingTests(unittest.TestCase):
    @kernel_test
    async def test_request_is_forwarded_to_its_zones_leader_and_the_answer_returned(
        self,
    ) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, host="r1", zone="rijeka") as leader,
            EntryHostUnderTest(platform) as origin,
        ):
            platform.responses[ROW] = leader.leader_row()
            status, reply = await origin.submit(**REMOTE)
            self.assertEqual(status, 200)
            self.assertEqual(reply["answer"]["text"], "answer of t/rijeka/r1")
            self.assertEqual(origin.scheduler.events_of_type(RequestSubmitted), [])

    @kernel_test
    async def test_cancellation_and_state_query_are_forwarded(self) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, host="r1", zone="rijeka") as leader,
            EntryHostUnderTest(platform) as origin,
        ):
            platform.responses[ROW] = leader.leader_row()
            path = "/v1/requests/t/rijeka/r1"
            self.assertEqual((await origin.call("GET", path))[0], 404)
            leader.scheduler.states[REMOTE_KEY] = {"state": "waiting", "outcome": None}
            state = await origin.call("GET", path)
            self.assertEqual(state, (200, {"state": "waiting", "outcome": None}))
            _, reply = await origin.call("DELETE", path)
            self.assertEqual(reply["code"], "cancelled")

    @kernel_test
    async def test_only_one_redirect_is_followed(self) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, host="r1", zone="rijeka") as leader,
            EntryHostUnderTest(
                platform, host="r2", zone="rijeka", is_leader=False
            ) as follower,
            EntryHostUnderTest(platform) as origin,
            FakeHttpServer() as wrong_peer,
        ):
            platform.responses[ROW] = follower.leader_row()
            beacon = {
                "availability_zone": "rijeka",
                "epoch": 2,
                "host": "r1",
                "address": leader.address,
            }
            await follower.call("POST", "/v1/peer/beacon", beacon)
            self.assertEqual((await origin.submit(**REMOTE))[0], 200)

            beacon.update(epoch=3, host="r3", address=wrong_peer.address)
            named = {**beacon, "epoch": 4, "host": "r4", "address": leader.address}
            wrong_peer.responses[SUBMIT] = {"redirect": named}
            await follower.call("POST", "/v1/peer/beacon", beacon)
            beacon.update(epoch=3, host="r2", address=follower.address)
            await origin.call("POST", "/v1/peer/beacon", beacon)
            status, reply = await origin.submit(**REMOTE, id="r9")
            self.assertEqual((status, reply["outcome"]), (503, "not_run"))
            self.assertEqual(len(leader.scheduler.events_of_type(RequestSubmitted)), 1)

    @kernel_test
    async def test_request_to_an_unreachable_leader_is_not_run(self) -> None:
        async with FakeHttpServer() as platform, EntryHostUnderTest(platform) as origin:
            status, reply = await origin.submit(**REMOTE)
            self.assertEqual((status, reply["code"]), (503, "no_leader"))
            platform.responses[ROW] = row_of("127.0.0.1:1")
            await curio.sleep(1.01)
            status, reply = await origin.submit(**REMOTE)
            self.assertEqual((status, reply["code"]), (503, "unreachable"))
            self.assertEqual(reply["outcome"], "not_run")
            self.assertGreater(reply["retry_after_ms"], 0)


class NextLeaderTests(unittest.TestCase):
    def submit_during_handover(
        self, kind: OutcomeKind, **body: Any
    ) -> tuple[Any, list[Any]]:
        """Submit to a leader that releases leadership while the request runs."""
        results: list[Any] = []

        async def run_hosts() -> None:
            async with (
                FakeHttpServer() as platform,
                EntryHostUnderTest(platform, host="r1", zone="rijeka") as old,
                EntryHostUnderTest(platform, host="r2", zone="rijeka") as new,
                EntryHostUnderTest(platform) as origin,
            ):
                platform.responses[ROW] = old.leader_row()
                changed = Outcome(REMOTE_KEY, kind, "leader_changed")
                old.scheduler.replies[RequestSubmitted] = lambda event: [
                    SendOutcome(event.origin, changed)
                ]
                waiting = await curio.spawn(origin.submit_with, {**REMOTE, **body})
                while not old.scheduler.events_of_type(RequestSubmitted):
                    await curio.sleep(0.01)
                old.scheduler.epoch = 0
                if not body:
                    platform.responses[ROW] = new.leader_row(epoch=2)
                results.append(await waiting.join())
                results.extend(new.scheduler.events_of_type(RequestSubmitted))

        run(run_hosts)
        return results[0], results[1:]

    def test_request_in_flight_is_resubmitted_to_the_next_leader(self) -> None:
        for kind in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
            (status, reply), submitted = self.submit_during_handover(kind)
            self.assertEqual((status, reply["outcome"]), (200, "done"))
            self.assertEqual([event.request.key for event in submitted], [REMOTE_KEY])
            self.assertLess(submitted[0].request.deadline_ms, 2_000)

    def test_outcome_of_the_previous_leader_is_returned_without_a_next_leader(
        self,
    ) -> None:
        for kind in (OutcomeKind.NOT_RUN, OutcomeKind.UNKNOWN):
            (status, reply), _ = self.submit_during_handover(kind, deadline_ms=1)
            self.assertEqual(reply["outcome"], kind.value)
            self.assertIn(status, (503, 504))


class LostReplyTests(unittest.TestCase):
    def submit(self, responses: dict, **body: Any) -> tuple[int, Any, FakeHttpServer]:
        """Submit to a fake leader with scripted replies."""
        replies: list[Any] = []

        async def run_hosts() -> None:
            async with (
                FakeHttpServer() as platform,
                FakeHttpServer() as leader,
                EntryHostUnderTest(
                    platform, routing=RoutingSettings(reply_ms=300)
                ) as origin,
            ):
                platform.responses[ROW] = row_of(leader.address)
                leader.responses.update(responses)
                replies.extend(await origin.submit(**REMOTE, **body))
                replies.append(leader)

        run(run_hosts)
        return replies[0], replies[1], replies[2]

    def test_outcome_is_unknown_if_the_leader_never_replies(self) -> None:
        status, reply, _ = self.submit({SUBMIT: "lost", STATE: "lost"})
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))

    def test_late_reply_to_a_submission_is_unknown_and_not_refused(self) -> None:
        async def slow(_request) -> Any:
            await curio.sleep(0.6)
            return json_response(503, {})

        responses = {
            SUBMIT: lambda request: slow(request),
            STATE: json_response(503, {}),
        }
        status, reply, _ = self.submit(responses)
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))

    def test_lost_outcome_is_recovered_from_the_leaders_state(self) -> None:
        answer = {"text": "a", "length": 1, "digest": "d"}
        state = {"state": "ended", "outcome": "done", "answer": answer}
        status, reply, _ = self.submit(
            {SUBMIT: "lost", STATE: {"states": {str(REMOTE_KEY): state}}}
        )
        self.assertEqual((status, reply["answer"]), (200, answer))

    def test_lost_submission_is_resubmitted_with_the_same_id(self) -> None:
        replies = ["lost", {"redirect": None}]
        status, reply, leader = self.submit(
            {
                SUBMIT: lambda request: replies.pop(0),
                STATE: {"states": {str(REMOTE_KEY): None}},
            }
        )
        sent = [body["requests"][0]["request"] for body in leader.bodies(SUBMIT[1])]
        self.assertEqual([request["id"] for request in sent], ["r1", "r1"])
        # The first submission may still arrive, so the outcome is not "not run".
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))

    def test_refusal_of_a_second_copy_leaves_the_outcome_unknown(self) -> None:
        replies: list[Any] = ["lost"]

        async def refuse(request) -> Any:
            body = json.loads(request.body)
            call = body["requests"][0]["call"]
            refused = Outcome(REMOTE_KEY, OutcomeKind.NOT_RUN, "queue_full")
            payload = encode_outcome(Origin("e1", call), refused)
            client, address = make_client(), body["origin"]["address"]
            value = {"outcomes": [payload]}
            await client.request("POST", address, "/v1/peer/outcomes", value=value)
            return {"taken": 1}

        status, reply, _ = self.submit(
            {
                SUBMIT: lambda request: replies.pop() if replies else refuse(request),
                STATE: {"states": {str(REMOTE_KEY): None}},
            }
        )
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))

    def test_accepted_request_without_an_outcome_is_unknown(self) -> None:
        status, reply, _ = self.submit({SUBMIT: {"taken": 1}}, deadline_ms=1)
        self.assertEqual((status, reply["outcome"]), (504, "unknown"))


class DeliveryTests(unittest.TestCase):
    @kernel_test
    async def test_outcome_rejected_by_the_origin_is_reported_to_the_scheduler(
        self,
    ) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, host="r1", zone="rijeka") as leader,
            EntryHostUnderTest(platform) as origin,
        ):
            body = {
                "availability_zone": "rijeka",
                "requests": [{"call": 5, "request": {**BODY, **REMOTE}}],
                "origin": {"host": "e1", "address": origin.address},
                "hops": 1,
            }
            await leader.call("POST", "/v1/peer/submit", body)
            while not leader.scheduler.events_of_type(OutcomeRefusedByOrigin):
                await curio.sleep(0.01)
            refused = leader.scheduler.events_of_type(OutcomeRefusedByOrigin)
            self.assertEqual(refused[0].origin, Origin("e1", 5))


class BeaconTests(unittest.TestCase):
    @kernel_test
    async def test_leader_sends_beacons_to_peers(self) -> None:
        async with FakeHttpServer() as platform, FakeHttpServer() as peer:
            hosts = [
                {"name": name, "availability_zone": zone, "state": "live"}
                for name, zone in (
                    ("e1", "zadar"),
                    ("e2", "zadar"),
                    ("r1", "rijeka"),
                )
            ]
            platform.responses["GET", "/v1/hosts"] = {
                "workers": [],
                "entry_hosts": [{**host, "address": peer.address} for host in hosts],
            }
            peer.responses["POST", "/v1/peer/beacon"] = {}
            async with EntryHostUnderTest(platform) as leader:
                while not peer.requests:
                    await curio.sleep(0.02)
                beacon = peer.bodies("/v1/peer/beacon")[0]
                self.assertEqual(beacon["address"], leader.address)
                self.assertEqual((beacon["epoch"], beacon["serving"]), (1, True))


class BusyPeerTests(unittest.TestCase):
    @mock.patch("marigoldpath_node.peers._batches.MAX_QUEUED_ITEMS", 2)
    @kernel_test
    async def test_queue_for_an_unresponsive_peer_is_bounded(self) -> None:
        async def post(_values: list[Any]) -> Any:
            await curio.sleep(10)

        sender = BatchSender(post)
        # One item is in flight and two are queued.
        for _ in range(3):
            await curio.spawn(sender.send, BatchItem(1, 1), daemon=True)
            await curio.sleep(0.01)
        with self.assertRaises(PeerUnavailableError):
            await sender.send(BatchItem(1, 1))


if __name__ == "__main__":
    unittest.main()
