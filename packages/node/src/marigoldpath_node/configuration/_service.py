"""Drives this host's configuration manager."""

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

from ..effects import EffectContext, EffectExecutor
from ..runtime import clock_ms
from ._history import read_history
from ._sheet_requests import SheetRequestSubmitter
from ._version_sync import PeerVersionSync

# The manager reads the row once per second; the shorter interval speeds up applies.
TICK_INTERVAL_S = 0.25
# Limits how long a host stays outdated after a partition, once a peer reaches it again.
SYNC_TICKS = 16
SUBMIT_TICKS = 8

HandlerFunction = Callable[["ConfigurationService", Any], Awaitable[None]]
SERVICE_EFFECTS: Registry[type, HandlerFunction] = Registry("configuration effect")


class _PendingApply:
    def __init__(self) -> None:
        self.outcome: ApplyOutcome | None = None
        self.completed = curio.Event()


class ConfigurationService:
    """Feeds events and ticks to the configuration manager and executes its effects.

    `configure` makes a configuration active on this host.
    """

    def __init__(
        self,
        context: EffectContext,
        peers: PeerVersionSync,
        sheet_requests: SheetRequestSubmitter,
        configure: Callable[[Configuration], None],
    ) -> None:
        self._manager = ConfigurationManager(read_configuration)
        self._executor = EffectExecutor(context._replace(feed=self.feed))
        self._platform = context.platform
        self._log = context.telemetry.log
        self._peers = peers
        self._sheet_requests = sheet_requests
        self._configure = configure
        self._pending: dict[int, _PendingApply] = {}
        self._next_call = 0
        self._is_absent = False

    @property
    def record(self) -> VersionRecord | None:
        """The record of the active version."""
        return self._manager.record

    @property
    def version(self) -> int:
        """The active version, 0 before the first."""
        return self._manager.version

    @property
    def is_version_known(self) -> bool:
        """Whether this host has read the active version since its start."""
        return self._is_absent or self.version > 0

    @property
    def peers(self) -> PeerVersionSync:
        """The synchronization with other entry hosts."""
        return self._peers

    async def history(self) -> tuple[list[VersionRecord], str]:
        """Return the latest versions, newest first, and why older ones are missing.

        The reason is empty if none are missing.
        """
        return await read_history(self._platform, self.record)

    async def run(self) -> None:
        """Run the periodic work until cancelled."""
        ticks = 0
        while True:
            await self.feed(Tick())
            if ticks % SYNC_TICKS == 0:
                await self._peers.sync_next_peer(self.record)
            if ticks % SUBMIT_TICKS == 0:
                await self._sheet_requests.submit_missing(self._manager.configuration)
            ticks += 1
            await curio.sleep(TICK_INTERVAL_S)

    async def feed(self, event: ConfigurationEvent) -> None:
        """Process an event in the manager and execute the resulting effects."""
        if isinstance(event, RowRead) and event.key == CURRENT_VERSION_KEY:
            self._is_absent = event.row is None
        effects = self._manager.handle(event, clock_ms())
        for effect in effects:
            if type(effect) in SERVICE_EFFECTS:
                await SERVICE_EFFECTS.get(type(effect))(self, effect)
            else:
                await self._executor.submit([cast(Effect, effect)])

    async def receive_record(self, record: VersionRecord) -> None:
        """Process a version that a peer sent."""
        await self.feed(PeerRecordReceived(record))

    async def apply(
        self, base_version: int, author: str, applied_at: str, text: str
    ) -> ApplyOutcome:
        """Apply a sheet and return the outcome; the manager limits the wait."""
        zones = self._peers.availability_zones
        parsed = parse_sheet(text.encode("utf-8", "surrogatepass"), zones)
        if parsed.is_err():
            faults = tuple(parsed.unwrap_err())
            message = f"the sheet has {len(faults)} faults"
            return ApplyOutcome(
                ApplyStatus.REFUSED, "bad_sheet", message, faults=faults
            )
        before = self._manager.configuration
        self._next_call += 1
        call = self._next_call
        pending = self._pending[call] = _PendingApply()
        try:
            await self.feed(
                ApplyRequested(call, base_version, author, applied_at, text)
            )
            await pending.completed.wait()
        finally:
            del self._pending[call]
        assert pending.outcome is not None
        if pending.outcome.status is ApplyStatus.APPLIED:
            applied = read_configuration(text, pending.outcome.version).unwrap()
            await curio.spawn(
                self._sheet_requests.submit_added, before, applied, daemon=True
            )
        return pending.outcome

    @SERVICE_EFFECTS.register(ReplyToApply)
    async def _reply(self, effect: ReplyToApply) -> None:
        pending = self._pending.get(effect.call)
        if pending is not None:
            pending.outcome = effect.outcome
            await pending.completed.set()

    @SERVICE_EFFECTS.register(ConfigurationChanged)
    async def _apply_change(self, effect: ConfigurationChanged) -> None:
        self._log.info(
            "configuration_changed",
            version=effect.record.version,
            author=effect.record.author,
        )
        self._configure(effect.configuration)
        await self._sheet_requests.handle_change(effect.configuration)

    @SERVICE_EFFECTS.register(SendToPeers)
    async def _send_to_peers(self, effect: SendToPeers) -> None:
        await self._peers.send_to_nearby_peers(effect.record)
