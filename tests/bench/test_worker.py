"""Tests of the fake worker."""

import io
import json
import unittest
from typing import Any

import curio

from marigoldpath_bench.worker import (
    RunFaults,
    StartItem,
    WorkerProcessSettings,
    WorkerServer,
    WorkerStateMachine,
)
from marigoldpath_bench.worker._server import WorkerSettings
from marigoldpath_core.requests import Size
from marigoldpath_node.http import HttpClient, HttpClientSettings

ONE_SLOT = Size(1_000, 100, 0, 1, 1)


def start(task: str, **work: Any) -> StartItem:
    return StartItem(task, ONE_SLOT, 1_000, 10_000, work)


class WorkerMachineTests(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = WorkerStateMachine("w1", ONE_SLOT, "", usage_lag_ms=500)
        self.machine.boot(0, "one")

    def records(self, event: str) -> list[tuple[str, int, int, str]]:
        return [
            (record.task, record.clock_ms, record.total.slots, record.status)
            for record in self.machine.take_records()
            if record.event == event
        ]

    def test_it_starts_tasks_beyond_its_capacity_and_duplicate_tasks(self) -> None:
        both = [start("a", run_ms=50), start("a", run_ms=50)]
        self.assertEqual(self.machine.start(0, "h", both), {"a": "started"})
        self.assertEqual([each[2] for each in self.records("started")], [1, 2])

    def test_an_expired_start_is_not_run(self) -> None:
        statuses = self.machine.start(1_000, "h", [start("a")])
        self.assertEqual(statuses, {"a": "expired"})
        self.assertEqual(self.machine.tasks(1_000), [])
        self.assertEqual(len(self.records("expired")), 1)

    def test_a_late_advance_records_terminations_at_the_time_they_were_due(
        self,
    ) -> None:
        self.machine.start(0, "h", [start("a", run_ms=None), start("b", run_ms=70)])
        self.machine.advance(60_000)
        self.assertEqual(
            self.records("ended"), [("b", 70, 1, "done"), ("a", 10_000, 0, "lapsed")]
        )

    def test_a_renewal_sets_the_lease_and_the_holder_but_starts_nothing(self) -> None:
        self.machine.start(0, "h", [start("a", run_ms=None)])
        self.machine.renew(1, "other", ["a", "absent"], 20_000)
        tasks = self.machine.tasks(15_000)
        self.assertEqual([(t["task"], t["holder"]) for t in tasks], [("a", "other")])

    def test_answers_contain_their_task_and_are_kept_for_a_minute(self) -> None:
        self.machine.start(0, "h", [start("team/zadar/7#1.0", run_ms=50)])
        _, events = self.machine.events(60_050, 0)
        answer = events[0].answer
        assert answer is not None
        self.assertIn("team/zadar/7#1.0", answer.text)
        self.assertEqual(answer.length, len(answer.text))
        self.assertEqual(self.machine.events(60_051, 0), (1, []))

    def test_a_failing_worker_fails_tasks_but_keeps_claims(self) -> None:
        self.machine.set_run_faults(RunFaults(fail=True))
        self.machine.start(0, "h", [start("claim:zadar:1:e1"), start("a", run_ms=90)])
        self.assertEqual(
            [task["task"] for task in self.machine.tasks(0)], ["claim:zadar:1:e1"]
        )
        self.assertEqual(self.machine.events(0, 0)[1][0].status, "failed")

    def test_answers_are_duplicated_on_request(self) -> None:
        self.machine.set_run_faults(RunFaults(answers=2))
        self.machine.start(0, "h", [start("a")])
        self.assertEqual(len(self.machine.events(199, 0)[1]), 1)
        both = self.machine.events(200, 0)[1]
        self.assertEqual([event.sequence for event in both], [1, 2])

    def test_a_restart_loses_tasks_and_answers(self) -> None:
        self.machine.start(0, "h", [start("a"), start("b", run_ms=None)])
        self.machine.boot(10, "two")
        self.assertEqual(self.machine.incarnation, "two")
        self.assertEqual(self.machine.tasks(10), [])
        self.assertEqual(self.machine.events(10, 0), (0, []))
        self.assertIn(("b", 10, 0, "lost"), self.records("ended"))

    def test_a_throttled_task_takes_longer_and_uses_less(self) -> None:
        self.machine.start(0, "h", [start("a", run_ms=1_000)])
        self.machine.throttle(500, ["a"], 50)
        usage = self.machine.usage(1_400)
        self.assertEqual(usage[0]["size"]["cpu_millis"], 500)
        self.assertEqual(self.machine.tasks(1_500), [])

    def test_usage_is_reported_after_the_lag(self) -> None:
        self.machine.start(0, "h", [start("a", run_ms=None, use={"memory_mb": 9})])
        self.assertEqual(self.machine.usage(499), [])
        self.assertEqual(self.machine.usage(500)[0]["size"]["memory_mb"], 9)


class WorkerServerTests(unittest.TestCase):
    def setUp(self) -> None:
        self.record = io.StringIO()

    def run_with_server(self, use: Any) -> None:
        async def run() -> None:
            worker = WorkerSettings("w1", 0, ONE_SLOT, 5_000)
            settings = WorkerProcessSettings("", (worker,))
            server = WorkerServer(worker, settings, self.record)
            task = await curio.spawn(server.run)
            client = HttpClient(HttpClientSettings())

            async def send(method: str, target: str, value: Any = None) -> Any:
                address = f"127.0.0.1:{server.port}"
                reply = await client.request(method, address, target, value=value)
                return reply.json()

            try:
                await use(send, server)
            finally:
                await client.close()
                await task.cancel()

        curio.run(run)

    def body(self, server: WorkerServer, task: str, run_ms: int | None) -> Any:
        end = server.clock_ms() + 5_000
        item = {"task": task, "size": ONE_SLOT._asdict(), "work": {"run_ms": run_ms}}
        item |= {"start_before_ms": end, "lease_until_ms": end}
        return {"holder": "h", "starts": [item]}

    def test_a_long_poll_returns_when_the_task_terminates(self) -> None:
        async def use(send: Any, server: WorkerServer) -> None:
            await send("POST", "/v1/start", self.body(server, "a", 30))
            before_ms = server.clock_ms()
            reply = await send("GET", "/v1/events?after=0&wait_ms=3000")
            self.assertEqual(reply["events"][0]["task"], "a")
            self.assertEqual(reply["next"], 1)
            self.assertLess(server.clock_ms() - before_ms, 1_000)

        self.run_with_server(use)

    def test_a_delayed_answer_is_available_before_its_late_delivery(self) -> None:
        async def use(send: Any, server: WorkerServer) -> None:
            await send("POST", "/control", {"answer_delay_ms": 100})
            await send("POST", "/v1/start", self.body(server, "a", 0))
            before_ms = server.clock_ms()
            reply = await send("GET", "/v1/events?after=0&wait_ms=0")
            self.assertEqual(len(reply["events"]), 1)
            self.assertGreaterEqual(server.clock_ms() - before_ms, 100)
            self.assertLess(reply["clock_ms"] - before_ms, 100)

        self.run_with_server(use)

    def test_a_message_held_by_a_freeze_is_handled_after_the_freeze(self) -> None:
        async def use(send: Any, server: WorkerServer) -> None:
            await send("POST", "/control", {"mode": "freeze"})
            body = self.body(server, "a", None)
            body["starts"][0]["start_before_ms"] = server.clock_ms() + 50
            held = await curio.spawn(send, "POST", "/v1/start", body)
            await curio.sleep(0.1)
            await send("POST", "/control", {"mode": "ok"})
            self.assertEqual((await held.join())["statuses"], {"a": "expired"})

        self.run_with_server(use)

    def test_records_are_on_the_common_clock(self) -> None:
        async def use(send: Any, server: WorkerServer) -> None:
            await send("POST", "/v1/start", self.body(server, "a", None))
            await send("POST", "/v1/stop", {"tasks": ["a"]})

        self.run_with_server(use)
        lines = [json.loads(line) for line in self.record.getvalue().splitlines()]
        self.assertEqual([line["event"] for line in lines], ["up", "started", "ended"])
        self.assertEqual({line["clock_ms"] - line["at_ms"] for line in lines}, {5_000})
