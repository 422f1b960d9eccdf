"""Tests of the worker client."""

import hashlib
import unittest

from marigoldpath_core.messages import (
    RenewLeases,
    Start,
    StartStatus,
    StartTasks,
    TaskStatus,
)
from marigoldpath_core.requests import Size
from marigoldpath_node.workers import (
    WorkerReplyError,
    WorkerUnreachableError,
    create_worker_client,
)

from .fakes import FakeHttpServer, kernel_test, make_client, make_settings

STARTS = StartTasks("w1", "e1", (Start("a", Size(1), 10, 20, {"x": 1}, "00-"),))


def client():
    return create_worker_client(make_settings(), make_client())


def terminated(sequence: int, text: str, intended: str) -> dict:
    data = intended.encode()
    digest = hashlib.sha256(data).hexdigest()
    answer = {"text": text, "length": len(data), "digest": digest}
    task = f"t{sequence}"
    return {"sequence": sequence, "task": task, "status": "done", "answer": answer}


class StartTests(unittest.TestCase):
    @kernel_test
    async def test_each_start_carries_the_expiry_of_the_claim(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["POST", "/v1/start"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "statuses": {"a": "expired"},
            }
            replied = await client().start(worker.address, STARTS)
            self.assertEqual(replied.statuses, {"a": StartStatus.EXPIRED})
            start = worker.bodies("/v1/start")[0]["starts"][0]
            self.assertEqual((start["start_before_ms"], start["task"]), (10, "a"))

    @kernel_test
    async def test_lost_reply_and_unreachable_worker_raise_different_errors(
        self,
    ) -> None:
        with self.assertRaises(WorkerUnreachableError):
            await client().start("127.0.0.1:1", STARTS)
        async with FakeHttpServer() as worker:
            for answer in ("lost", {"clock_ms": 5}):
                worker.responses["POST", "/v1/start"] = answer
                with self.assertRaises(WorkerReplyError):
                    await client().start(worker.address, STARTS)


class ReportTests(unittest.TestCase):
    @kernel_test
    async def test_renewal_returns_the_task_list(self) -> None:
        async with FakeHttpServer() as worker:
            task = {"task": "a", "holder": "e1", "sequence": 3, "size": {}}
            worker.responses["POST", "/v1/renew"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "tasks": [{**task, "lease_until_ms": 9}],
            }
            effect = RenewLeases("w1", "e1", ("a",), 9)
            report = await client().renew(worker.address, effect)
            self.assertEqual(report.tasks[0].sequence, 3)


class EventsTests(unittest.TestCase):
    @kernel_test
    async def test_truncated_answer_is_not_returned(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["GET", "/v1/events"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "next": 3,
                "events": [
                    terminated(1, "žito", "žito"),
                    terminated(2, "who", "whole"),
                    terminated(3, "c", "c"),
                ],
            }
            events = await client().events(worker.address, 0, 10)
            self.assertEqual([each.task for each in events.terminated], ["t1"])
            self.assertEqual(events.next, 1)
            assert events.corrupted is not None
            self.assertEqual(events.corrupted.task, "t2")
            self.assertEqual(events.corrupted.status, TaskStatus.DONE)
            self.assertIsNone(events.corrupted.answer)

    @kernel_test
    async def test_answer_with_a_wrong_digest_is_corrupted(
        self,
    ) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["GET", "/v1/events"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "next": 1,
                "events": [terminated(1, "abd", "abc")],
            }
            events = await client().events(worker.address, 0, 10)
            self.assertIsNotNone(events.corrupted)


if __name__ == "__main__":
    unittest.main()
