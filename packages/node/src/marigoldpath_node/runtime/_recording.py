"""Records the inputs of a scheduler in a trace."""

from collections.abc import Callable
from typing import Any

from marigoldpath_core.configuration import Configuration
from marigoldpath_core.leadership import LeaderIdentity
from marigoldpath_core.messages import Effect, Event
from marigoldpath_core.replay import (
    ConfigurationApplied,
    DrainBegun,
    TracedEvent,
    TraceHeader,
    event_lines,
    header_line,
    trace_effects,
    trace_exception,
)
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

from ..observability import TraceWriter
from ._clock import clock_ms
from ._scheduler import Scheduler


class RecordingScheduler:
    """Wraps a scheduler and writes each event and its effects' digest to a trace."""

    def __init__(
        self,
        scheduler: Scheduler,
        writer: TraceWriter,
        settings: DaemonSettings,
        incarnation: str,
    ) -> None:
        self._scheduler = scheduler
        self._writer = writer
        writer.write((header_line(TraceHeader(incarnation, settings)),))

    @property
    def leader(self) -> LeaderIdentity | None:
        """The zone's leader according to the leader row."""
        return self._scheduler.leader

    @property
    def epoch(self) -> int:
        """The epoch in which this host leads, 0 if it does not lead."""
        return self._scheduler.epoch

    @property
    def is_drained(self) -> bool:
        """Whether a drain has completed."""
        return self._scheduler.is_drained

    @property
    def workers_to_poll(self) -> frozenset[str]:
        """The workers whose task terminations this host must receive."""
        return self._scheduler.workers_to_poll

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads and decides on requests."""
        return self._scheduler.is_serving(now_ms)

    def wake_ms(self, now_ms: int) -> int:
        """Return when the next Tick is due."""
        return self._scheduler.wake_ms(now_ms)

    def handle(self, event: Event, now_ms: int) -> list[Effect]:
        """Process an event, record it, and return the effects to execute."""
        try:
            effects = self._scheduler.handle(event, now_ms)
        except Exception as error:
            self._record(trace_exception, now_ms, event, error)
            raise
        self._record(trace_effects, now_ms, event, effects)
        return effects

    def status(self, now_ms: int) -> dict[str, Any]:
        """Return the status for operators."""
        return self._scheduler.status(now_ms)

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        """Return the state of a request, or None if it is unknown."""
        return self._scheduler.request_state(key)

    def day_record(self, now_ms: int) -> DayRecord:
        """Return today's statistics of this leader."""
        return self._scheduler.day_record(now_ms)

    def configure(self, configuration: Configuration) -> None:
        """Make a configuration active."""
        self._record(TracedEvent, clock_ms(), ConfigurationApplied(configuration))
        self._scheduler.configure(configuration)

    def drain(self) -> None:
        """Begin a graceful stop."""
        self._record(TracedEvent, clock_ms(), DrainBegun())
        self._scheduler.drain()

    def _record(self, make: Callable[..., TracedEvent], *parts: Any) -> None:
        """Write an event; one without a JSON form ends the trace, not the daemon."""
        if not self._writer.is_open:
            return
        try:
            lines = event_lines(make(*parts))
        except (AttributeError, LookupError, TypeError, ValueError) as error:
            self._writer.close(f"an event has no JSON form: {error!r}")
            return
        self._writer.write(lines)
