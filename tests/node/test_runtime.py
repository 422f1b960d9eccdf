"""Tests of the loop that drives the scheduler."""

import hashlib
import unittest
from unittest import mock

import curio

from marigoldpath_core.messages import (
    EventsPolled,
    HostsListed,
    ListTasks,
    Log,
    RunningTask,
    StartsFailed,
    TasksListed,
    TaskTerminated,
    Tick,
    UsageReported,
    WorkerHost,
    WorkerReport,
)
from marigoldpath_core.requests import Size
from marigoldpath_node.platform import Hosts, create_platform_client
from marigoldpath_node.runtime import HostDirectory, Runtime, _poller
from marigoldpath_node.workers import create_worker_client

from .fakes import (
    FakeHttpServer,
    FakeScheduler,
    kernel_test,
    make_client,
    make_settings,
    null_telemetry,
    run,
)

ANSWER_DIGEST = hashlib.sha256(b"abc").hexdigest()


def hosts_of(worker: FakeHttpServer) -> dict:
    capacity = {"slots": 8}
    host = {"name": "w1", "availability_zone": "zadar", "rack": "r", "state": "live"}
    return {
        "workers": [{**host, "address": worker.address, "capacity": capacity}],
        "entry_hosts": [],
    }


def events_reply(*events: dict, incarnation: str = "i1", until: int = 0) -> dict:
    fields = {"clock_ms": 9, "incarnation": incarnation}
    return {**fields, "next": until, "events": list(events)}


def terminated(sequence: int, text: str) -> dict:
    answer = {"text": text, "length": 3, "digest": ANSWER_DIGEST}
    task = f"t{sequence}"
    return {"sequence": sequence, "task": task, "status": "done", "answer": answer}


def scripted(replies: list[dict], polls: list[str]):
    """Return the replies in order, then replies of idle polls."""

    async def answer(request):
        polls.append(request.query["after"])
        if replies:
            return replies.pop(0)
        await curio.sleep(0.05)
        return events_reply(until=int(request.query["after"]))

    return answer


def listed(*tasks: str) -> TasksListed:
    running = (
        RunningTask(task, "h", number, Size(), 9) for number, task in enumerate(tasks)
    )
    return TasksListed("w1", WorkerReport(9, "i1", tuple(running)))


class RuntimeFixture:
    """A runtime with a fake scheduler and a fake platform."""

    def __init__(self, scheduler: FakeScheduler, platform: FakeHttpServer) -> None:
        settings = scheduler.settings._replace(platform_address=platform.address)
        http = make_client()
        self.scheduler = scheduler
        self.directory = HostDirectory()
        self.runtime = Runtime(
            settings,
            scheduler,
            platform=create_platform_client(settings, http),
            workers=create_worker_client(settings, http),
            outcomes=None,  # type: ignore[arg-type]
            directory=self.directory,
            telemetry=null_telemetry(settings),
        )

    async def until(self, condition) -> None:
        task = await curio.spawn(self.runtime.run)
        await self.wait(condition)
        await task.cancel()

    async def wait(self, condition) -> None:
        while not condition():
            await curio.sleep(0.01)


class TickTests(unittest.TestCase):
    @kernel_test
    async def test_scheduler_gets_ticks_while_the_platform_is_down(
        self,
    ) -> None:
        async with FakeHttpServer() as platform:
            fixture = RuntimeFixture(FakeScheduler(make_settings()), platform)
            await fixture.until(lambda: len(fixture.scheduler.events_of_type(Tick)) > 2)
            self.assertEqual(fixture.scheduler.events_of_type(HostsListed), [])

    @kernel_test
    async def test_event_makes_the_next_tick_due_earlier(self) -> None:
        async with FakeHttpServer() as platform:
            scheduler = FakeScheduler(make_settings())
            scheduler.tick_ms = 10_000
            fixture = RuntimeFixture(scheduler, platform)
            task = await curio.spawn(fixture.runtime.run)
            await curio.sleep(0.1)
            self.assertEqual(len(scheduler.events_of_type(Tick)), 1)
            scheduler.tick_ms = 10
            await fixture.runtime.feed(EventsPolled("w", 1, "i"))
            await curio.sleep(0.1)
            self.assertGreater(len(scheduler.events_of_type(Tick)), 2)
            await task.cancel()

    @kernel_test
    async def test_exception_in_the_scheduler_does_not_stop_the_runtime(self) -> None:
        def fail(event):
            raise RuntimeError("an error in the scheduler")

        async with FakeHttpServer() as platform:
            scheduler = FakeScheduler(make_settings())
            scheduler.replies[EventsPolled] = fail
            scheduler.replies[Tick] = lambda event: [Log("x", {"event": 1, "a": 2})]
            fixture = RuntimeFixture(scheduler, platform)
            await fixture.runtime.feed(EventsPolled("w", 1, "i"))
            await fixture.until(lambda: len(scheduler.events_of_type(Tick)) > 1)


