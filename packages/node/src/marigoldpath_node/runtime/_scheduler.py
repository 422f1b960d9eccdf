"""What the runtime needs of the core object."""

from typing import Any, Protocol

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.leadership import LeaderIdentity
from marigoldpath_core.messages import Effect, Event
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import RequestKey


class Scheduler(Protocol):
    """The core of one zone; see marigoldpath_core.scheduler.ZoneScheduler."""

    @property
    def leader(self) -> LeaderIdentity | None:
        """The zone's leader according to its row."""

    @property
    def epoch(self) -> int:
        """The epoch that this host leads in, 0 when it does not lead."""

    @property
    def is_drained(self) -> bool:
        """Whether a drain has come to its end."""

    @property
    def workers_to_poll(self) -> frozenset[str]:
        """The workers whose ends this host has to learn."""

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads and decides on requests."""

    def wake_ms(self, now_ms: int) -> int:
        """Return when the next Tick is due."""

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Take in an event and return the effects to perform."""

    def status(self, now_ms: int) -> dict[str, Any]:
        """Return what operators ask about."""

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request."""

    def day_record(self, now_ms: int) -> DayRecord:
        """Return what this leader counted today."""

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration into force."""

    def drain(self) -> None:
        """Take no new requests and give leadership up when nothing is in flight."""
