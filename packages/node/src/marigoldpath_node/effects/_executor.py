"""Runs effects beside each other, bounded in number for each target."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import curio

from marigoldpath_core.messages import Effect, StartTasks

from ._context import EffectContext
from ._registry import PERFORMANCES, Performance

# The starts of one POST; bounds the time that a worker is busy with one message.
MAX_STARTS = 200


class _Lane:
    def __init__(self, performance: Performance) -> None:
        self.performance = performance
        self.waiting: deque[Any] = deque()
        self.running = 0


class Performer:
    """Performs effects in curio tasks, so that a slow target holds up no other."""

    def __init__(self, context: EffectContext) -> None:
        self._context = context
        self._lanes: dict[tuple[type, str], _Lane] = {}
        self._ready: deque[tuple[tuple[type, str], _Lane]] = deque()
        self._dispatching = False
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Effects that wait or are being performed."""
        waiting = sum(len(lane.waiting) for lane in self._lanes.values())
        return self._in_flight + waiting

    async def submit(self, effects: Iterable[Effect]) -> None:
        """Take effects; those of this loop turn are begun in the next one."""
        for effect in effects:
            performance = PERFORMANCES.get(type(effect))
            if performance.limit == 0:
                await self._perform(performance, effect)
            else:
                self._enqueue(performance, effect)
        if self._ready and not self._dispatching:
            self._dispatching = True
            await curio.spawn(self._dispatch, daemon=True)

    def _enqueue(self, performance: Performance, effect: Effect) -> None:
        key = (type(effect), performance.target(effect))
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = _Lane(performance)
        lane.waiting.append(effect)
        self._ready.append((key, lane))

    async def _dispatch(self) -> None:
        self._dispatching = False
        ready, self._ready = self._ready, deque()
        for key, lane in ready:
            if not lane.waiting or lane.running >= lane.performance.limit:
                continue
            lane.running += 1
            self._in_flight += 1
            await curio.spawn(self._run, key, lane, _take(lane), daemon=True)

    async def _run(self, key: tuple[type, str], lane: _Lane, effect: Any) -> None:
        try:
            await self._perform(lane.performance, effect)
            while lane.waiting:
                await self._perform(lane.performance, _take(lane))
        finally:
            lane.running -= 1
            self._in_flight -= 1
            if lane.running == 0 and not lane.waiting:
                self._lanes.pop(key, None)

    async def _perform(self, performance: Performance, effect: Any) -> None:
        try:
            await performance(self._context, effect)
        except Exception:
            # One effect that fails in an unforeseen way must not end the others.
            self._context.telemetry.log.error(
                "effect_failed", effect=type(effect).__name__, exc_info=True
            )


def _take(lane: _Lane) -> Any:
    """Return the next effect, starts merged with those behind it."""
    effect = lane.waiting.popleft()
    if not isinstance(effect, StartTasks):
        return effect
    starts = list(effect.starts)
    while lane.waiting:
        following = lane.waiting[0]
        if following.holder != effect.holder:
            break
        if len(starts) + len(following.starts) > MAX_STARTS:
            break
        starts.extend(lane.waiting.popleft().starts)
    return effect._replace(starts=tuple(starts))
