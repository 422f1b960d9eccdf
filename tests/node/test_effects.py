"""Tests of the execution of effects."""

import unittest

import curio

from marigoldpath_core.messages import (
    Effect,
    Event,
    ListTasks,
    ReadRow,
    RowReadFailed,
    RowWriteReplied,
    Start,
    StartsFailed,
    StartsReplied,
    StartTasks,
    TasksListed,
    WorkerFailed,
    WriteRow,
    WriteStatus,
)
from marigoldpath_core.requests import Size
from marigoldpath_node.effects import EffectContext, EffectExecutor
from marigoldpath_node.platform import create_platform_client
from marigoldpath_node.workers import create_worker_client

from .fakes import (
    FakeHttpServer,
    kernel_test,
    make_client,
    make_settings,
    null_telemetry,
)

REPORT = {"clock_ms": 1, "incarnation": "i", "tasks": []}


def starts(worker: str, *tasks: str, holder: str = "e1") -> StartTasks:
    return StartTasks(
        worker, holder, tuple(Start(task, Size(), 1, 2, {}) for task in tasks)
    )


class ExecutorFixture:
    """An effect executor that records events; `addresses` maps workers to servers."""

    def __init__(
        self, addresses: dict[str, str], platform: str = "127.0.0.1:1"
    ) -> None:
        settings = make_settings(platform_address=platform)
        http = make_client()
        self.events: list[Event] = []
        self.executor = EffectExecutor(
            EffectContext(
                create_platform_client(settings, http),
                create_worker_client(settings, http),
                None,  # type: ignore[arg-type]
                null_telemetry(settings),
                self.feed,
                addresses.__getitem__,
            )
        )

    async def feed(self, event: Event) -> None:
        self.events.append(event)

    async def execute(self, *effects: Effect) -> list[Event]:
        """Execute effects in one event-loop iteration and return the events."""
        for effect in effects:
            await self.executor.submit([effect])
        while self.executor.in_flight:
            await curio.sleep(0.005)
        return self.events


def accept(request):
    return {"clock_ms": 1, "incarnation": "i", "statuses": {}}


class BatchTests(unittest.TestCase):
    @kernel_test
    async def test_starts_of_one_iteration_for_one_worker_share_a_post(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["POST", "/v1/start"] = accept
            fixture = ExecutorFixture({"w1": worker.address})
            events = await fixture.execute(starts("w1", "a"), starts("w1", "b", "c"))
            self.assertEqual([type(event) for event in events], [StartsReplied])
            body = worker.bodies("/v1/start")[0]
            self.assertEqual([s["task"] for s in body["starts"]], ["a", "b", "c"])

    @kernel_test
    async def test_starts_of_different_holders_are_not_merged(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["POST", "/v1/start"] = accept
            fixture = ExecutorFixture({"w1": worker.address})
            await fixture.execute(starts("w1", "a"), starts("w1", "b", holder="e2"))
            holders = [body["holder"] for body in worker.bodies("/v1/start")]
            self.assertEqual(sorted(holders), ["e1", "e2"])


class FailureTests(unittest.TestCase):
    @kernel_test
    async def test_failed_starts_report_whether_the_command_was_sent(self) -> None:
        async with FakeHttpServer() as worker:
            worker.responses["POST", "/v1/start"] = "lost"
            fixture = ExecutorFixture({"w1": worker.address, "w2": "127.0.0.1:1"})
            events = await fixture.execute(
                starts("w1", "a"), starts("w2", "b"), starts("w3", "c")
            )
            expected = {
                StartsFailed("w1", ("a",), True),
                StartsFailed("w2", ("b",), False),
                StartsFailed("w3", ("c",), False),
            }
            self.assertEqual(set(events), expected)

    @kernel_test
    async def test_every_effect_feeds_back_an_event_when_all_targets_are_unreachable(
        self,
    ) -> None:
        fixture = ExecutorFixture({"w1": "127.0.0.1:1"})
        events = await fixture.execute(
            ReadRow("a"), WriteRow("b", {}, 1), ListTasks("w1")
        )
        self.assertIn(RowReadFailed("a"), events)
        self.assertIn(RowWriteReplied("b", WriteStatus.UNKNOWN), events)
        self.assertIn(WorkerFailed, [type(event) for event in events])


class IsolationTests(unittest.TestCase):
    @kernel_test
    async def test_unresponsive_worker_does_not_delay_other_workers(self) -> None:
        async def hang(request):
            await curio.sleep(0.5)
            return REPORT

        async with FakeHttpServer() as slow, FakeHttpServer() as quick:
            slow.responses["GET", "/v1/tasks"] = lambda request: hang(request)
            quick.responses["GET", "/v1/tasks"] = REPORT
            fixture = ExecutorFixture({"w1": slow.address, "w2": quick.address})
            many = [ListTasks("w1") for _ in range(20)]
            await fixture.executor.submit([*many, ListTasks("w2")])
            async with curio.timeout_after(0.4):
                while not fixture.events:
                    await curio.sleep(0.005)
            event = fixture.events[0]
            assert isinstance(event, TasksListed)
            self.assertEqual(event.worker, "w2")
            # The number in flight to the slow worker is bounded.
            self.assertLessEqual(len(slow.requests), 4)


if __name__ == "__main__":
    unittest.main()
