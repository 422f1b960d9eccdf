"""The state of a zone's scheduler, shared by its handlers."""

from collections import deque
from enum import StrEnum
from typing import Any, NamedTuple

from marigoldpath_core.admission import AdmissionQueue
from marigoldpath_core.configuration import Configuration, WorkKind
from marigoldpath_core.estimates import Estimates
from marigoldpath_core.health import WorkerHealth
from marigoldpath_core.journal import Intent, Journal
from marigoldpath_core.leadership import Leadership
from marigoldpath_core.ledger import Ledger, RequestState
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
from marigoldpath_core.requests import RequestKey
from marigoldpath_core.settings import DaemonSettings

handlers: Registry = Registry("scheduler event")
change_handlers: Registry = Registry("leadership change")


class ZonePhase(StrEnum):
    """What this host is doing for its zone."""

    FOLLOWING = "following"
    RECOVERING = "recovering"
    SERVING = "serving"


class TicketPurpose(StrEnum):
    """What waits for a journal entry to become durable."""

    ACCEPT = "accept"
    START = "start"


class Ticket(NamedTuple):
    """A journal entry that something waits for."""

    purpose: TicketPurpose
    key: RequestKey
    attempt: int


class Unresolved(NamedTuple):
    """A recorded request whose end the journal does not tell."""

    state: RequestState
    intents: tuple[Intent, ...]


class WorkerWatch:
    """What the leader knows of one worker's state and clock.

    A worker is ready when its claim has settled and all ends before that are known.
    """

    __slots__ = (
        "clock_ms",
        "held_clock_ms",
        "incarnation",
        "is_held",
        "polled_clock_ms",
        "polled_incarnation",
        "renewed_at_ms",
    )

    def __init__(self) -> None:
        self.is_held = False
        self.held_clock_ms = 0
        self.polled_clock_ms = -1
        self.polled_incarnation = ""
        self.incarnation = ""
        self.clock_ms = 0
        self.renewed_at_ms = 0

    @property
    def is_ready(self) -> bool:
        """Whether tasks may be placed on the worker."""
        return (
            self.is_held
            and self.polled_incarnation == self.incarnation
            and self.polled_clock_ms >= self.held_clock_ms
        )


class Zone:
    """Everything that the leader of a zone holds in memory."""

    def __init__(self, settings: DaemonSettings, incarnation: str) -> None:
        self.settings = settings
        self.leadership = Leadership(settings, incarnation)
        self.configuration = Configuration(kinds=settings.kinds)
        self.hosts: dict[str, WorkerHost] = {}
        self.entry_hosts: tuple[EntryHost, ...] = ()
        self.phase = ZonePhase.FOLLOWING
        self.is_draining = False
        self.now_ms = 0
        self.quorum_at_ms: int | None = None
        self.effects: list[Effect] = []
        self._starts: dict[str, list[Start]] = {}
        self.kinds: dict[str, WorkKind] = {}
        self.counts: dict[str, int] = {}
        self.day = DailyStatistics(settings.availability_zone)
        self.clear()

    def clear(self) -> None:
        """Forget everything that belongs to one term of leadership."""
        scheduler = self.settings.scheduler
        self.journal = Journal(
            self.settings.journal,
            self.settings.availability_zone,
            self.settings.host,
        )
        self.ledger = Ledger(
            scheduler.finished_retention_ms, self.settings.journal.retention_ms
        )
        self.queue = AdmissionQueue(scheduler)
        self.workers = Workers()
        self.health = WorkerHealth(scheduler)
        self.estimates = Estimates()
        self.watches: dict[str, WorkerWatch] = {}
        self.tickets: dict[int, Ticket] = {}
        self.unresolved: dict[RequestKey, Unresolved] = {}
        self.quorum_at_ms = None
        self.held_back: list[RequestState] = []
        self.unmatched_ends: deque[tuple[int, RequestKey]] = deque()
        self.delayed: list[tuple[int, RequestKey]] = []
        self.reserved_for: RequestKey | None = None
        self.preempted_at_ms: dict[RequestKey, int] = {}
        self.has_work = False
        self.blocked: dict[tuple[str, str], tuple[str, int]] = {}
        self._starts.clear()
        self.configure(self.configuration)
        for host in self.hosts.values():
            self.workers.add(host)

    def configure(self, configuration: Configuration) -> None:
        """Bring a configuration into force."""
        self.configuration = configuration
        self.kinds = {kind.name: kind for kind in configuration.kinds}
        self.queue.configure(configuration)
        self.has_work = True

    def watch(self, worker: str) -> WorkerWatch:
        """Return what is known of a worker."""
        return self.watches.setdefault(worker, WorkerWatch())

    def is_serving(self, now_ms: int) -> bool:
        """Return whether this host decides on requests now."""
        return self.phase is ZonePhase.SERVING and self.leadership.is_authorized(now_ms)

    def can_record(self, now_ms: int) -> bool:
        """Return whether the platform answers, so that entries become durable."""
        return self.journal.available and self.leadership.is_confirmed(now_ms)

    def add_start(self, worker: str, start: Start) -> None:
        """Send a start with the next batch to its worker."""
        self._starts.setdefault(worker, []).append(start)

    def log(self, event: str, level: str = "info", **fields: Any) -> None:
        """Write a log line with the reason for a decision."""
        self.effects.append(Log(event, fields, level))

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter of the status report."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def take_effects(self) -> list[Effect]:
        """Return the effects of an event, starts to one worker in one batch."""
        effects, self.effects = self.effects, []
        if self._starts:
            holder = self.settings.host
            effects.extend(
                StartTasks(worker, holder, tuple(starts))
                for worker, starts in self._starts.items()
            )
            self._starts = {}
        return effects
