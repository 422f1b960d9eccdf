"""Tests of the routes for callers and operators, over a loopback socket."""

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


def run_on_host(
    test: Callable[[EntryHostUnderTest], Awaitable[None]], **settings
) -> None:
    """Run a test against an entry host that leads its zone."""

    async def check() -> None:
        async with (
            FakeHttpServer() as platform,
            EntryHostUnderTest(platform, **settings) as host,
        ):
            await test(host)

    run(check)


class SubmitTests(unittest.TestCase):
    def test_the_caller_gets_the_complete_answer(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            status, reply = await host.submit()
            self.assertEqual((status, reply["outcome"]), (200, "done"))
            self.assertEqual(reply["answer"]["text"], "answer of t/zadar/r1")

        run_on_host(check)

    def test_validation_errors_name_the_field_and_run_nothing(self) -> None:
        cases = {
            "kind": {"kind": "nonsense"},
            "availability_zone": {"availability_zone": "atlantis"},
            "size.slots": {"size": {"slots": -1}},
            "colour": {"colour": "red"},
            "id": {"id": "../x"},
        }

        async def check(host: EntryHostUnderTest) -> None:
            for field, changes in cases.items():
                status, reply = await host.submit(**changes)
                self.assertEqual((status, reply["field"]), (400, field))
                self.assertEqual(reply["outcome"], "not_run")
            self.assertEqual(host.scheduler.events_of_type(RequestSubmitted), [])

        run_on_host(check)

    def test_a_body_that_is_not_json_or_too_large_is_refused(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            socket = await curio.open_connection(*host.address.split(":"))
            async with socket:
                head = b"POST /v1/requests HTTP/1.1\r\nhost: x\r\n"
                await socket.sendall(head + b"content-length: 1\r\n\r\n{")
                reply = await socket.recv(10_000)
                self.assertIn(b" 400 ", reply)
                self.assertIn(b'"bad_json"', reply)
            status, reply = await host.submit(work={"x": "y" * 3_000})
            self.assertEqual((status, reply["code"]), (413, "too_large"))

        run_on_host(check, listen=ListenSettings(max_body=2_000))

    def test_each_outcome_has_its_http_status(self) -> None:
        cases = [
            (OutcomeKind.ACCEPTED, "", 202),
            (OutcomeKind.NOT_RUN, "queue_full", 429),
            (OutcomeKind.NOT_RUN, "id_conflict", 409),
            (OutcomeKind.NOT_RUN, "never_fits", 422),
            (OutcomeKind.NOT_RUN, "platform_unavailable", 503),
            (OutcomeKind.UNKNOWN, "outcome_lost", 504),
        ]

        async def check(host: EntryHostUnderTest) -> None:
            for kind, code, expected in cases:
                outcome = Outcome(KEY, kind, code, retry_after_ms=700)
                host.scheduler.replies[RequestSubmitted] = (
                    lambda event, outcome=outcome: [SendOutcome(event.origin, outcome)]
                )
                status, reply = await host.submit()
                self.assertEqual((status, reply["outcome"]), (expected, kind.value))

        run_on_host(check)

    def test_a_request_without_an_outcome_by_its_deadline_is_unknown(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            status, reply = await host.submit(kind="hold", deadline_ms=1)
            self.assertEqual((status, reply["outcome"]), (504, "unknown"))

        run_on_host(check)


class RouteTests(unittest.TestCase):
    def test_unknown_paths_and_methods_have_different_statuses(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            self.assertEqual((await host.call("GET", "/v2"))[0], 404)
            self.assertEqual((await host.call("PUT", "/v1/health"))[0], 405)
            self.assertEqual((await host.call("PUT", PATH))[0], 405)
            self.assertEqual((await host.call("GET", PATH))[0], 404)

        run_on_host(check)

    def test_health_names_the_leader(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            _, health = await host.call("GET", "/v1/health")
            leader = {"host": "e1", "address": host.address, "epoch": 1}
            self.assertEqual((health["leader"], health["serving"]), (leader, True))

        run_on_host(check)

    def test_an_exception_in_the_core_is_not_reported_as_not_run(self) -> None:
        def fail(event):
            raise RuntimeError("an error in the core")

        async def check(host: EntryHostUnderTest) -> None:
            host.scheduler.replies[RequestSubmitted] = fail
            status, reply = await host.submit(deadline_ms=1)
            self.assertEqual((status, reply["outcome"]), (504, "unknown"))

        run_on_host(check)


class AccessKeyTests(unittest.TestCase):
    def test_a_caller_has_access_to_its_team_with_any_of_its_keys(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            statuses = [
                (await host.call("POST", "/v1/requests", BODY, key))[0]
                for key in ("", "wrong", "other", "old", "new", "boss")
            ]
            self.assertEqual(statuses, [401, 401, 403, 200, 200, 200])
            self.assertEqual((await host.call("DELETE", PATH, key="other"))[0], 403)

        run_on_host(check, keys=KEYS)

    def test_only_operators_have_access_to_operator_and_peer_routes(self) -> None:
        targets = [
            ("GET", "/v1/status"),
            ("POST", "/v1/drain"),
            ("POST", "/v1/peer/submit"),
            ("POST", "/v1/peer/outcomes"),
            ("POST", "/v1/peer/state"),
            ("POST", "/v1/peer/beacon"),
        ]

        async def check(host: EntryHostUnderTest) -> None:
            for method, target in targets:
                self.assertEqual((await host.call(method, target))[0], 401)
                status, _ = await host.call(method, target, {}, "old")
                self.assertEqual(status, 403)
            self.assertEqual((await host.call("GET", "/v1/status", key="boss"))[0], 200)
            self.assertEqual((await host.call("GET", "/v1/health"))[0], 200)

        run_on_host(check, keys=KEYS)

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
    def test_new_requests_are_refused_and_those_in_flight_are_finished(self) -> None:
        async def check(host: EntryHostUnderTest) -> None:
            # The second request must open a new connection.
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

        run_on_host(check)


if __name__ == "__main__":
    unittest.main()
