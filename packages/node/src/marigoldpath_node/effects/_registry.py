"""The registry of functions that perform effects."""

from collections.abc import Awaitable, Callable
from typing import Any

from marigoldpath_core.registry import Registry

from ._context import EffectContext

Perform = Callable[[EffectContext, Any], Awaitable[None]]


class Performance:
    """How effects of one type are performed.

    Effects of one type to one target share a lane, in which at most `limit` are in
    flight; 0 performs them at once, for functions that do not wait. `target` gives
    the lane's name from an effect.
    """

    def __init__(
        self, perform: Perform, limit: int, target: Callable[[Any], str]
    ) -> None:
        self.limit = limit
        self.target = target
        self._perform = perform

    async def __call__(self, context: EffectContext, effect: Any) -> None:
        """Perform an effect."""
        await self._perform(context, effect)


PERFORMANCES: Registry[type, Performance] = Registry("performance of effect")


def performs(
    effect_type: type, limit: int = 4, target: Callable[[Any], str] = lambda _: ""
) -> Callable[[Perform], Perform]:
    """Return a decorator that registers a function for effects of a type."""

    def decorate(perform: Perform) -> Perform:
        PERFORMANCES.register(effect_type)(Performance(perform, limit, target))
        return perform

    return decorate
