"""Collects daily statistics from the leaders of zones."""

from typing import NamedTuple

import curio

from marigoldpath_core.report import DayPayload, DayRecord, decode_day, encode_day
from marigoldpath_core.settings import DaemonSettings

from ..runtime import Runtime
from ._batches import EntryHostClient, PeerReplyError, PeerUnavailableError
from ._leader_directory import LeaderDirectory

TARGET = "/v1/peer/report"
# A zone whose leader has not replied by then is reported as unreachable.
REPLY_S = 2.0


class ZoneDayRecord(NamedTuple):
    """The record of a zone, or the reason why it is missing."""

    availability_zone: str
    record: DayRecord | None
    reason: str = ""


class DayRecordCollector:
    """Requests the record of the day from the leader of each zone."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        leaders: LeaderDirectory,
        peer_client: EntryHostClient,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._leaders = leaders
        self._peer_client = peer_client

    def own_record(self) -> DayPayload | None:
        """Return this host's record, or None if it is not serving as the leader."""
        if not self._runtime.serving:
            return None
        return encode_day(self._runtime.day_record())

    async def collect(self, zones: tuple[str, ...]) -> list[ZoneDayRecord]:
        """Return the record of each zone, in the given order."""
        found: dict[str, ZoneDayRecord] = {}

        async def fetch(zone: str) -> None:
            found[zone] = await self._fetch_with_retry(zone)

        async with curio.TaskGroup() as tasks:
            for zone in zones:
                await tasks.spawn(fetch, zone)
        return [found[zone] for zone in zones]

    async def _fetch_with_retry(self, zone: str) -> ZoneDayRecord:
        """Return a zone's record; on failure, find its leader again and retry once."""
        day = await self._fetch_record(zone)
        if day.record is None:
            self._leaders.leader_cache.invalidate(zone)
            day = await self._fetch_record(zone)
        return day

    async def _fetch_record(self, zone: str) -> ZoneDayRecord:
        route = await self._leaders.find_route(zone)
        leader = route.leader
        if leader is None:
            return ZoneDayRecord(zone, None, "no leader is known")
        if leader.host == self._settings.host:
            if not self._runtime.serving:
                return ZoneDayRecord(zone, None, f"{leader.host} does not serve yet")
            return ZoneDayRecord(zone, self._runtime.day_record())
        try:
            reply = await self._peer_client.post(
                leader.address, TARGET, {}, reply_s=REPLY_S
            )
        except (PeerUnavailableError, PeerReplyError) as error:
            return ZoneDayRecord(zone, None, str(error))
        payload = reply.get("day") if isinstance(reply, dict) else None
        if payload is None:
            return ZoneDayRecord(zone, None, f"{leader.host} does not serve")
        decoded = decode_day(payload)
        if decoded.is_err():
            return ZoneDayRecord(zone, None, decoded.unwrap_err())
        return ZoneDayRecord(zone, decoded.unwrap())
