"""Encoding and decoding of a day's record as JSON."""

from typing import Any, TypedDict

from result import Err, Ok, Result

from ._day import (
    HOURS_PER_DAY,
    WAIT_BUCKET_COUNT,
    DayRecord,
    Flood,
    FloodShare,
    HostRemoval,
    KindDay,
    Refusal,
    TeamDay,
    WaitCause,
)


class DayPayload(TypedDict):
    """A day's record as JSON; each item has the fields of its type."""

    day: str
    availability_zones: list[str]
    kinds: list[dict[str, Any]]
    teams: list[dict[str, Any]]
    wait_causes: list[dict[str, Any]]
    refusals: list[dict[str, Any]]
    floods: list[dict[str, Any]]
    hosts: list[dict[str, Any]]


def encode_day(record: DayRecord) -> DayPayload:
    """Convert a day's record to JSON."""
    return {
        "day": record.day,
        "availability_zones": list(record.availability_zones),
        "kinds": [_encode_kind(kind) for kind in record.kinds],
        "teams": [team._asdict() for team in record.teams],
        "wait_causes": [cause._asdict() for cause in record.wait_causes],
        "refusals": [refusal._asdict() for refusal in record.refusals],
        "floods": [_encode_flood(flood) for flood in record.floods],
        "hosts": [host._asdict() for host in record.hosts],
    }


def decode_day(payload: Any) -> Result[DayRecord, str]:
    """Convert a parsed JSON value to a day's record, or return an error message."""
    try:
        return Ok(_decode(payload))
    except (KeyError, TypeError, ValueError) as error:
        return Err(f"not a day's record: {error!r}")


def _decode(payload: Any) -> DayRecord:
    return DayRecord(
        day=str(payload["day"]),
        availability_zones=tuple(payload["availability_zones"]),
        kinds=tuple(_decode_kind(item) for item in payload["kinds"]),
        teams=tuple(TeamDay(**item) for item in payload["teams"]),
        wait_causes=tuple(WaitCause(**item) for item in payload["wait_causes"]),
        refusals=tuple(Refusal(**item) for item in payload["refusals"]),
        floods=tuple(_decode_flood(item) for item in payload["floods"]),
        hosts=tuple(HostRemoval(**item) for item in payload["hosts"]),
    )


def _encode_kind(kind: KindDay) -> dict[str, Any]:
    values = kind._asdict()
    values["done_by_hour"] = list(kind.done_by_hour)
    values["waits"] = list(kind.waits)
    return values


def _decode_kind(item: dict[str, Any]) -> KindDay:
    kind = KindDay(**item)
    if len(kind.done_by_hour) != HOURS_PER_DAY or len(kind.waits) != WAIT_BUCKET_COUNT:
        raise ValueError(f"{kind.kind} has the wrong number of counts")
    return kind._replace(done_by_hour=tuple(kind.done_by_hour), waits=tuple(kind.waits))


def _encode_flood(flood: Flood) -> dict[str, Any]:
    values = flood._asdict()
    values["shares"] = [share._asdict() for share in flood.shares]
    return values


def _decode_flood(item: dict[str, Any]) -> Flood:
    shares = tuple(FloodShare(**share) for share in item["shares"])
    return Flood(**{**item, "shares": shares})
