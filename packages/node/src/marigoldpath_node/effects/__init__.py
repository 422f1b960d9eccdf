"""Executes the scheduler's effects and feeds back the resulting events."""

from . import _log, _platform, _workers  # noqa: F401  (fill the registry)
from ._context import EffectContext, OutcomeReceiver
from ._executor import EffectExecutor
from ._registry import EffectHandler, handles

__all__ = [
    "EffectContext",
    "EffectExecutor",
    "EffectHandler",
    "OutcomeReceiver",
    "handles",
]
