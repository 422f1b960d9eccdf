"""Tests of the workers' client."""

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


def ended(sequence: int, text: str, told: str) -> dict:
    data = told.encode()
    digest = hashlib.sha256(data).hexdigest()
    answer = {"text": text, "length": len(data), "digest": digest}
    task = f"t{sequence}"
    return {"sequence": sequence, "task": task, "status": "done", "answer": answer}


class StartTests(unittest.TestCase):
    @kernel_test
    async def test_the_end_of_the_claim_goes_with_each_start(self) -> None:
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
    async def test_a_lost_reply_is_told_apart_from_an_unreachable_worker(self) -> None:
        with self.assertRaises(WorkerUnreachableError):
            await client().start("127.0.0.1:1", STARTS)
        async with FakeHttpServer() as worker:
            for answer in ("lost", {"clock_ms": 5}):
                worker.responses["POST", "/v1/start"] = answer
                with self.assertRaises(WorkerReplyError):
                    await client().start(worker.address, STARTS)


class ReportTests(unittest.TestCase):
    @kernel_test
    async def test_a_renewal_returns_the_list(self) -> None:
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
    async def test_an_answer_that_was_cut_is_not_passed_on(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["GET", "/v1/events"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "next": 3,
                "events": [
                    ended(1, "žito", "žito"),
                    ended(2, "who", "whole"),
                    ended(3, "c", "c"),
                ],
            }
            events = await client().events(worker.address, 0, 10)
            self.assertEqual([each.task for each in events.ended], ["t1"])
            self.assertEqual(events.next, 1)
            assert events.damaged is not None
            self.assertEqual(events.damaged.task, "t2")
            self.assertEqual(events.damaged.status, TaskStatus.DONE)
            self.assertIsNone(events.damaged.answer)

    @kernel_test
    async def test_an_answer_of_the_right_length_and_wrong_text_is_not_whole(
        self,
    ) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["GET", "/v1/events"] = {
                "clock_ms": 5,
                "incarnation": "i",
                "next": 1,
                "events": [ended(1, "abd", "abc")],
            }
            events = await client().events(worker.address, 0, 10)
            self.assertIsNotNone(events.damaged)


if __name__ == "__main__":
    unittest.main()
