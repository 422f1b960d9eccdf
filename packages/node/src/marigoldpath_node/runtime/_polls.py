"""Polls of the workers' events and usage while this host leads."""

import random
from collections.abc import Awaitable, Callable

import curio

from marigoldpath_core.messages import (
    EndedTask,
    Event,
    EventsPolled,
    TaskEnded,
    UsageReported,
)

from ..observability import Observer
from ..workers import WorkerClient, WorkerError

# The core places on a worker, and settles tasks that are missing there, when a poll
# has come to its end, so an idle poll must not last long. With many workers it may
# last longer, which bounds the idle polls to 100 in a second.
LEAST_WAIT_MS = 500
MOST_WAIT_MS = 5_000
WAIT_MS_PER_WORKER = 10
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

    @property
    def wait_ms(self) -> int:
        """How long a poll without events lasts."""
        wait_ms = len(self._tasks) * WAIT_MS_PER_WORKER
        return min(MOST_WAIT_MS, max(LEAST_WAIT_MS, wait_ms))

    async def set_workers(self, wanted: set[tuple[str, str]]) -> None:
        """Begin and end polls so that exactly these names and addresses are polled."""
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
                for event in await poll.next_events(self.wait_ms):
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

    async def next_events(self, wait_ms: int) -> list[Event]:
        """Wait for events; raises WorkerError."""
        # The first poll only asks what has ended, so that the worker is usable soon.
        wait_ms = wait_ms if self._incarnation else 0
        events = await self._client.events(self._address, self._after, wait_ms)
        if self._incarnation and events.incarnation != self._incarnation:
            # The restarted worker numbers its events from the beginning.
            self._incarnation = ""
            self._after = 0
            return []
        self._incarnation = events.incarnation
        self._after = events.next
        ended: list[Event] = [self._event(each) for each in events.ended]
        if events.damaged is not None:
            return ended + await self._pass_damaged(events.damaged)
        self._asks = 0
        polled = EventsPolled(self._name, events.clock_ms, events.incarnation)
        return [*ended, polled]

    async def _pass_damaged(self, damaged: EndedTask) -> list[Event]:
        """Ask again for an answer that was not whole, or give it up."""
        self._asks += 1
        if self._asks < MAX_ASKS:
            await curio.sleep(ASK_AGAIN_S)
            return []
        self._asks = 0
        self._after = damaged.sequence
        return [self._event(damaged)]

    def _event(self, ended: EndedTask) -> TaskEnded:
        return TaskEnded(self._name, ended.task, ended.status, ended.answer)
