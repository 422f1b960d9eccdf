"""Collects the day's records from the leaders of zones."""

from typing import NamedTuple

import curio

from marigoldpath_core.report import DayPayload, DayRecord, decode_day, encode_day
from marigoldpath_core.settings import DaemonSettings

from ..runtime import Runtime
from ._batches import EntryHostClient, PeerReplyError, PeerUnavailableError
from ._leader_directory import LeaderDirectory

TARGET = "/v1/peer/report"
# A zone without an answer by then is named as not reached.
REPLY_S = 2.0


class ZoneDayRecord(NamedTuple):
    """The record of a zone, or why there is none."""

    availability_zone: str
    record: DayRecord | None
    reason: str = ""


class DayRecordCollector:
    """Asks the leader of each zone for its record of the day."""

    def __init__(
        self,
        settings: DaemonSettings,
        runtime: Runtime,
        leaders: LeaderDirectory,
        links: EntryHostClient,
    ) -> None:
        self._settings = settings
        self._runtime = runtime
        self._leaders = leaders
        self._links = links

    def own_record(self) -> DayPayload | None:
        """Return the record that this host counts, None when it does not serve."""
        if not self._runtime.serving:
            return None
        return encode_day(self._runtime.day_record())

    async def collect(self, zones: tuple[str, ...]) -> list[ZoneDayRecord]:
        """Return the record of each zone in the order given."""
        found: dict[str, ZoneDayRecord] = {}

        async def ask(zone: str) -> None:
            found[zone] = await self._zone_day(zone)

        async with curio.TaskGroup() as tasks:
            for zone in zones:
                await tasks.spawn(ask, zone)
        return [found[zone] for zone in zones]

    async def _zone_day(self, zone: str) -> ZoneDayRecord:
        """Return a zone's record; a leader that has changed is looked up once more."""
        day = await self._ask(zone)
        if day.record is None:
            self._leaders.leader_cache.invalidate(zone)
            day = await self._ask(zone)
        return day

    async def _ask(self, zone: str) -> ZoneDayRecord:
        route = await self._leaders.find(zone)
        leader = route.leader
        if leader is None:
            return ZoneDayRecord(zone, None, "no leader is known")
        if leader.host == self._settings.host:
            if not self._runtime.serving:
                return ZoneDayRecord(zone, None, f"{leader.host} does not serve yet")
            return ZoneDayRecord(zone, self._runtime.day_record())
        try:
            reply = await self._links.post(leader.address, TARGET, {}, reply_s=REPLY_S)
        except (PeerUnavailableError, PeerReplyError) as fault:
            return ZoneDayRecord(zone, None, str(fault))
        payload = reply.get("day") if isinstance(reply, dict) else None
        if payload is None:
            return ZoneDayRecord(zone, None, f"{leader.host} does not serve")
        decoded = decode_day(payload)
        if decoded.is_err():
            return ZoneDayRecord(zone, None, decoded.unwrap_err())
        return ZoneDayRecord(zone, decoded.unwrap())
