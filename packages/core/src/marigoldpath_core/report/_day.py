"""The record of one day, from which the report is made."""

from typing import NamedTuple

HOURS_PER_DAY = 24
# Upper bounds of the buckets of the wait histogram; one more bucket counts longer
# waits. The steps are small around 20 ms and 1.1 s, the wait targets of urgent work.
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
WAIT_BUCKET_COUNT = len(WAIT_BOUNDS_MS) + 1


class KindDay(NamedTuple):
    """Requests of one kind; `done_by_hour` has 24 counts.

    `waits` counts started requests by bucket of WAIT_BOUNDS_MS. `cpu_seconds` is the
    CPU time allocated to its tasks.
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
    done_by_hour: tuple[int, ...] = (0,) * HOURS_PER_DAY
    waits: tuple[int, ...] = (0,) * WAIT_BUCKET_COUNT


class TeamDay(NamedTuple):
    """Requests of one team and the CPU time allocated to its tasks."""

    team: str
    done: int = 0
    refused: int = 0
    cpu_seconds: int = 0


class WaitCause(NamedTuple):
    """The number and total wait of the requests of a kind that waited for a cause."""

    kind: str
    cause: str
    requests: int = 0
    total_ms: int = 0


class Refusal(NamedTuple):
    """Refused requests with one code; the figures are those of the largest request.

    `field` is the request field or the dimension of the size that exceeded a limit.
    `needed` and `limit` are in the unit of that field.
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
    """Completed requests per minute of one kind before and during a flood."""

    kind: str
    done_before: float
    done_during: float


class Flood(NamedTuple):
    """A period in which one kind submitted far more requests than were started."""

    kind: str
    began_at: str
    minutes: int
    shares: tuple[FloodShare, ...] = ()


class HostRemoval(NamedTuple):
    """A worker removed from service; `back_at` is empty until it is back."""

    host: str
    availability_zone: str
    cause: str
    out_at: str
    back_at: str = ""
    failed_tasks: int = 0


class DayRecord(NamedTuple):
    """The counts of one day in one or more zones; `day` is an ISO date."""

    day: str
    availability_zones: tuple[str, ...]
    kinds: tuple[KindDay, ...] = ()
    teams: tuple[TeamDay, ...] = ()
    wait_causes: tuple[WaitCause, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    floods: tuple[Flood, ...] = ()
    hosts: tuple[HostRemoval, ...] = ()


def wait_bucket(wait_ms: int) -> int:
    """Return the index of the bucket in KindDay.waits that counts a wait."""
    for index, bound in enumerate(WAIT_BOUNDS_MS):
        if wait_ms <= bound:
            return index
    return len(WAIT_BOUNDS_MS)


def wait_percentile_ms(waits: tuple[int, ...], fraction: float) -> int | None:
    """Return the upper bound in ms of the bucket that contains a percentile.

    `fraction` is the percentile as a fraction of all waits. The result is None if there
    are no waits, and -1 if the percentile exceeds the last bound.
    """
    total = sum(waits)
    if total == 0:
        return None
    cumulative_count = 0
    for bound, count in zip((*WAIT_BOUNDS_MS, -1), waits):
        cumulative_count += count
        if cumulative_count >= fraction * total:
            return bound
    return -1
