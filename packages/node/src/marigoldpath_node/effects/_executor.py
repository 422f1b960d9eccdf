"""Executes effects concurrently, with a limit for each target."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import curio

from marigoldpath_core.messages import Effect, StartTasks

from ._context import EffectContext
from ._registry import EFFECT_HANDLERS, EffectHandler

# Limits the time that a worker spends on one message.
MAX_STARTS_PER_POST = 200


class _EffectQueue:
    def __init__(self, handler: EffectHandler) -> None:
        self.handler = handler
        self.waiting: deque[Any] = deque()
        self.running = 0


class EffectExecutor:
    """Executes effects in curio tasks, so that a slow target does not delay others."""

    def __init__(self, context: EffectContext) -> None:
        self._context = context
        self._queues: dict[tuple[type, str], _EffectQueue] = {}
        self._ready: deque[tuple[tuple[type, str], _EffectQueue]] = deque()
        self._dispatching = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """The number of effects that are queued or being executed."""
        waiting = sum(len(queue.waiting) for queue in self._queues.values())
        return self._in_flight + waiting

    async def submit(self, effects: Iterable[Effect]) -> None:
        """Queue effects; those queued in one event-loop iteration start in the next."""
        for effect in effects:
            handler = EFFECT_HANDLERS.get(type(effect))
            if handler.limit == 0:
                await self._execute(handler, effect)
            else:
                self._enqueue(handler, effect)
        if self._ready and not self._dispatching:
            self._dispatching = True
            await curio.spawn(self._dispatch, daemon=True)

    def _enqueue(self, handler: EffectHandler, effect: Effect) -> None:
        key = (type(effect), handler.target(effect))
        queue = self._queues.get(key)
        if queue is None:
            queue = self._queues[key] = _EffectQueue(handler)
        queue.waiting.append(effect)
        self._ready.append((key, queue))

    async def _dispatch(self) -> None:
        self._dispatching = False
        ready, self._ready = self._ready, deque()
        for key, queue in ready:
            if not queue.waiting or queue.running >= queue.handler.limit:
                continue
            queue.running += 1
            self._in_flight += 1
            await curio.spawn(self._run, key, queue, _next_effect(queue), daemon=True)

    async def _run(
        self, key: tuple[type, str], queue: _EffectQueue, effect: Any
    ) -> None:
        try:
            await self._execute(queue.handler, effect)
            while queue.waiting:
                await self._execute(queue.handler, _next_effect(queue))
        finally:
            queue.running -= 1
            self._in_flight -= 1
            if queue.running == 0 and not queue.waiting:
                self._queues.pop(key, None)

    async def _execute(self, handler: EffectHandler, effect: Any) -> None:
        try:
            await handler(self._context, effect)
        except Exception:
            # An unexpected error in one effect must not stop the others.
            self._context.telemetry.log.error(
                "effect_failed", effect=type(effect).__name__, exc_info=True
            )


def _next_effect(queue: _EffectQueue) -> Any:
    """Return the next effect; start commands are merged with those queued after it."""
    effect = queue.waiting.popleft()
    if not isinstance(effect, StartTasks):
        return effect
    starts = list(effect.starts)
    while queue.waiting:
        following = queue.waiting[0]
        if following.holder != effect.holder:
            break
        if len(starts) + len(following.starts) > MAX_STARTS_PER_POST:
            break
        starts.extend(queue.waiting.popleft().starts)
    return effect._replace(starts=tuple(starts))
