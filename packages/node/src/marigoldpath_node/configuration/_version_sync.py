"""Synchronizes versions of the configuration between entry hosts."""

import json
from typing import Any, NamedTuple, TypedDict

import curio

from marigoldpath_core.configuration import VersionRecord, encode_record
from marigoldpath_core.messages import EntryHost
from marigoldpath_core.settings import DaemonSettings

from ..peers import EntryHostClient, PeerReplyError, PeerUnavailableError
from ..runtime import HostDirectory

TARGET = "/v1/peer/config"
# Ten times the network delay between zones, with a margin for a busy host. A zone that
# takes longer is reported as unreachable.
REPLY_S = 1.0


class PeerConfigPayload(TypedDict):
    """The body of POST /v1/peer/config; `text` is the JSON of a record, or empty."""

    version: int
    text: str


class HostVersion(NamedTuple):
    """The active version of an entry host; None if it did not reply."""

    host: str
    availability_zone: str
    version: int | None


class PeerVersionSync:
    """Compares versions with peers and sends them a higher one."""

    def __init__(
        self,
        settings: DaemonSettings,
        directory: HostDirectory,
        peer_client: EntryHostClient,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._peer_client = peer_client
        self._sync_count = 0

    @property
    def availability_zones(self) -> tuple[str, ...]:
        """The zones of the fleet."""
        return self._settings.availability_zones

    async def collect_versions(self, record: VersionRecord | None) -> list[HostVersion]:
        """Return the version of each entry host and update those that are behind."""
        found: list[HostVersion] = []

        async def sync(host: EntryHost) -> None:
            version = await self.sync_peer(host, record)
            found.append(HostVersion(host.name, host.availability_zone, version))

        async with curio.TaskGroup() as tasks:
            for zone in self._settings.availability_zones:
                for host in self._directory.entry_hosts_in(zone):
                    if host.name != self._settings.host:
                        await tasks.spawn(sync, host)
        version = record.version if record else 0
        found.append(
            HostVersion(self._settings.host, self._settings.availability_zone, version)
        )
        return sorted(found)

    async def send_to_nearby_peers(self, record: VersionRecord) -> None:
        """Send a new version to this host's zone and to one host in each other zone."""
        for zone in self._settings.availability_zones:
            hosts = [
                host
                for host in self._directory.entry_hosts_in(zone)
                if host.name != self._settings.host
            ]
            if zone != self._settings.availability_zone and hosts:
                hosts = [hosts[record.version % len(hosts)]]
            for host in hosts:
                await curio.spawn(self.sync_peer, host, record, daemon=True)

    async def sync_next_peer(self, record: VersionRecord | None) -> None:
        """Compare versions with one peer, selected round robin.

        This updates a zone that was partitioned when the version was published and that
        now reaches its peers but not the platform.
        """
        hosts = [
            host
            for zone in self._settings.availability_zones
            for host in self._directory.entry_hosts_in(zone)
            if host.name != self._settings.host
        ]
        if record is not None and hosts:
            self._sync_count += 1
            host = hosts[self._sync_count % len(hosts)]
            await curio.spawn(self.sync_peer, host, record, daemon=True)

    async def sync_peer(
        self, host: EntryHost, record: VersionRecord | None
    ) -> int | None:
        """Send a host a higher version if it is behind; return the host's version.

        Return None if the host does not reply.
        """
        version = record.version if record else 0
        peer_version = await self._post(host, {"version": version, "text": ""})
        if peer_version is None or record is None or peer_version >= version:
            return peer_version
        text = json.dumps(encode_record(record))
        return await self._post(host, {"version": version, "text": text})

    async def _post(self, host: EntryHost, value: PeerConfigPayload) -> int | None:
        try:
            reply: Any = await self._peer_client.post(
                host.address, TARGET, value, reply_s=REPLY_S
            )
        except (PeerUnavailableError, PeerReplyError):
            return None
        version = reply.get("version") if isinstance(reply, dict) else None
        return version if isinstance(version, int) else None
