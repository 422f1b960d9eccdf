"""Which zones have a version of the configuration in force."""

from enum import StrEnum
from typing import Any, NamedTuple

from ._client import objects
from ._view import Table


class ZoneState(StrEnum):
    """What is known of a zone."""

    IN_FORCE = "in force"
    BEHIND = "behind"
    CUT_OFF = "cut off"


class ZoneVersion(NamedTuple):
    """The hosts of a zone that have a version, and those that did not answer."""

    availability_zone: str
    state: ZoneState
    reached: int
    missing: tuple[str, ...]


def zone_versions(payload: dict[str, Any], version: int) -> list[ZoneVersion]:
    """Return the state of each zone in an entry host's answer."""
    found = []
    for zone in objects(payload, "zones"):
        hosts = objects(zone, "hosts")
        versions = [h["version"] for h in hosts if isinstance(h.get("version"), int)]
        missing = tuple(
            str(h.get("host", ""))
            for h in hosts
            if not isinstance(h.get("version"), int)
        )
        if not versions:
            state = ZoneState.CUT_OFF
        elif min(versions) < version:
            state = ZoneState.BEHIND
        else:
            state = ZoneState.IN_FORCE
        name = str(zone.get("availability_zone", ""))
        found.append(ZoneVersion(name, state, len(versions), missing))
    return found


def zones_table(zones: list[ZoneVersion], version: int) -> Table:
    """Return the table of zones for people."""
    rows = tuple(
        (z.availability_zone, z.state, z.reached, ", ".join(z.missing) or "none")
        for z in zones
    )
    columns = ("zone", "state", "hosts that answered", "hosts without an answer")
    return Table(f"version {version}", columns, rows)


def zones_line(zones: list[ZoneVersion], version: int) -> str:
    """Return one line that names the zones still awaited."""
    open_zones = [
        f"{zone.availability_zone} {zone.state}"
        for zone in zones
        if zone.state is not ZoneState.IN_FORCE
    ]
    if not zones:
        return f"version {version}: no entry host says which zones have it"
    if not open_zones:
        return f"version {version} is in force in all zones"
    return f"version {version}: waiting for {', '.join(open_zones)}"
