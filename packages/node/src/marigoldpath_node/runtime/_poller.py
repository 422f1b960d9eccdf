"""Polls workers for events and resource usage while this host leads."""

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

# The scheduler places tasks on a worker, and decides about tasks that the worker does
# not report, only when a poll has completed, so an idle poll must be short. With many
# workers it may be longer, which limits idle polls to 100 per second.
MIN_WAIT_MS = 500
MAX_WAIT_MS = 5_000
WAIT_MS_PER_WORKER = 10
# No decision waits for a poll of a worker that runs no tasks, has replied to every
# message and has been claimed for some time, so its polls may be longer.
IDLE_WAIT_MS = 20_000
STEADY_PERIOD_S = 5.0
# A claim waits for an earlier claim to expire and then for its own to take effect. Each
# step takes one lease.
CLAIM_SETTLE_LEASES = 2
USAGE_INTERVAL_S = 2.0
RETRY_DELAY_S = 0.5
# An answer that was corrupted in transit is read again. The number of reads is limited,
# because an answer that is corrupted on the worker would otherwise block later events.
MAX_ANSWER_READS = 5
REREAD_DELAY_S = 0.05

Feed = Callable[[Event], Awaitable[None]]


class _WorkerState:
    """The event position of a worker and the facts that determine its poll duration."""

    def __init__(self, poll: "_EventsPoll") -> None:
        self.poll = poll
        self.runs_tasks = False
        self.disturbed_at_s = time.monotonic()
        self.in_long_poll = False

    def is_idle(self, steady_s: float) -> bool:
        """Return whether the worker may get a long poll."""
        steady_for_s = time.monotonic() - self.disturbed_at_s
        return not self.runs_tasks and steady_for_s >= steady_s


class WorkerPoller:
    """Runs one event poll and one usage poll per worker."""

    def __init__(
        self,
        client: WorkerClient,
        telemetry: Telemetry,
        feed: Feed,
        claim_lease_ms: int,
    ) -> None:
        self._steady_s = STEADY_PERIOD_S + CLAIM_SETTLE_LEASES * claim_lease_ms / 1_000
        self._client = client
        self._telemetry = telemetry
        self._feed = feed
        self._tasks: dict[tuple[str, str], list[curio.Task]] = {}
        self._states: dict[str, _WorkerState] = {}

    @property
    def workers(self) -> list[str]:
        """The names of the workers that are polled."""
        return [name for name, _ in self._tasks]

    @property
    def wait_ms(self) -> int:
        """The duration of a short poll that returns no events."""
        wait_ms = len(self._tasks) * WAIT_MS_PER_WORKER
        return min(MAX_WAIT_MS, max(MIN_WAIT_MS, wait_ms))

    async def set_workers(self, wanted: set[tuple[str, str]]) -> None:
        """Start and cancel polls so that exactly these workers are polled."""
        for key in list(self._tasks):
            if key not in wanted:
                for task in self._tasks.pop(key):
                    await task.cancel(blocking=False)
        names = {name for name, _ in wanted}
        for name in [name for name in self._states if name not in names]:
            del self._states[name]
        for key in wanted:
            if key not in self._tasks:
                self._states[key[0]] = _WorkerState(_EventsPoll(self._client, *key))
                self._tasks[key] = [
                    await curio.spawn(self._poll_events, *key, daemon=True),
                    await curio.spawn(self._poll_usage, *key, daemon=True),
                ]

    async def observe_effects(self, effects: list[Effect]) -> None:
        """Use short polls for workers whose tasks the scheduler lists.

        It lists them while it has no claim on the worker or does not know whether the
        worker received a start command.
        """
        for effect in effects:
            if isinstance(effect, ListTasks):
                await self.use_short_polls(effect.worker)

    async def observe_event(self, event: Event) -> None:
        """Record from an event whether a worker runs tasks or has failed to reply."""
        if isinstance(event, TasksListed):
            state = self._states.get(event.worker)
            if state is not None:
                tasks = event.report.tasks
                state.runs_tasks = any(
                    parse_claim_name(each.task) is None for each in tasks
                )
        elif isinstance(event, StartsReplied):
            state = self._states.get(event.worker)
            if state is not None:
                starts = event.statuses
                state.runs_tasks |= any(
                    parse_claim_name(each) is None for each in starts
                )
        elif isinstance(event, StartsFailed | WorkerFailed):
            await self.use_short_polls(event.worker)

    async def use_short_polls(self, name: str) -> None:
        """Return to short polls, because the scheduler may wait for one to complete."""
        state = self._states.get(name)
        if state is None:
            return
        state.disturbed_at_s = time.monotonic()
        if not state.in_long_poll:
            return
        state.in_long_poll = False
        for key, tasks in self._tasks.items():
            if key[0] == name:
                await tasks[0].cancel(blocking=False)
                tasks[0] = await curio.spawn(self._poll_events, *key, daemon=True)

    async def _poll_events(self, name: str, address: str) -> None:
        state = self._states[name]
        while True:
            try:
                state.in_long_poll = state.is_idle(self._steady_s)
                wait_ms = IDLE_WAIT_MS if state.in_long_poll else self.wait_ms
                events = await state.poll.next_events(wait_ms)
                state.in_long_poll = False
                # A cancelled poll must not lose events that it has received.
                async with curio.disable_cancellation():
                    for event in events:
                        await self._feed(event)
            except WorkerError as error:
                self._telemetry.metrics.count("worker.poll_failed")
                self._telemetry.log.debug(
                    "events_not_read", worker=name, reason=str(error)
                )
                await curio.sleep(RETRY_DELAY_S)

    async def _poll_usage(self, name: str, address: str) -> None:
        # The polls are spread over the interval; otherwise all of them would run in the
        # same iteration of the event loop.
        await curio.sleep(random.random() * USAGE_INTERVAL_S)
        state = self._states[name]
        while True:
            if not state.runs_tasks:
                await curio.sleep(USAGE_INTERVAL_S)
                continue
            try:
                usages = await self._client.usage(address)
                if usages:
                    await self._feed(UsageReported(name, usages))
            except WorkerError as error:
                self._telemetry.log.debug(
                    "usage_not_read", worker=name, reason=str(error)
                )
            await curio.sleep(USAGE_INTERVAL_S)


