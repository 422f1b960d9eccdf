"""Limits the starts in flight while the leader's process lags behind.

A worker refuses a start that arrives after its time limit. A leader that decides more
than its process can send in that time would send the same starts again and again, and
with each repetition fall further behind.
"""

import math

from marigoldpath_core.jobs import TaskKey

from ._rate import EventRate
from ._settings import FleetSettings

# The period over which the rate of starts is measured.
RATE_PERIOD_MS = 1_000
# The limit counts as the cause of a backlog for this time after it held back a task.
LIMITED_MS = 1_000


class StartLimit:
    """The starts without a reply, and how many there may be.

    The limit grows by a constant while the process keeps up and shrinks by a factor
    while it lags, so that it settles at what the process can send.
    """

    def __init__(self, settings: FleetSettings, now_ms: float) -> None:
        self._settings = settings
        self._limit = float(settings.max_starts_in_flight)
        self._in_flight: set[tuple[TaskKey, int]] = set()
        # Whether a start expired on its way since the last adjustment.
        self._has_expired = False
        self._start_rate = EventRate(RATE_PERIOD_MS, now_ms)
        # When tasks first and last waited because of the limit, without a pause.
        self._limited_since_ms = math.inf
        self._limited_ms = -math.inf

    @property
    def limit(self) -> int:
        """The number of starts that may be in flight."""
        return int(self._limit)

    @property
    def is_reached(self) -> bool:
        """Whether no further start may be sent now."""
        return len(self._in_flight) >= self.limit

    @property
    def is_lagging(self) -> bool:
        """Whether the process has not kept up lately, so that the limit is lowered."""
        return self._limit < self._settings.max_starts_in_flight

    @property
    def needs_relays(self) -> bool:
        """Whether the process lags so much that others should send its commands."""
        settings = self._settings
        return self._limit < settings.relay_limit_share * settings.max_starts_in_flight

    def is_queue_full(self, queued_tasks: int) -> bool:
        """Return whether this many waiting tasks will use the limit for a while.

        Some tasks have to be prepared ahead, because advice takes longer than a start.
        """
        if not self.is_lagging:
            return False
        return queued_tasks >= self._settings.start_queue_factor * self.limit

    def adjust(self, lag_ms: float) -> None:
        """Adapt the limit to the lag of the process since the last Tick.

        A start that expired shows that a relay or a link lags, as the process may not.
        """
        settings = self._settings
        has_expired, self._has_expired = self._has_expired, False
        if lag_ms > settings.max_lag_ms or has_expired:
            self._limit *= settings.start_limit_decrease
        elif lag_ms < settings.max_lag_ms / 2:
            self._limit += settings.start_limit_increase
        self._limit = min(
            max(self._limit, settings.min_starts_in_flight),
            settings.max_starts_in_flight,
        )

    def record_start(self, task: TaskKey, run: int) -> None:
        """Record that a start was sent."""
        self._in_flight.add((task, run))

    def record_expired(self) -> None:
        """Record that a worker refused a start because it arrived too late."""
        self._has_expired = True

    def record_started(self, now_ms: float) -> None:
        """Record that a worker executed a start."""
        self._start_rate.record(now_ms)

    def record_limited(self, now_ms: float) -> None:
        """Record that tasks wait because the limit is reached."""
        if now_ms - self._limited_ms > LIMITED_MS:
            self._limited_since_ms = now_ms
        self._limited_ms = now_ms

    def drain_ms(self, tasks: int, now_ms: float) -> float:
        """Return how long the leader's process will take to start this many tasks.

        The result is 0 unless the limit has held back tasks for so long that the rate
        of starts is known, so that a new leader refuses nothing while it catches up.
        """
        if now_ms - self._limited_ms > LIMITED_MS:
            return 0.0
        if now_ms - self._limited_since_ms < 2 * RATE_PERIOD_MS:
            return 0.0
        starts = tasks + len(self._in_flight)
        return 1_000 * starts / max(1.0, self._start_rate.per_second(now_ms))

    def record_reply(self, task: TaskKey, run: int) -> None:
        """Record the reply to a start, or that there will be none."""
        self._in_flight.discard((task, run))
