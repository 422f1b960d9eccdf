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
    """Numbers of requests of one kind.

    `done_by_hour` has one count for each of 24 hours. `waits` has one count of started
    requests for each bucket of WAIT_BOUNDS_MS. `cpu_seconds` is the CPU time allocated
    to the tasks of the kind.
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
    """Numbers of requests of one team, and the CPU time allocated to its tasks."""

    team: str
    done: int = 0
    refused: int = 0
    cpu_seconds: int = 0


class WaitCause(NamedTuple):
    """The number and total wait of a kind's requests that waited because of `cause`."""

    kind: str
    cause: str
    requests: int = 0
    total_ms: int = 0


class Refusal(NamedTuple):
    """The refused requests with the same kind, team, code and field.

    `field` is the request field or the dimension of the size that exceeded a limit.
    `requests` is the number of requests. `needed` is the largest amount of the field
    that one of them requested; `limit` and `message` belong to that request. `needed`
    and `limit` are in the unit of the field.
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
    """A period in which far more requests of one kind were submitted than started.

    `began_at` is a time of day in UTC (HH:MM).
    """

    kind: str
    began_at: str
    minutes: int
    shares: tuple[FloodShare, ...] = ()


class HostRemoval(NamedTuple):
    """The removal of a worker from service.

    `out_at` and `back_at` are times of day in UTC (HH:MM); `back_at` is empty until the
    worker returns to service. `failed_tasks` is the number of consecutive tasks that
    failed before the removal if the worker was removed for failures, otherwise 0.
    """

    host: str
    availability_zone: str
    cause: str
    out_at: str
    back_at: str = ""
    failed_tasks: int = 0


class DayRecord(NamedTuple):
    """The counts of one day in one or more zones; `day` is an ISO 8601 date."""

    day: str
    availability_zones: tuple[str, ...]
    kinds: tuple[KindDay, ...] = ()
    teams: tuple[TeamDay, ...] = ()
    wait_causes: tuple[WaitCause, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    floods: tuple[Flood, ...] = ()
    hosts: tuple[HostRemoval, ...] = ()


def wait_bucket(wait_ms: int) -> int:
    """Return the index in KindDay.waits of the bucket for a wait."""
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
