"""Performs what the scheduler asks for: orders to workers, questions, log lines."""

from typing import Any, Protocol

import curio

from marigoldpath_core.fleet import (
    AdviceReplied,
    Effect,
    Event,
    LogEvent,
    RequestAdvice,
    StartRun,
    StopRun,
    ThrottleRun,
)
from marigoldpath_core.jobs import TaskKey
from marigoldpath_core.registry import Registry

from ._clock import now_s
from ._followers import Helpers
from ._ports import FencedError, Surroundings, WorkerFailedError
from ._settings import CellSettings

performers: Registry = Registry("fleet effect")


class Term(Protocol):
    """The term of leadership that orders belong to."""

    @property
    def epoch(self) -> int:
        """The epoch that orders carry."""
        ...

    async def handle(self, event: Event) -> None:
        """Pass an outcome to the scheduler."""
        ...

    async def end(self, reason: str) -> None:
        """End the term."""
        ...

    async def spawn(self, function: Any, *arguments: Any) -> None:
        """Run a function beside the loops."""
        ...


class Orders:
    """Sends each effect on its way, a bounded number at a time to each worker."""

    def __init__(
        self,
        settings: CellSettings,
        surroundings: Surroundings,
        helpers: Helpers,
        term: Term,
    ) -> None:
        self._settings = settings
        self._workers = surroundings.workers
        self._metrics = surroundings.metrics
        self._log = surroundings.log
        self._helpers = helpers
        self._term = term
        self._gates: dict[str, curio.Semaphore] = {}

    async def perform(self, effect: Effect) -> None:
        """Begin to carry out an effect."""
        await performers.get(type(effect))(self, effect)

    @performers.register(StartRun)
    async def _perform_start(self, order: StartRun) -> None:
        await self._term.spawn(self._start, order)

    @performers.register(StopRun)
    async def _perform_stop(self, order: StopRun) -> None:
        await self._term.spawn(self._order, order.worker_id, self._workers.stop, order)

    @performers.register(ThrottleRun)
    async def _perform_pace(self, order: ThrottleRun) -> None:
        await self._term.spawn(self._order, order.worker_id, self._workers.pace, order)

    @performers.register(RequestAdvice)
    async def _perform_question(self, question: RequestAdvice) -> None:
        await self._term.spawn(self._ask, question)

    @performers.register(LogEvent)
    async def _perform_note(self, note: LogEvent) -> None:
        self._metrics.count_decision(note.event)
        if note.event == "run_ended":
            self._metrics.count_end(str(note.fields["kind"]))
        self._log.info(note.event, **note.fields)

    def forget(self, worker_id: str) -> None:
        """Drop what is kept of a worker that is gone."""
        self._gates.pop(worker_id, None)

    def _gate(self, worker_id: str) -> curio.Semaphore:
        gate = self._gates.get(worker_id)
        if gate is None:
            gate = curio.Semaphore(self._settings.orders_per_worker)
            self._gates[worker_id] = gate
        return gate

    async def _start(self, order: StartRun) -> None:
        async with self._gate(order.worker_id):
            started_s = now_s()
            answer = await self._workers.start(order, self._term.epoch)
        self._metrics.observe_call("start", now_s() - started_s)
        await self._term.handle(answer)

    async def _order(self, worker_id: str, call: Any, order: Any) -> None:
        try:
            async with self._gate(worker_id):
                answer = await call(order, self._term.epoch)
            if answer is not None:
                await self._term.handle(answer)
        except FencedError:
            await self._term.end(f"worker {worker_id} has seen a later epoch")
        except WorkerFailedError as fault:
            # The next list shows whether the order was carried out.
            self._log.info("order_failed", worker=worker_id, reason=repr(fault))

    async def _ask(self, question: RequestAdvice) -> None:
        asked_s = now_s()
        step = TaskKey(question.job_id, question.occurrence, question.step, 0)
        tickets = await self._helpers.ask(step, question.workers, question.cost_ms)
        self._metrics.observe_call("advice", now_s() - asked_s)
        answer = AdviceReplied(*question[:4], tickets, asked_s * 1000)
        await self._term.handle(answer)
