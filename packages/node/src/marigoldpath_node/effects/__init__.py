"""Performs the core's effects and feeds back the events that answer them."""

from . import _log, _platform, _workers  # noqa: F401  (fill the registry)
from ._context import EffectContext, OutcomeReceiver
from ._executor import Performer
from ._registry import Performance, performs

__all__ = [
    "EffectContext",
    "OutcomeReceiver",
    "Performance",
    "Performer",
    "performs",
]
