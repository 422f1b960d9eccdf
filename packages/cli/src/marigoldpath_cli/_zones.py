"""The state of a configuration version in each zone."""

from enum import StrEnum
from typing import Any, NamedTuple

from ._client import object_list
from ._view import Table


class ZoneState(StrEnum):
    """The state of a version in a zone."""

    ACTIVE = "in force"
    BEHIND = "behind"
    UNREACHABLE = "cut off"


class ZoneVersion(NamedTuple):
    """The state of a version in a zone.

    `reached` is the number of hosts that replied, `missing` names the others.
    """

    availability_zone: str
    state: ZoneState
    reached: int
    missing: tuple[str, ...]


def zone_versions(payload: dict[str, Any], version: int) -> list[ZoneVersion]:
    """Return the state of a version in each zone from an entry host's reply."""
    states = []
    for zone in object_list(payload, "zones"):
        hosts = object_list(zone, "hosts")
        versions = [h["version"] for h in hosts if isinstance(h.get("version"), int)]
        missing = tuple(
            str(h.get("host", ""))
            for h in hosts
            if not isinstance(h.get("version"), int)
        )
        if not versions:
            state = ZoneState.UNREACHABLE
        elif min(versions) < version:
            state = ZoneState.BEHIND
        else:
            state = ZoneState.ACTIVE
        name = str(zone.get("availability_zone", ""))
        states.append(ZoneVersion(name, state, len(versions), missing))
    return states


def zones_table(zones: list[ZoneVersion], version: int) -> Table:
    """Return a table with the state of each zone."""
    rows = tuple(
        (z.availability_zone, z.state, z.reached, ", ".join(z.missing) or "none")
        for z in zones
    )
    columns = ("zone", "state", "hosts that answered", "hosts without an answer")
    return Table(f"version {version}", columns, rows)


def zones_line(zones: list[ZoneVersion], version: int) -> str:
    """Return one line that names the zones where the version is not yet active."""
    pending_zones = [
        f"{zone.availability_zone} {zone.state}"
        for zone in zones
        if zone.state is not ZoneState.ACTIVE
    ]
    if not zones:
        return f"version {version}: no entry host says which zones have it"
    if not pending_zones:
        return f"version {version} is in force in all zones"
    return f"version {version}: waiting for {', '.join(pending_zones)}"
