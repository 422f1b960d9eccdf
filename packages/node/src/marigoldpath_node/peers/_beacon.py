"""Tells the other entry hosts each second who leads this zone."""

import curio

from marigoldpath_core.messages import EntryHost
from marigoldpath_core.routing import LeaderView
from marigoldpath_core.settings import DaemonSettings

from ..runtime import HostDirectory, Runtime, clock_ms
from ._batches import EntryHostClient, PeerReplyError, PeerUnavailableError
from ._codec import encode_view

TARGET = "/v1/peer/beacon"
INTERVAL_S = 1.0


class BeaconSender:
    """Sends beacons while this host leads."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        directory: HostDirectory,
        links: EntryHostClient,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._directory = directory
        self._links = links
        self._in_flight: set[str] = set()
        self._turn = 0

    async def run(self) -> None:
        """Send beacons until cancelled."""
        while True:
            if self._runtime.is_leader:
                await self._send_all()
            await curio.sleep(INTERVAL_S)

    def recipients(self) -> list[EntryHost]:
        """Return the peers of the own zone and one of each other zone, in turn."""
        self._turn += 1
        recipients = []
        for zone in self._settings.availability_zones:
            hosts = self._directory.entry_hosts_in(zone)
            if zone == self._settings.availability_zone:
                recipients += [
                    host for host in hosts if host.name != self._settings.host
                ]
            elif hosts:
                recipients.append(hosts[self._turn % len(hosts)])
        return recipients

    async def _send_all(self) -> None:
        view = LeaderView(
            self._settings.availability_zone,
            self._runtime.scheduler.epoch,
            self._settings.host,
            self._settings.address,
            self._runtime.serving and not self._runtime.draining,
            sum(self._runtime.status()["waiting"].values()),
            clock_ms(),
        )
        payload = encode_view(view)
        for host in self.recipients():
            # A peer that does not answer must not collect a beacon each second.
            if host.address not in self._in_flight:
                self._in_flight.add(host.address)
                await curio.spawn(self._send, host.address, payload, daemon=True)

    async def _send(self, address: str, payload: dict) -> None:
        try:
            await self._links.post(address, TARGET, payload)
        except (PeerUnavailableError, PeerReplyError):
            pass
        finally:
            self._in_flight.discard(address)
