"""Sends the leader of this zone to other entry hosts every second."""

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
    """Sends beacons while this host is its zone's leader."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        directory: HostDirectory,
        peer_client: EntryHostClient,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._directory = directory
        self._peer_client = peer_client
        self._in_flight: set[str] = set()
        self._round = 0

    async def run(self) -> None:
        """Send beacons until cancelled."""
        while True:
            if self._runtime.is_leader:
                await self._send_all()
            await curio.sleep(INTERVAL_S)

    def recipients(self) -> list[EntryHost]:
        """Return the peers in this zone and, round robin, one in each other zone."""
        self._round += 1
        recipients = []
        for zone in self._settings.availability_zones:
            hosts = self._directory.entry_hosts_in(zone)
            if zone == self._settings.availability_zone:
                recipients += [
                    host for host in hosts if host.name != self._settings.host
                ]
            elif hosts:
                recipients.append(hosts[self._round % len(hosts)])
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
            # At most one beacon is in flight to a peer; otherwise an unresponsive peer
            # would accumulate one per second.
            if host.address not in self._in_flight:
                self._in_flight.add(host.address)
                await curio.spawn(self._send, host.address, payload, daemon=True)

    async def _send(self, address: str, payload: dict) -> None:
        try:
            await self._peer_client.post(address, TARGET, payload)
        except (PeerUnavailableError, PeerReplyError):
            pass
        finally:
            self._in_flight.discard(address)
