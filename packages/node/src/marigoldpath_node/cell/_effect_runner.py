"""Executes the scheduler's effects: commands to workers, advice requests, log lines."""

from collections import Counter
from functools import partial
from typing import Any, Protocol

import curio

from marigoldpath_core.fleet import (
    AdviceReplied,
    Effect,
    Event,
    LogEvent,
    RequestAdvice,
    StartReplied,
    StartResult,
    StartRun,
    StopRun,
    ThrottleRun,
)
from marigoldpath_core.jobs import TaskKey
from marigoldpath_core.registry import Registry

from ._clock import now_s
from ._command_queue import CommandQueue
from ._followers import Followers
from ._ports import CellDependencies, FencedError, WorkerFailedError
from ._relayed_workers import RelayedWorkerClient
from ._settings import CellSettings

effect_handlers: Registry = Registry("fleet effect")
# An event with so many effects is logged.
MANY_EFFECTS = 1_000
# Other tasks run after this number of effects. A scheduling pass has fewer, because its
# starts would expire while a busy loop takes its turns.
EFFECTS_PER_TURN = 2_000


class LeadershipTerm(Protocol):
    """The term of leadership in which commands are sent."""

    @property
    def epoch(self) -> int:
        """The epoch that each command carries."""
        ...

    async def handle(self, event: Event) -> None:
        """Pass an event to the scheduler."""
        ...

    def is_fenced(self, worker_id: str, restarts: int) -> bool:
        """Return whether the refusal of a command shows a leader of a later epoch."""
        ...

    async def end(self, reason: str) -> None:
        """End the term."""
        ...

    async def spawn(self, function: Any, *arguments: Any) -> None:
        """Run a coroutine function as a curio task until the term ends."""
        ...


class EffectRunner:
    """Executes effects without waiting for the replies to them."""

    def __init__(
        self,
        settings: CellSettings,
        dependencies: CellDependencies,
        workers: RelayedWorkerClient,
        followers: Followers,
        term: LeadershipTerm,
    ) -> None:
        self._workers = workers
        self._queue = CommandQueue(term.spawn, workers.max_commands_in_flight)
        self._max_start_wait_s = settings.fleet.start_window_ms / 1_000
        self._metrics = dependencies.metrics
        self._log = dependencies.log
        self._followers = followers
        self._term = term

    async def run(self, effects: list[Effect], cause: str) -> None:
        """Execute the effects of an event or a scheduling pass.

        Other tasks run in between if there are very many. Those of later events may
        then be executed before the last ones of this one, which workers tolerate: a run
        that is stopped before its start arrives never begins.
        """
        if len(effects) >= MANY_EFFECTS:
            counts = Counter(type(effect).__name__ for effect in effects)
            self._log.warning("many_effects", cause=cause, **counts)
        for number, effect in enumerate(effects, 1):
            await self.execute(effect)
            if number % EFFECTS_PER_TURN == 0:
                await curio.sleep(0)

    async def execute(self, effect: Effect) -> None:
        """Start to execute an effect; do not wait for replies."""
        await effect_handlers.get(type(effect))(self, effect)

    @effect_handlers.register(StartRun)
    async def _handle_start(self, command: StartRun) -> None:
        send = partial(self._send_start, command, now_s())
        await self._queue.add(command.worker_id, send)

    @effect_handlers.register(StopRun)
    async def _handle_stop(self, command: StopRun) -> None:
        await self._queue_command(command, self._workers.stop)

    @effect_handlers.register(ThrottleRun)
    async def _handle_throttle(self, command: ThrottleRun) -> None:
        await self._queue_command(command, self._workers.throttle)

    async def _queue_command(self, command: StopRun | ThrottleRun, call: Any) -> None:
        send = partial(self._send_command, command.worker_id, call, command)
        await self._queue.add(command.worker_id, send, command)

    @effect_handlers.register(RequestAdvice)
    async def _handle_advice_request(self, request: RequestAdvice) -> None:
        await self._term.spawn(self._request_advice, request)

    @effect_handlers.register(LogEvent)
    async def _handle_log_event(self, log_event: LogEvent) -> None:
        self._metrics.count_decision(log_event.event)
        if log_event.event == "run_ended":
            self._metrics.count_termination(str(log_event.fields["kind"]))
        self._log.info(log_event.event, **log_event.fields)

    async def _send_start(self, command: StartRun, queued_s: float) -> None:
        started_s = now_s()
        if started_s - queued_s > self._max_start_wait_s:
            # The worker would refuse it by its time limit.
            expired = StartReplied(
                command.worker_id, command.task, command.run, StartResult.EXPIRED
            )
            await self._term.handle(expired._replace(restarts=command.restarts))
            return
        reply = await self._workers.start(command, self._term.epoch)
        self._metrics.observe_call("start", now_s() - started_s)
        await self._term.handle(reply._replace(restarts=command.restarts))

    async def _send_command(self, worker_id: str, call: Any, command: Any) -> None:
        try:
            reply = await call(command, self._term.epoch)
            if reply is not None:
                await self._term.handle(reply._replace(restarts=command.restarts))
        except FencedError:
            if self._term.is_fenced(worker_id, command.restarts):
                await self._term.end(f"worker {worker_id} has seen a later epoch")
        except WorkerFailedError as error:
            # The worker's next report shows whether the command was executed.
            self._log.info("order_failed", worker=worker_id, reason=repr(error))

    async def _request_advice(self, request: RequestAdvice) -> None:
        sent_s = now_s()
        step = TaskKey(request.job_id, request.occurrence, request.step, 0)
        tickets = await self._followers.request_advice(
            step, request.workers, request.cost_ms
        )
        self._metrics.observe_call("advice", now_s() - sent_s)
        reply = AdviceReplied(*request[:4], tickets, sent_s * 1000)
        await self._term.handle(reply)
