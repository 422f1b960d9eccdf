"""Polls of the workers' events and usage while this host leads."""

import random
import time
from collections.abc import Awaitable, Callable

import curio

from marigoldpath_core.leadership import parse_claim_name
from marigoldpath_core.messages import (
    Effect,
    Event,
    EventsPolled,
    ListTasks,
    StartsFailed,
    StartsReplied,
    TasksListed,
    TaskTerminated,
    TerminatedTask,
    UsageReported,
    WorkerFailed,
)

from ..observability import Telemetry
from ..workers import WorkerClient, WorkerError

# The core places on a worker, and settles tasks that are missing there, when a poll
# has come to its end, so an idle poll must not last long. With many workers it may
# last longer, which bounds the idle polls to 100 in a second.
LEAST_WAIT_MS = 500
MOST_WAIT_MS = 5_000
WAIT_MS_PER_WORKER = 10
# Nothing waits for the end of a poll at a worker that runs no tasks, has answered
# every message and has been claimed for a while; such a poll may last longer.
IDLE_WAIT_MS = 20_000
STEADY_S = 5.0
# A claim waits for the end of an earlier one and then settles, a lease each.
CLAIM_LEASES = 2
USAGE_S = 2.0
RETRY_S = 0.5
# An answer damaged on the way is asked for again; one that stays damaged at the
# worker must not hold up the events behind it for ever.
MAX_ASKS = 5
ASK_AGAIN_S = 0.05

Feed = Callable[[Event], Awaitable[None]]


class _Watched:
    """The position in a worker's events and what decides how often it is polled."""

    def __init__(self, poll: "_EventsPoll") -> None:
        self.poll = poll
        self.runs_tasks = False
        self.unsteady_since_s = time.monotonic()
        self.polls_long = False

    def is_idle(self, steady_s: float) -> bool:
        """Return whether a poll may last long."""
        lasts_s = time.monotonic() - self.unsteady_since_s
        return not self.runs_tasks and lasts_s >= steady_s


class WorkerPolls:
    """Keeps one events poll and one usage poll for each worker."""

    def __init__(
        self,
        client: WorkerClient,
        telemetry: Telemetry,
        feed: Feed,
        claim_lease_ms: int,
    ) -> None:
        self._steady_s = STEADY_S + CLAIM_LEASES * claim_lease_ms / 1_000
        self._client = client
        self._telemetry = telemetry
        self._feed = feed
        self._tasks: dict[tuple[str, str], list[curio.Task]] = {}
        self._watched: dict[str, _Watched] = {}

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
        names = {name for name, _ in wanted}
        for name in [name for name in self._watched if name not in names]:
            del self._watched[name]
        for key in wanted:
            if key not in self._tasks:
                self._watched[key[0]] = _Watched(_EventsPoll(self._client, *key))
                self._tasks[key] = [
                    await curio.spawn(self._poll_events, *key, daemon=True),
                    await curio.spawn(self._poll_usage, *key, daemon=True),
                ]

    async def note_effects(self, effects: list[Effect]) -> None:
        """Poll in short steps where the core lists tasks.

        It does so while it has no claim or does not know whether a start arrived.
        """
        for effect in effects:
            if isinstance(effect, ListTasks):
                await self.disturb(effect.worker)

    async def note(self, event: Event) -> None:
        """Learn from the core's events which workers run tasks and which fail."""
        if isinstance(event, TasksListed):
            watched = self._watched.get(event.worker)
            if watched is not None:
                tasks = event.report.tasks
                watched.runs_tasks = any(
                    parse_claim_name(each.task) is None for each in tasks
                )
        elif isinstance(event, StartsReplied):
            watched = self._watched.get(event.worker)
            if watched is not None:
                starts = event.statuses
                watched.runs_tasks |= any(
                    parse_claim_name(each) is None for each in starts
                )
        elif isinstance(event, StartsFailed | WorkerFailed):
            await self.disturb(event.worker)

    async def disturb(self, name: str) -> None:
        """Poll in short steps again: the core may wait for the end of a poll."""
        watched = self._watched.get(name)
        if watched is None:
            return
        watched.unsteady_since_s = time.monotonic()
        if not watched.polls_long:
            return
        watched.polls_long = False
        for key, tasks in self._tasks.items():
            if key[0] == name:
                await tasks[0].cancel(blocking=False)
                tasks[0] = await curio.spawn(self._poll_events, *key, daemon=True)

    async def _poll_events(self, name: str, address: str) -> None:
        watched = self._watched[name]
        while True:
            try:
                watched.polls_long = watched.is_idle(self._steady_s)
                wait_ms = IDLE_WAIT_MS if watched.polls_long else self.wait_ms
                events = await watched.poll.next_events(wait_ms)
                watched.polls_long = False
                # A poll that is cut short must not lose events it has taken.
                async with curio.disable_cancellation():
                    for event in events:
                        await self._feed(event)
            except WorkerError as fault:
                self._telemetry.metrics.count("worker.poll_failed")
                self._telemetry.log.debug(
                    "events_not_read", worker=name, reason=str(fault)
                )
                await curio.sleep(RETRY_S)

    async def _poll_usage(self, name: str, address: str) -> None:
        # Spread over the interval, or all workers would be asked in one loop turn.
        await curio.sleep(random.random() * USAGE_S)
        watched = self._watched[name]
        while True:
            if not watched.runs_tasks:
                await curio.sleep(USAGE_S)
                continue
            try:
                usages = await self._client.usage(address)
                if usages:
                    await self._feed(UsageReported(name, usages))
            except WorkerError as fault:
                self._telemetry.log.debug(
                    "usage_not_read", worker=name, reason=str(fault)
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

    async def _pass_damaged(self, damaged: TerminatedTask) -> list[Event]:
        """Ask again for an answer that was not whole, or give it up."""
        self._asks += 1
        if self._asks < MAX_ASKS:
            await curio.sleep(ASK_AGAIN_S)
            return []
        self._asks = 0
        self._after = damaged.sequence
        return [self._event(damaged)]

    def _event(self, ended: TerminatedTask) -> TaskTerminated:
        return TaskTerminated(self._name, ended.task, ended.status, ended.answer)
