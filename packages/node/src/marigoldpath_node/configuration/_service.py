"""Drives the configuration keeper of this host."""

from collections.abc import Awaitable, Callable
from typing import Any, cast

import curio

from marigoldpath_core.configuration import (
    CURRENT_VERSION_KEY,
    ApplyOutcome,
    ApplyRequested,
    ApplyStatus,
    Configuration,
    ConfigurationChanged,
    ConfigurationEvent,
    ConfigurationManager,
    PeerRecordReceived,
    ReplyToApply,
    SendToPeers,
    VersionRecord,
)
from marigoldpath_core.messages import Effect, RowRead, Tick
from marigoldpath_core.registry import Registry
from marigoldpath_core.sheet import parse_sheet, read_configuration

from ..effects import EffectContext, Performer
from ..runtime import clock_ms
from ._history import read_history
from ._sheet_requests import SheetRequestSubmitter
from ._version_sync import PeerVersionSync

# The keeper itself reads the row once a second; the shorter step is for applies.
TICK_S = 0.25
# Bounds what a host that was cut off misses once a peer reaches it again.
HINT_TICKS = 16
WORK_TICKS = 8

Perform = Callable[["ConfigurationService", Any], Awaitable[None]]
SERVICE_EFFECTS: Registry[type, Perform] = Registry("configuration effect")


class _Waiter:
    def __init__(self) -> None:
        self.outcome: ApplyOutcome | None = None
        self.ended = curio.Event()


class ConfigurationService:
    """Feeds the keeper, performs its effects and keeps its time.

    `configure` puts a configuration into force on this host.
    """

    def __init__(
        self,
        context: EffectContext,
        peers: PeerVersionSync,
        work: SheetRequestSubmitter,
        configure: Callable[[Configuration], None],
    ) -> None:
        self._keeper = ConfigurationManager(read_configuration)
        self._performer = Performer(context._replace(feed=self.feed))
        self._platform = context.platform
        self._log = context.telemetry.log
        self._peers = peers
        self._work = work
        self._configure = configure
        self._waiters: dict[int, _Waiter] = {}
        self._next_call = 0
        self._is_absent = False

    @property
    def record(self) -> VersionRecord | None:
        """The record of the version in force."""
        return self._keeper.record

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        return self._keeper.version

    @property
    def is_version_known(self) -> bool:
        """Whether this host has learnt the version in force since its start."""
        return self._is_absent or self.version > 0

    @property
    def peers(self) -> PeerVersionSync:
        """The versions of the other entry hosts."""
        return self._peers

    async def history(self) -> tuple[list[VersionRecord], str]:
        """Return the latest versions and why the list ends early."""
        return await read_history(self._platform, self.record)

    async def run(self) -> None:
        """Keep time until cancelled."""
        ticks = 0
        while True:
            await self.feed(Tick())
            if ticks % HINT_TICKS == 0:
                await self._peers.tell_next(self.record)
            if ticks % WORK_TICKS == 0:
                await self._work.submit_missing(self._keeper.configuration)
            ticks += 1
            await curio.sleep(TICK_S)

    async def feed(self, event: ConfigurationEvent) -> None:
        """Give the keeper an event and perform the effects."""
        if isinstance(event, RowRead) and event.key == CURRENT_VERSION_KEY:
            self._is_absent = event.row is None
        effects = self._keeper.handle(event, clock_ms())
        for effect in effects:
            if type(effect) in SERVICE_EFFECTS:
                await SERVICE_EFFECTS.get(type(effect))(self, effect)
            else:
                await self._performer.submit([cast(Effect, effect)])

    async def receive_record(self, record: VersionRecord) -> None:
        """Take a version that a peer passes on."""
        await self.feed(PeerRecordReceived(record))

    async def apply(
        self, base_version: int, author: str, applied_at: str, text: str
    ) -> ApplyOutcome:
        """Return what became of a change; the keeper bounds the wait."""
        zones = self._peers.availability_zones
        parsed = parse_sheet(text.encode("utf-8", "surrogatepass"), zones)
        if parsed.is_err():
            faults = tuple(parsed.unwrap_err())
            message = f"the sheet has {len(faults)} faults"
            return ApplyOutcome(
                ApplyStatus.REFUSED, "bad_sheet", message, faults=faults
            )
        before = self._keeper.configuration
        self._next_call += 1
        call = self._next_call
        waiter = self._waiters[call] = _Waiter()
        try:
            await self.feed(
                ApplyRequested(call, base_version, author, applied_at, text)
            )
            await waiter.ended.wait()
        finally:
            del self._waiters[call]
        assert waiter.outcome is not None
        if waiter.outcome.status is ApplyStatus.APPLIED:
            applied = read_configuration(text, waiter.outcome.version).unwrap()
            await curio.spawn(self._work.submit_once, before, applied, daemon=True)
        return waiter.outcome

    @SERVICE_EFFECTS.register(ReplyToApply)
    async def _reply(self, effect: ReplyToApply) -> None:
        waiter = self._waiters.get(effect.call)
        if waiter is not None:
            waiter.outcome = effect.outcome
            await waiter.ended.set()

    @SERVICE_EFFECTS.register(ConfigurationChanged)
    async def _change(self, effect: ConfigurationChanged) -> None:
        self._log.info(
            "configuration_changed",
            version=effect.record.version,
            author=effect.record.author,
        )
        self._configure(effect.configuration)
        await self._work.follow(effect.configuration)

    @SERVICE_EFFECTS.register(SendToPeers)
    async def _tell(self, effect: SendToPeers) -> None:
        await self._peers.tell_near(effect.record)
