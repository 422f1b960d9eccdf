"""The state of a zone's scheduler, shared by its event handlers."""

from collections import deque
from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.admission import AdmissionQueue
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.estimates import Estimates
from marigoldpath_core.health import WorkerHealth
from marigoldpath_core.journal import Intent, Journal
from marigoldpath_core.leadership import Leadership
from marigoldpath_core.messages import (
    Effect,
    EntryHost,
    Log,
    Start,
    StartTasks,
    WorkerHost,
)
from marigoldpath_core.placement import Workers
from marigoldpath_core.registry import Registry
from marigoldpath_core.report import DailyStatistics
from marigoldpath_core.request_state import RequestIndex, RequestState
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

event_handlers: Registry = Registry("scheduler event")
leadership_change_handlers: Registry = Registry("leadership change")


class ZonePhase(StrEnum):
    """The role of this host in its zone."""

    FOLLOWING = "following"
    RECOVERING = "recovering"
    SERVING = "serving"


class PendingEntryPurpose(StrEnum):
    """The action that follows when a journal entry has become durable."""

    ACCEPT = "accept"
    START = "start"


class PendingEntry(NamedTuple):
    """What to do with a request when its journal entry has become durable.

    `attempt` is the attempt to start, 0 for an acceptance.
    """

    purpose: PendingEntryPurpose
    key: RequestKey
    attempt: int


class UnresolvedRequest(NamedTuple):
    """A recorded request whose outcome is not in the journal."""

    state: RequestState
    intents: tuple[Intent, ...]


class WorkerObservation:
    """The latest state and clock that a worker reported to the leader.

    A worker is ready when its claim is held and all its terminations up to the time of
    the claim have been polled.
    """

    __slots__ = (
        "claimed_clock_ms",
        "clock_ms",
        "incarnation",
        "is_claimed",
        "polled_clock_ms",
        "polled_incarnation",
        "renewed_at_ms",
    )

    def __init__(self) -> None:
        self.is_claimed = False
        self.claimed_clock_ms = 0
        self.polled_clock_ms = -1
        self.polled_incarnation = ""
        self.incarnation = ""
        self.clock_ms = 0
        self.renewed_at_ms = 0

    @property
    def is_ready(self) -> bool:
        """Whether tasks may be placed on the worker."""
        return (
            self.is_claimed
            and self.polled_incarnation == self.incarnation
            and self.polled_clock_ms >= self.claimed_clock_ms
        )


class Zone:
    """The in-memory state of the leader of a zone."""

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self.settings = settings
        self.leadership = Leadership(settings, incarnation)
        self.configuration = Configuration(kinds=settings.kinds)
        self.hosts: dict[str, WorkerHost] = {}
        self.entry_hosts: tuple[EntryHost, ...] = ()
        self.phase = ZonePhase.FOLLOWING
        self.is_draining = False
        self.now_ms = 0
        self.quorum_since_ms: int | None = None
        self.effects: list[Effect] = []
        self._starts: dict[str, list[Start]] = {}
        self.kinds: dict[str, WorkKind] = {}
        self.counts: dict[str, int] = {}
        self.statistics = DailyStatistics(settings.availability_zone)
        self.clear()

    def clear(self) -> None:
        """Reset the state that belongs to one term of leadership."""
        scheduler = self.settings.scheduler
        self.journal = Journal(
            self.settings.journal,
            self.settings.availability_zone,
            self.settings.host,
        )
        self.request_index = RequestIndex(
            scheduler.finished_retention_ms, self.settings.journal.retention_ms
        )
        self.queue = AdmissionQueue(scheduler)
        self.workers = Workers()
        self.health = WorkerHealth(scheduler)
        self.estimates = Estimates()
        self.observations: dict[str, WorkerObservation] = {}
        self.pending_entries: dict[int, PendingEntry] = {}
        self.unresolved: dict[RequestKey, UnresolvedRequest] = {}
        self.quorum_since_ms = None
        self.awaiting_platform: list[RequestState] = []
        self.placeholder_terminations: deque[tuple[int, RequestKey]] = deque()
        self.delayed_restarts: list[tuple[int, RequestKey]] = []
        self.reserved_for: RequestKey | None = None
        self.preempted_at_ms: dict[RequestKey, int] = {}
        self.needs_dispatch = False
        self.wait_causes: dict[tuple[str, str], tuple[str, int]] = {}
        self._starts.clear()
        self.configure(self.configuration)
        for host in self.hosts.values():
            self.workers.add(host)

    def configure(self, configuration: Configuration) -> None:
        """Activate a configuration."""
        self.configuration = configuration
        self.kinds = {kind.name: kind for kind in configuration.kinds}
        self.queue.configure(configuration)
        self.needs_dispatch = True

    def observation(self, worker: str) -> WorkerObservation:
        """Return the latest observation of a worker."""
        return self.observations.setdefault(worker, WorkerObservation())

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host leads the zone and accepts requests now."""
        return self.phase is ZonePhase.SERVING and self.leadership.is_authorized(now_ms)

    def can_record(self, now_ms: int) -> bool:
        """Return whether the journal can write entries to the platform now."""
        return self.journal.available and self.leadership.is_confirmed(now_ms)

    def add_start(self, worker: str, start: Start) -> None:
        """Add a start to the next batch for its worker."""
        self._starts.setdefault(worker, []).append(start)

    def log(self, event: str, level: str = "info", **fields: Any) -> None:
        """Queue an effect that logs a decision and its reason."""
        self.effects.append(Log(event, fields, level))

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter of the status report."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def take_effects(self) -> list[Effect]:
        """Return and clear the pending effects, with one batch of starts per worker."""
        effects, self.effects = self.effects, []
        if self._starts:
            holder = self.settings.host
            effects.extend(
                StartTasks(worker, holder, tuple(starts))
                for worker, starts in self._starts.items()
            )
            self._starts = {}
        return effects
