"""The dependencies of effect handlers."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marigoldpath_core.messages import Event, SendOutcome

from ..observability import Telemetry
from ..platform import PlatformClient
from ..workers import WorkerClient


class OutcomeReceiver(Protocol):
    """Delivers outcomes to the entry hosts that wait for them."""

    async def deliver(self, effect: SendOutcome) -> bool:
        """Return whether the origin accepted the outcome."""


class EffectContext(NamedTuple):
    """Clients and callbacks; `address_of` raises KeyError for an unknown worker.

    `feed` processes an event in the scheduler.
    """

    platform: PlatformClient
    workers: WorkerClient
    outcomes: OutcomeReceiver
    telemetry: Telemetry
    feed: Callable[[Event], Awaitable[None]]
    address_of: Callable[[str], str]
