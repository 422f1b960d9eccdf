"""What a zone's leader counts over one day, as the input of the report."""

from typing import NamedTuple

HOURS = 24
# Upper ends of the wait classes; the last class holds longer waits. The steps are
# fine round 20 ms and 1.1 s, which are the targets of urgent work.
WAIT_BOUNDS_MS = (
    5,
    10,
    20,
    50,
    100,
    200,
    500,
    1_100,
    2_000,
    5_000,
    10_000,
    30_000,
    60_000,
    600_000,
    3_600_000,
)
WAIT_CLASSES = len(WAIT_BOUNDS_MS) + 1


class KindDay(NamedTuple):
    """Requests of one kind; `done_by_hour` has 24 counts.

    `waits` counts started requests by class of WAIT_BOUNDS_MS. `cpu_seconds` is the
    processor time that its tasks held.
    """

    kind: str
    submitted: int = 0
    done: int = 0
    refused: int = 0
    unknown: int = 0
    cancelled: int = 0
    still_waiting: int = 0
    still_running: int = 0
    cpu_seconds: int = 0
    done_by_hour: tuple[int, ...] = (0,) * HOURS
    waits: tuple[int, ...] = (0,) * WAIT_CLASSES


class TeamDay(NamedTuple):
    """Requests of one team and the processor time that its tasks held."""

    team: str
    done: int = 0
    refused: int = 0
    cpu_seconds: int = 0


class WaitCause(NamedTuple):
    """Why requests of a kind waited: how many and for how long together."""

    kind: str
    cause: str
    requests: int = 0
    total_ms: int = 0


class Refusal(NamedTuple):
    """Refusals of one code; `needed` and `limit` are those of the largest request.

    `field` is the field or the dimension of the size that did not fit, and both
    figures are in its unit.
    """

    kind: str
    team: str
    code: str
    field: str = ""
    requests: int = 0
    needed: int = 0
    limit: int = 0
    message: str = ""


class FloodShare(NamedTuple):
    """Completed requests a minute of one kind before and during a flood."""

    kind: str
    done_before: float
    done_during: float


class Flood(NamedTuple):
    """A time in which one kind asked for far more than it could get."""

    kind: str
    began_at: str
    minutes: int
    shares: tuple[FloodShare, ...] = ()


class HostRemoval(NamedTuple):
    """A worker taken out of service; `back_at` is empty while it is out."""

    host: str
    availability_zone: str
    cause: str
    out_at: str
    back_at: str = ""
    failed_tasks: int = 0


class DayRecord(NamedTuple):
    """The counters of one day in one or more zones; `day` is an ISO date."""

    day: str
    availability_zones: tuple[str, ...]
    kinds: tuple[KindDay, ...] = ()
    teams: tuple[TeamDay, ...] = ()
    wait_causes: tuple[WaitCause, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    floods: tuple[Flood, ...] = ()
    hosts: tuple[HostRemoval, ...] = ()


def wait_class(wait_ms: int) -> int:
    """Return the index in KindDay.waits that counts a wait."""
    for index, bound in enumerate(WAIT_BOUNDS_MS):
        if wait_ms <= bound:
            return index
    return len(WAIT_BOUNDS_MS)


def wait_at(waits: tuple[int, ...], part: float) -> int | None:
    """Return the bound in ms that `part` of the waits stay under.

    None means without any wait; -1 longer than the last bound.
    """
    total = sum(waits)
    if total == 0:
        return None
    seen = 0
    for bound, count in zip((*WAIT_BOUNDS_MS, -1), waits):
        seen += count
        if seen >= part * total:
            return bound
    return -1
