"""Tests of the routes of callers and operators, on a loopback socket."""

import unittest
from collections.abc import Awaitable, Callable

import curio

from marigoldpath_core.messages import RequestSubmitted, SendOutcome
from marigoldpath_core.requests import Outcome, OutcomeKind
from marigoldpath_core.settings import AccessKey, ListenSettings
from marigoldpath_node.http import HttpClient, HttpClientSettings

from .fakes import BODY, KEY, EntryHostUnderTest, FakeHttpServer, kernel_test, run

PATH = "/v1/requests/t/zadar/r1"
KEYS = (
    AccessKey("old", "caller", "t"),
    AccessKey("new", "caller", "t"),
    AccessKey("other", "caller", "u"),
    AccessKey("boss", "operator"),
)


def on_host(test: Callable[[EntryHostUnderTest], Awaitable[None]], **settings) -> None:
    """Run a test on an entry host that leads its zone."""

    async def use() -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, **settings) as host,
        ):
            await test(host)

    run(use)


class SubmitTests(unittest.TestCase):
    def test_the_caller_gets_the_whole_answer(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            status, reply = await host.submit()
            self.assertEqual((status, reply["outcome"]), (200, "done"))
            self.assertEqual(reply["answer"]["text"], "answer of t/zadar/r1")

        on_host(use)

    def test_faults_name_the_field_and_nothing_is_run(self) -> None:
        cases = {
            "kind": {"kind": "nonsense"},
            "availability_zone": {"availability_zone": "atlantis"},
            "size.slots": {"size": {"slots": -1}},
            "colour": {"colour": "red"},
            "id": {"id": "../x"},
        }

        async def use(host: EntryHostUnderTest) -> None:
            for field, changes in cases.items():
                status, reply = await host.submit(**changes)
                self.assertEqual((status, reply["field"]), (400, field))
                self.assertEqual(reply["outcome"], "not_run")
            self.assertEqual(host.scheduler.events_of_type(RequestSubmitted), [])

        on_host(use)

    def test_a_body_that_is_not_json_or_too_large_is_refused(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            socket = await curio.open_connection(*host.address.split(":"))
            async with socket:
                head = b"POST /v1/requests HTTP/1.1\r\nhost: x\r\n"
                await socket.sendall(head + b"content-length: 1\r\n\r\n{")
                reply = await socket.recv(10_000)
                self.assertIn(b" 400 ", reply)
                self.assertIn(b'"bad_json"', reply)
            status, reply = await host.submit(work={"x": "y" * 3_000})
            self.assertEqual((status, reply["code"]), (413, "too_large"))

        on_host(use, listen=ListenSettings(max_body=2_000))

    def test_each_outcome_has_its_status(self) -> None:
        cases = [
            (OutcomeKind.ACCEPTED, "", 202),
            (OutcomeKind.NOT_RUN, "queue_full", 429),
            (OutcomeKind.NOT_RUN, "id_conflict", 409),
            (OutcomeKind.NOT_RUN, "never_fits", 422),
            (OutcomeKind.NOT_RUN, "platform_unavailable", 503),
            (OutcomeKind.UNKNOWN, "outcome_lost", 504),
        ]

        async def use(host: EntryHostUnderTest) -> None:
            for kind, code, expected in cases:
                outcome = Outcome(KEY, kind, code, retry_after_ms=700)
                host.scheduler.replies[RequestSubmitted] = (
                    lambda event, outcome=outcome: [SendOutcome(event.origin, outcome)]
                )
                status, reply = await host.submit()
                self.assertEqual((status, reply["outcome"]), (expected, kind.value))

        on_host(use)

    def test_no_outcome_by_the_deadline_is_unknown(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            status, reply = await host.submit(kind="hold", deadline_ms=1)
            self.assertEqual((status, reply["outcome"]), (504, "unknown"))

        on_host(use)


class RouteTests(unittest.TestCase):
    def test_unknown_paths_and_methods_are_told_apart(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            self.assertEqual((await host.call("GET", "/v2"))[0], 404)
            self.assertEqual((await host.call("PUT", "/v1/health"))[0], 405)
            self.assertEqual((await host.call("PUT", PATH))[0], 405)
            self.assertEqual((await host.call("GET", PATH))[0], 404)

        on_host(use)

    def test_health_names_the_leader(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            _, health = await host.call("GET", "/v1/health")
            leader = {"host": "e1", "address": host.address, "epoch": 1}
            self.assertEqual((health["leader"], health["serving"]), (leader, True))

        on_host(use)

    def test_a_fault_in_the_core_is_not_told_as_not_run(self) -> None:
        def fail(event):
            raise RuntimeError("a fault in the core")

        async def use(host: EntryHostUnderTest) -> None:
            host.scheduler.replies[RequestSubmitted] = fail
            status, reply = await host.submit(deadline_ms=1)
            self.assertEqual((status, reply["outcome"]), (504, "unknown"))

        on_host(use)


class KeyTests(unittest.TestCase):
    def test_a_caller_may_use_its_own_team_with_any_of_its_keys(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            statuses = [
                (await host.call("POST", "/v1/requests", BODY, key))[0]
                for key in ("", "wrong", "other", "old", "new", "boss")
            ]
            self.assertEqual(statuses, [401, 401, 403, 200, 200, 200])
            self.assertEqual((await host.call("DELETE", PATH, key="other"))[0], 403)

        on_host(use, keys=KEYS)

    def test_only_operators_use_the_routes_of_operators_and_peers(self) -> None:
        targets = [
            ("GET", "/v1/status"),
            ("POST", "/v1/drain"),
            ("POST", "/v1/peer/submit"),
            ("POST", "/v1/peer/outcomes"),
            ("POST", "/v1/peer/state"),
            ("POST", "/v1/peer/beacon"),
        ]

        async def use(host: EntryHostUnderTest) -> None:
            for method, target in targets:
                self.assertEqual((await host.call(method, target))[0], 401)
                status, _ = await host.call(method, target, {}, "old")
                self.assertEqual(status, 403)
            self.assertEqual((await host.call("GET", "/v1/status", key="boss"))[0], 200)
            self.assertEqual((await host.call("GET", "/v1/health"))[0], 200)

        on_host(use, keys=KEYS)

    @kernel_test
    async def test_entry_hosts_with_the_same_keys_forward_to_each_other(self) -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, host="r1", zone="rijeka", keys=KEYS) as leader,
            EntryHostUnderTest(platform, keys=KEYS) as origin,
        ):
            platform.responses["GET", "/v1/rows/leader/rijeka"] = leader.leader_row()
            body = {**BODY, "availability_zone": "rijeka"}
            reply = await origin.call("POST", "/v1/requests", body, "new")
            self.assertEqual(reply[0], 200)


class DrainTests(unittest.TestCase):
    def test_new_callers_are_refused_and_the_ones_in_flight_are_answered(self) -> None:
        async def use(host: EntryHostUnderTest) -> None:
            # The connection of the second caller must be another one.
            host.client = HttpClient(HttpClientSettings(max_idle_connections=0))
            waiting = await curio.spawn(host.submit)
            host.scheduler.replies[RequestSubmitted] = lambda event: []
            await curio.sleep(0.05)
            submitted = host.scheduler.events_of_type(RequestSubmitted)[0]
            self.assertEqual((await host.call("POST", "/v1/drain"))[0], 202)
            status, reply = await host.submit(id="r2")
            self.assertEqual((status, reply["code"]), (503, "draining"))
            outcome = Outcome(KEY, OutcomeKind.DONE)
            host.scheduler.replies[RequestSubmitted] = lambda event: [
                SendOutcome(submitted.origin, outcome)
            ]
            runtime = host.daemon.runtime
            await runtime.feed(submitted)
            self.assertEqual((await waiting.join())[0], 200)

        on_host(use)


if __name__ == "__main__":
    unittest.main()
