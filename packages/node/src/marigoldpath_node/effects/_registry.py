"""The registry of effect handlers."""

from collections.abc import Awaitable, Callable
from typing import Any

from marigoldpath_core.registry import Registry

from ._context import EffectContext

HandlerFunction = Callable[[EffectContext, Any], Awaitable[None]]


class EffectHandler:
    """Executes effects of one type.

    Effects of one type with the same target share a queue, from which at most `limit`
    are in flight. With a limit of 0 an effect is executed immediately, for functions
    that do not wait. `target` returns the target of an effect.
    """

    def __init__(
        self, function: HandlerFunction, limit: int, target: Callable[[Any], str]
    ) -> None:
        self.limit = limit
        self.target = target
        self._function = function

    async def __call__(self, context: EffectContext, effect: Any) -> None:
        """Execute an effect."""
        await self._function(context, effect)


EFFECT_HANDLERS: Registry[type, EffectHandler] = Registry("effect handler")


def handles(
    effect_type: type, limit: int = 4, target: Callable[[Any], str] = lambda _: ""
) -> Callable[[HandlerFunction], HandlerFunction]:
    """Return a decorator that registers a function as the handler of an effect type."""

    def decorate(function: HandlerFunction) -> HandlerFunction:
        EFFECT_HANDLERS.register(effect_type)(EffectHandler(function, limit, target))
        return function

    return decorate