class _EventsPoll:
    """Reads the events of one worker in order."""

    def __init__(self, client: WorkerClient, name: str, address: str) -> None:
        self._client = client
        self._name = name
        self._address = address
        self._after = 0
        self._incarnation = ""
        self._answer_reads = 0

    async def next_events(self, wait_ms: int) -> list[Event]:
        """Wait for events and return them; raise WorkerError if the poll fails."""
        # The first poll does not wait, so that the worker can be used immediately.
        wait_ms = wait_ms if self._incarnation else 0
        events = await self._client.events(self._address, self._after, wait_ms)
        if self._incarnation and events.incarnation != self._incarnation:
            # A restarted worker numbers its events from the beginning.
            self._incarnation = ""
            self._after = 0
            return []
        self._incarnation = events.incarnation
        self._after = events.next
        terminated: list[Event] = [
            self._terminated_event(each) for each in events.terminated
        ]
        if events.corrupted is not None:
            return terminated + await self._reread_answer(events.corrupted)
        self._answer_reads = 0
        polled = EventsPolled(self._name, events.clock_ms, events.incarnation)
        return [*terminated, polled]

    async def _reread_answer(self, corrupted: TerminatedTask) -> list[Event]:
        """Read a corrupted answer again, or report the task without its answer."""
        self._answer_reads += 1
        if self._answer_reads < MAX_ANSWER_READS:
            await curio.sleep(REREAD_DELAY_S)
            return []
        self._answer_reads = 0
        self._after = corrupted.sequence
        return [self._terminated_event(corrupted)]

    def _terminated_event(self, terminated: TerminatedTask) -> TaskTerminated:
        return TaskTerminated(
            self._name, terminated.task, terminated.status, terminated.answer
        )
