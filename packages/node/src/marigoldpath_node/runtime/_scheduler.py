"""The interface of the scheduler that the runtime drives."""

from typing import Any, Protocol

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.leadership import LeaderIdentity
from marigoldpath_core.messages import Effect, Event
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import RequestKey


class Scheduler(Protocol):
    """The scheduler of one zone; see marigoldpath_core.scheduler.ZoneScheduler."""

    @property
    def leader(self) -> LeaderIdentity | None:
        """The zone's leader according to the leader row."""

    @property
    def epoch(self) -> int:
        """The epoch in which this host leads, 0 if it does not lead."""

    @property
    def is_drained(self) -> bool:
        """Whether a drain has completed."""

    @property
    def workers_to_poll(self) -> frozenset[str]:
        """The workers whose task terminations this host must receive."""

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads and decides on requests."""

    def wake_ms(self, now_ms: int) -> int:
        """Return when the next Tick is due."""

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Process an event and return the effects to execute."""

    def status(self, now_ms: int) -> dict[str, Any]:
        """Return the status for operators."""

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request, or None if it is unknown."""

    def day_record(self, now_ms: int) -> DayRecord:
        """Return today's statistics of this leader."""

    def configure(self, configuration: Configuration) -> None:
        """Make a configuration active."""

    def drain(self) -> None:
        """Accept no new requests and release leadership once nothing is in flight."""
