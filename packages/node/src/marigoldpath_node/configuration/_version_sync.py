"""Passes versions of the configuration between entry hosts."""

import json
from typing import Any, NamedTuple, TypedDict

import curio

from marigoldpath_core.configuration import VersionRecord, encode_record
from marigoldpath_core.messages import EntryHost
from marigoldpath_core.settings import DaemonSettings

from ..peers import EntryHostClient, PeerReplyError, PeerUnavailableError
from ..runtime import HostDirectory

TARGET = "/v1/peer/config"
# Ten times the delay between zones and a margin for a busy host; a zone that takes
# longer is reported as cut off.
REPLY_S = 1.0


class PeerConfigPayload(TypedDict):
    """What hosts tell each other; `text` is the JSON of a record, or empty."""

    version: int
    text: str


class HostVersion(NamedTuple):
    """The version in force on an entry host; None without an answer."""

    host: str
    availability_zone: str
    version: int | None


class PeerVersionSync:
    """Asks peers for their version and sends them a higher one."""

    def __init__(
        self, settings: DaemonSettings, directory: HostDirectory, links: EntryHostClient
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._links = links
        self._turn = 0

    @property
    def availability_zones(self) -> tuple[str, ...]:
        """The zones of the fleet."""
        return self._settings.availability_zones

    async def collect_versions(self, record: VersionRecord | None) -> list[HostVersion]:
        """Return the version of each entry host; a host that is behind is told."""
        found: list[HostVersion] = []

        async def ask(host: EntryHost) -> None:
            version = await self.tell(host, record)
            found.append(HostVersion(host.name, host.availability_zone, version))

        async with curio.TaskGroup() as tasks:
            for zone in self._settings.availability_zones:
                for host in self._directory.entry_hosts_in(zone):
                    if host.name != self._settings.host:
                        await tasks.spawn(ask, host)
        version = record.version if record else 0
        found.append(
            HostVersion(self._settings.host, self._settings.availability_zone, version)
        )
        return sorted(found)

    async def tell_near(self, record: VersionRecord) -> None:
        """Pass a new version to the own zone and to one host of each other zone."""
        for zone in self._settings.availability_zones:
            hosts = [
                host
                for host in self._directory.entry_hosts_in(zone)
                if host.name != self._settings.host
            ]
            if zone != self._settings.availability_zone and hosts:
                hosts = [hosts[record.version % len(hosts)]]
            for host in hosts:
                await curio.spawn(self.tell, host, record, daemon=True)

    async def tell_next(self, record: VersionRecord | None) -> None:
        """Compare versions with one peer, each time the next one.

        It brings a zone up to date that was cut off when the version came and now
        reaches peers, but not the platform.
        """
        hosts = [
            host
            for zone in self._settings.availability_zones
            for host in self._directory.entry_hosts_in(zone)
            if host.name != self._settings.host
        ]
        if record is not None and hosts:
            self._turn += 1
            host = hosts[self._turn % len(hosts)]
            await curio.spawn(self.tell, host, record, daemon=True)

    async def tell(self, host: EntryHost, record: VersionRecord | None) -> int | None:
        """Return a host's version after passing it a higher one, None without it."""
        version = record.version if record else 0
        held = await self._post(host, {"version": version, "text": ""})
        if held is None or record is None or held >= version:
            return held
        text = json.dumps(encode_record(record))
        return await self._post(host, {"version": version, "text": text})

    async def _post(self, host: EntryHost, value: PeerConfigPayload) -> int | None:
        try:
            reply: Any = await self._links.post(
                host.address, TARGET, value, reply_s=REPLY_S
            )
        except (PeerUnavailableError, PeerReplyError):
            return None
        version = reply.get("version") if isinstance(reply, dict) else None
        return version if isinstance(version, int) else None
