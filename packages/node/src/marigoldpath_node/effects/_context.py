"""What the functions that perform effects may use."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from marigoldpath_core.messages import Event, SendOutcome

from ..observability import Telemetry
from ..platform import PlatformClient
from ..workers import WorkerClient


class OutcomeReceiver(Protocol):
    """Brings outcomes to the entry hosts that wait for them."""

    async def deliver(self, effect: SendOutcome) -> bool:
        """Return whether the origin took the outcome."""


class EffectContext(NamedTuple):
    """Clients and callbacks; `address_of` raises KeyError for an unknown worker."""

    platform: PlatformClient
    workers: WorkerClient
    outcomes: OutcomeReceiver
    telemetry: Telemetry
    feed: Callable[[Event], Awaitable[None]]
    address_of: Callable[[str], str]