class PollTests(unittest.TestCase):
    def poll(self, replies: list[dict], condition) -> tuple[FakeScheduler, list[str]]:
        scheduler = FakeScheduler(make_settings())
        polls: list[str] = []

        async def use() -> None:
            async with FakeHttpServer() as platform, FakeHttpServer() as worker:
                platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
                worker.responses["GET", "/v1/events"] = scripted(replies, polls)
                scheduler.workers_to_poll = frozenset({"w1"})
                await RuntimeFixture(scheduler, platform).until(
                    lambda: condition(scheduler)
                )

        run(use)
        return scheduler, polls

    def test_corrupted_answer_is_read_again(self) -> None:
        replies = [
            events_reply(terminated(1, "abc"), terminated(2, "ab"), until=2),
            events_reply(terminated(2, "abc"), until=2),
        ]
        scheduler, polls = self.poll(
            replies, lambda scheduler: scheduler.events_of_type(EventsPolled)
        )
        terminations = scheduler.events_of_type(TaskTerminated)
        self.assertEqual([end.task for end in terminations], ["t1", "t2"])
        self.assertEqual([end.answer.text for end in terminations], ["abc", "abc"])
        self.assertEqual(polls[:2], ["0", "1"])

    def test_task_is_reported_without_an_answer_that_stays_corrupted(self) -> None:
        corrupted = [events_reply(terminated(1, "ab"), until=1) for _ in range(5)]
        scheduler, _ = self.poll(
            corrupted, lambda scheduler: scheduler.events_of_type(TaskTerminated)
        )
        self.assertIsNone(scheduler.events_of_type(TaskTerminated)[0].answer)

    def test_events_after_a_worker_restart_are_not_skipped(self) -> None:
        replies = [
            events_reply(terminated(7, "abc"), until=7),
            events_reply(incarnation="i2", until=1),
            events_reply(terminated(1, "abc"), incarnation="i2", until=1),
        ]
        _, polls = self.poll(
            replies, lambda scheduler: len(scheduler.events_of_type(TaskTerminated)) > 1
        )
        self.assertEqual(polls[:3], ["0", "7", "0"])

    @kernel_test
    async def test_host_that_does_not_lead_polls_no_worker(self) -> None:
        async with FakeHttpServer() as platform, FakeHttpServer() as worker:
            platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
            worker.responses["GET", "/v1/events"] = events_reply()
            worker.responses["GET", "/v1/usage"] = {
                "usages": [{"task": "a", "size": {"slots": 1}}]
            }
            scheduler = FakeScheduler(make_settings(), is_leader=False)
            fixture = RuntimeFixture(scheduler, platform)
            await fixture.until(lambda: len(scheduler.events_of_type(Tick)) > 4)
            self.assertEqual(worker.requests, [])
            scheduler.workers_to_poll = frozenset({"w1"})
            await fixture.until(lambda: scheduler.events_of_type(EventsPolled))

    @kernel_test
    async def test_usage_is_polled_only_from_workers_that_run_tasks(self) -> None:
        """Polling every idle worker made up a third of an idle leader's messages."""
        async with FakeHttpServer() as platform, FakeHttpServer() as worker:
            platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
            worker.responses["GET", "/v1/events"] = scripted([], [])
            worker.responses["GET", "/v1/usage"] = {
                "usages": [{"task": "a", "size": {"slots": 1}}]
            }
            scheduler = FakeScheduler(make_settings())
            scheduler.workers_to_poll = frozenset({"w1"})
            fixture = RuntimeFixture(scheduler, platform)
            with mock.patch.object(_poller, "USAGE_INTERVAL_S", 0.02):
                task = await curio.spawn(fixture.runtime.run)
                await fixture.wait(lambda: scheduler.events_of_type(EventsPolled))
                await fixture.runtime.feed(listed("claim:zadar:1:h"))
                await curio.sleep(0.2)
                self.assertEqual(scheduler.events_of_type(UsageReported), [])
                await fixture.runtime.feed(listed("claim:zadar:1:h", "t/zadar/1#1.0"))
                await fixture.wait(lambda: scheduler.events_of_type(UsageReported))
                await task.cancel()


