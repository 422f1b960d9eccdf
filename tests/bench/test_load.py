"""Tests of callers and of the tallies of their results."""

import unittest
from typing import Any

import curio

from marigoldpath_bench.load import (
    Call,
    CallOutcome,
    LoadClient,
    LoadSettings,
    Step,
    StepKind,
    tally_by_kind,
)
from marigoldpath_bench.trace import TraceItem
from marigoldpath_bench.worker._messages import make_answer
from marigoldpath_core.requests import RequestPayload
from marigoldpath_node.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    json_response,
)

UNAVAILABLE = {"code": "no_leader", "outcome": "not_run", "retry_after_ms": 300}


def request(name: str = "7") -> RequestPayload:
    return {
        "id": name,
        "team": "t",
        "availability_zone": "z",
        "kind": "k",
        "size": {},
        "deadline_ms": 1_000,
        "work": {"run_ms": 50},
    }


def done(text: str) -> dict[str, Any]:
    return {"outcome": "done", "answer": make_answer(text)._asdict()}


class CallTests(unittest.TestCase):
    def setUp(self) -> None:
        self.call = Call(request(), 0, False)

    def outcome(self) -> CallOutcome:
        return self.call.result().ending

    def test_an_intact_answer_completes_the_call(self) -> None:
        self.call.on_reply(80, 200, done("answer of t/z/7#1.0"))
        self.assertEqual(self.outcome(), CallOutcome.DONE)
        self.assertEqual(self.call.result().wait_ms, 30)

    def test_the_answer_of_another_request_is_wrong(self) -> None:
        self.call.on_reply(80, 200, done("answer of t/z/77#1.0"))
        self.assertEqual(self.outcome(), CallOutcome.WRONG)

    def test_a_failed_task_is_not_a_wrong_answer(self) -> None:
        self.call.on_reply(80, 200, {"outcome": "done", "code": "task_failed"})
        self.assertEqual(self.outcome(), CallOutcome.FAILED)

    def test_a_truncated_answer_is_wrong(self) -> None:
        answer = done("answer of t/z/7#1.0 and more")
        answer["answer"]["text"] = "answer of t/z/7#1.0"
        self.call.on_reply(80, 200, answer)
        self.assertEqual(self.outcome(), CallOutcome.WRONG)

    def test_not_run_is_retried_until_the_deadline(self) -> None:
        step = self.call.on_reply(100, 503, UNAVAILABLE)
        self.assertEqual(step, Step(StepKind.SUBMIT, 300))
        self.call.on_reply(800, 503, UNAVAILABLE)
        self.assertEqual(self.outcome(), CallOutcome.NOT_RUN)

    def test_not_run_after_a_lost_reply_leads_to_a_state_query(self) -> None:
        self.call.on_reply_lost(100)
        self.assertEqual(
            self.call.on_reply(950, 503, UNAVAILABLE).kind, StepKind.QUERY_STATE
        )
        self.call.on_state_reply(1_200, 200, done("answer of t/z/7#1.0"))
        self.assertEqual(self.outcome(), CallOutcome.DONE)

    def test_an_accepted_request_that_is_not_found_is_not_a_refusal(self) -> None:
        self.call.on_reply(10, 202, {"outcome": "accepted"})
        self.assertEqual(
            self.call.on_state_reply(20, 404, {}).kind, StepKind.QUERY_STATE
        )
        self.call.on_state_reply(1_000 + 40_000, 404, {})
        self.assertEqual(self.outcome(), CallOutcome.UNKNOWN)

    def test_an_unknown_outcome_is_final_after_the_deadline(self) -> None:
        self.call.on_reply(950, 504, {"outcome": "unknown"})
        unknown = {"outcome": "unknown"}
        self.assertEqual(
            self.call.on_state_reply(960, 200, unknown).kind, StepKind.QUERY_STATE
        )
        self.call.on_state_reply(1_000, 200, unknown)
        self.assertEqual(self.outcome(), CallOutcome.UNKNOWN)

    def test_an_invalid_request_is_not_retried(self) -> None:
        self.call.on_reply(10, 400, {"code": "bad_field", "outcome": "not_run"})
        self.assertEqual(self.outcome(), CallOutcome.NOT_RUN)


class TallyTests(unittest.TestCase):
    def test_wait_times_exclude_the_run_time(self) -> None:
        results = []
        for latency_ms in (60, 70, 80):
            call = Call(request(), 0, False)
            call.on_reply(latency_ms, 200, done("t/z/7#1.0"))
            results.append(call.result())
        tally = tally_by_kind(results)[0]
        self.assertEqual((tally.wait_p50_ms, tally.wait_p99_ms), (20, 30))
        self.assertEqual(tally.endings, {"done": 3})


class LoadClientTests(unittest.TestCase):
    def test_a_lost_reply_is_retried_through_another_entry_host(self) -> None:
        seen: list[str] = []

        async def losing(_request: HttpRequest) -> HttpResponse:
            seen.append("losing")
            raise ConnectionAbortedError

        async def answering(message: HttpRequest) -> HttpResponse:
            seen.append(message.headers["authorization"])
            return json_response(200, done("t/z/7#1.0"))

        async def run() -> Any:
            servers = [
                HttpServer(HttpServerSettings("127.0.0.1", 0), handler)
                for handler in (answering, losing)
            ]
            for server in servers:
                server.listen()
            tasks = [await curio.spawn(server.run) for server in servers]
            addresses = tuple(f"127.0.0.1:{server.port}" for server in servers)
            client = LoadClient(LoadSettings(addresses, {"t": "secret"}))
            results = await client.run([TraceItem(0, request())])
            await client.close()
            for task in tasks:
                await task.cancel()
            return results

        results = curio.run(run)
        self.assertEqual(seen, ["losing", "Bearer secret"])
        self.assertEqual(
            (results[0].ending, results[0].attempts), (CallOutcome.DONE, 2)
        )
