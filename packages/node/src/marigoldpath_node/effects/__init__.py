"""Performs the core's effects and feeds back the events that answer them."""

from ._context import EffectContext, OutcomeReceiver
from ._performer import Performer
from ._registry import Performance, performs
from . import _log, _platform, _workers  # noqa: F401, I001  (fill the registry)

__all__ = [
    "EffectContext",
    "OutcomeReceiver",
    "Performance",
    "Performer",
    "performs",
]