class IdlePollTests(unittest.TestCase):
    """Long polls of idle workers, which must not delay the scheduler's decisions."""

    @kernel_test
    async def test_long_poll_is_cancelled_when_a_message_was_lost(self) -> None:
        """The scheduler decides about a lost start only once a later poll completes."""
        async with FakeHttpServer() as platform, FakeHttpServer() as worker:
            waits: list[int] = []

            async def answer(request):
                waits.append(int(request.query["wait_ms"]))
                if waits[-1] == _poller.IDLE_WAIT_MS:
                    await curio.sleep(60)
                await curio.sleep(0.02)
                return events_reply(until=int(request.query["after"]))

            platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
            worker.responses["GET", "/v1/events"] = answer
            scheduler = FakeScheduler(make_settings())
            scheduler.workers_to_poll = frozenset({"w1"})
            with mock.patch.multiple(
                _poller, STEADY_PERIOD_S=0.3, CLAIM_SETTLE_LEASES=0
            ):
                fixture = RuntimeFixture(scheduler, platform)
                task = await curio.spawn(fixture.runtime.run)
                await fixture.wait(lambda: _poller.IDLE_WAIT_MS in waits)
                polls_before = len(scheduler.events_of_type(EventsPolled))
                await fixture.runtime.feed(StartsFailed("w1", ("t",), sent=True))
                await fixture.wait(
                    lambda: len(scheduler.events_of_type(EventsPolled)) > polls_before
                )
                self.assertEqual(waits[0], 0)
                self.assertEqual(waits[-1], _poller.MIN_WAIT_MS)
                await task.cancel()

    @kernel_test
    async def test_long_poll_is_cancelled_when_the_scheduler_lists_tasks(self) -> None:
        """A leader that was paused claims workers again and places only after polls."""
        async with FakeHttpServer() as platform, FakeHttpServer() as worker:
            waits: list[int] = []

            async def answer(request):
                waits.append(int(request.query["wait_ms"]))
                if waits[-1] == _poller.IDLE_WAIT_MS:
                    await curio.sleep(60)
                await curio.sleep(0.02)
                return events_reply(until=int(request.query["after"]))

            platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
            worker.responses["GET", "/v1/events"] = answer
            scheduler = FakeScheduler(make_settings())
            scheduler.workers_to_poll = frozenset({"w1"})
            with mock.patch.multiple(
                _poller, STEADY_PERIOD_S=0.3, CLAIM_SETTLE_LEASES=0
            ):
                fixture = RuntimeFixture(scheduler, platform)
                task = await curio.spawn(fixture.runtime.run)
                await fixture.wait(lambda: _poller.IDLE_WAIT_MS in waits)
                scheduler.replies[Log] = lambda event: [ListTasks("w1")]
                await fixture.runtime.feed(Log("x", {}))
                await fixture.wait(lambda: waits[-1] == _poller.MIN_WAIT_MS)
                await task.cancel()

    @kernel_test
    async def test_worker_that_runs_tasks_gets_short_polls(self) -> None:
        async with FakeHttpServer() as platform, FakeHttpServer() as worker:
            waits: list[int] = []

            async def answer(request):
                waits.append(int(request.query["wait_ms"]))
                await curio.sleep(0.02)
                return events_reply(until=int(request.query["after"]))

            platform.responses["GET", "/v1/hosts"] = hosts_of(worker)
            worker.responses["GET", "/v1/events"] = answer
            worker.responses["GET", "/v1/usage"] = {"usages": []}
            scheduler = FakeScheduler(make_settings())
            scheduler.workers_to_poll = frozenset({"w1"})
            with mock.patch.multiple(
                _poller, STEADY_PERIOD_S=0.2, CLAIM_SETTLE_LEASES=0
            ):
                fixture = RuntimeFixture(scheduler, platform)
                task = await curio.spawn(fixture.runtime.run)
                await fixture.wait(lambda: waits)
                await fixture.runtime.feed(listed("t/zadar/1#1.0"))
                await curio.sleep(0.5)
                self.assertNotIn(_poller.IDLE_WAIT_MS, waits)
                await task.cancel()


class HostDirectoryTests(unittest.TestCase):
    def test_removed_worker_stays_reachable_while_its_tasks_may_run(self) -> None:
        directory = HostDirectory()
        worker = WorkerHost("w1", "zadar", "r", "1.2.3.4:5", Size())
        directory.update(Hosts((worker,), ()), 0)
        directory.update(Hosts((), ()), 30_000)
        self.assertEqual(directory.worker_address("w1"), "1.2.3.4:5")
        directory.update(Hosts((), ()), 60_001)
        with self.assertRaises(KeyError):
            directory.worker_address("w1")


if __name__ == "__main__":
    unittest.main()
