"""Polls of the workers' events and usage while this host leads."""

import random
from collections.abc import Awaitable, Callable, Iterable

import curio

from marigoldpath_core.messages import (
    EndedTask,
    Event,
    TaskEnded,
    UsageReported,
    WorkerHost,
)

from ..observability import Observer
from ..workers import WorkerClient, WorkerError, WorkerEvents

WAIT_MS = 10_000
USAGE_S = 2.0
RETRY_S = 0.5
# An answer damaged on the way is asked for again; one that stays damaged at the
# worker must not hold up the events behind it for ever.
MAX_ASKS = 5
ASK_AGAIN_S = 0.05

Feed = Callable[[Event], Awaitable[None]]


class WorkerPolls:
    """Keeps one events poll and one usage poll for each worker."""

    def __init__(self, client: WorkerClient, observer: Observer, feed: Feed) -> None:
        self._client = client
        self._observer = observer
        self._feed = feed
        self._tasks: dict[tuple[str, str], list[curio.Task]] = {}

    @property
    def workers(self) -> list[str]:
        """Names of the workers that are polled."""
        return [name for name, _ in self._tasks]

    async def set_workers(self, workers: Iterable[WorkerHost]) -> None:
        """Begin and end polls so that exactly these workers are polled."""
        wanted = {(worker.name, worker.address) for worker in workers}
        for key in list(self._tasks):
            if key not in wanted:
                for task in self._tasks.pop(key):
                    await task.cancel(blocking=False)
        for key in wanted:
            if key not in self._tasks:
                self._tasks[key] = [
                    await curio.spawn(self._poll_events, *key, daemon=True),
                    await curio.spawn(self._poll_usage, *key, daemon=True),
                ]

    async def _poll_events(self, name: str, address: str) -> None:
        poll = _EventsPoll(self._client, name, address)
        while True:
            try:
                for event in await poll.next_events():
                    await self._feed(event)
            except WorkerError as fault:
                self._observer.metrics.count("worker.poll_failed")
                self._observer.log.debug(
                    "events not read", worker=name, reason=str(fault)
                )
                await curio.sleep(RETRY_S)

    async def _poll_usage(self, name: str, address: str) -> None:
        # Spread over the interval, or all workers would be asked in one loop turn.
        await curio.sleep(random.random() * USAGE_S)
        while True:
            try:
                usages = await self._client.usage(address)
                if usages:
                    await self._feed(UsageReported(name, usages))
            except WorkerError as fault:
                self._observer.log.debug(
                    "usage not read", worker=name, reason=str(fault)
                )
            await curio.sleep(USAGE_S)


class _EventsPoll:
    """The position in one worker's events."""

    def __init__(self, client: WorkerClient, name: str, address: str) -> None:
        self._client = client
        self._name = name
        self._address = address
        self._after = 0
        self._incarnation = ""
        self._asks = 0

    async def next_events(self) -> list[TaskEnded]:
        """Wait for events; raises WorkerError."""
        wait_ms = WAIT_MS if self._incarnation else 0
        events = await self._client.events(self._address, self._after, wait_ms)
        if events.incarnation != self._incarnation:
            restarted = bool(self._incarnation)
            self._incarnation = events.incarnation
            if restarted:
                # The restarted worker numbers its events from the beginning.
                self._after = 0
                return []
        self._after = events.next
        ended = [self._event(each) for each in events.ended]
        if events.damaged is not None:
            ended.extend(await self._after_damage(events))
        return ended

    async def _after_damage(self, events: WorkerEvents) -> list[TaskEnded]:
        assert events.damaged is not None
        self._asks += 1
        if self._asks < MAX_ASKS:
            await curio.sleep(ASK_AGAIN_S)
            return []
        self._asks = 0
        self._after = events.damaged.sequence
        return [self._event(events.damaged)]

    def _event(self, ended: EndedTask) -> TaskEnded:
        return TaskEnded(self._name, ended.task, ended.status, ended.answer)
