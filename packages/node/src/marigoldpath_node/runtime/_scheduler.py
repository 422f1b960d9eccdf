"""What the runtime needs of the core object."""

from typing import Any, Protocol

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.messages import Effect, Event
from marigoldpath_core.requests import RequestKey


class Scheduler(Protocol):
    """The core of one zone; see marigoldpath_core.scheduler.ZoneScheduler."""

    @property
    def serving(self) -> bool:
        """Whether it leads the zone and serves."""

    @property
    def leader(self) -> tuple[str, str, int] | None:
        """Host, address and epoch of the zone's leader."""

    @property
    def is_drained(self) -> bool:
        """Whether nothing that it started is in flight any more."""

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take in an event and return the effects to perform."""

    def status(self) -> dict[str, Any]:
        """Return what operators ask about."""

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request."""

    def configure(self, configuration: Configuration) -> Any:
        """Put a configuration into force."""

    def drain(self) -> Any:
        """Stop admitting."""
