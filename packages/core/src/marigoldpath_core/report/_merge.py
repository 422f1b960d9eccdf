"""Adds up the records of several zones."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from ._day import DayRecord, KindDay, Refusal, TeamDay, WaitCause

Item = TypeVar("Item", bound=tuple)

KIND_COUNTS = (
    "submitted",
    "done",
    "refused",
    "unknown",
    "cancelled",
    "still_waiting",
    "still_running",
    "cpu_seconds",
)


def merge_days(records: Iterable[DayRecord]) -> DayRecord:
    """Return one record for the zones of all; raises ValueError without any."""
    days = list(records)
    if not days:
        raise ValueError("there is no record to merge")
    return DayRecord(
        day=max(day.day for day in days),
        availability_zones=tuple(z for day in days for z in day.availability_zones),
        kinds=_grouped((k for d in days for k in d.kinds), _kind_key, _add_kinds),
        teams=_grouped((t for d in days for t in d.teams), _team_key, _add_teams),
        wait_causes=_grouped(
            (w for d in days for w in d.wait_causes), _cause_key, _add_causes
        ),
        refusals=_grouped(
            (r for d in days for r in d.refusals), _refusal_key, _add_refusals
        ),
        floods=tuple(f for day in days for f in day.floods),
        hosts=tuple(h for day in days for h in day.hosts),
    )


def _grouped(
    items: Iterable[Item],
    key: Callable[[Item], Any],
    add: Callable[[Item, Item], Item],
) -> tuple[Item, ...]:
    groups: dict[Any, Item] = {}
    for item in items:
        name = key(item)
        groups[name] = add(groups[name], item) if name in groups else item
    return tuple(groups.values())


def _kind_key(item: KindDay) -> str:
    return item.kind


def _team_key(item: TeamDay) -> str:
    return item.team


def _cause_key(item: WaitCause) -> tuple[str, str]:
    return (item.kind, item.cause)


def _refusal_key(item: Refusal) -> tuple[str, str, str, str]:
    return (item.kind, item.team, item.code, item.field)


def _add_kinds(one: KindDay, other: KindDay) -> KindDay:
    counts = {
        field: getattr(one, field) + getattr(other, field) for field in KIND_COUNTS
    }
    return one._replace(
        **counts,
        done_by_hour=tuple(a + b for a, b in zip(one.done_by_hour, other.done_by_hour)),
        waits=tuple(a + b for a, b in zip(one.waits, other.waits)),
    )


def _add_teams(one: TeamDay, other: TeamDay) -> TeamDay:
    return TeamDay(one.team, *(a + b for a, b in zip(one[1:], other[1:])))


def _add_causes(one: WaitCause, other: WaitCause) -> WaitCause:
    return one._replace(
        requests=one.requests + other.requests, total_ms=one.total_ms + other.total_ms
    )


def _add_refusals(one: Refusal, other: Refusal) -> Refusal:
    larger = max(one, other, key=lambda refusal: refusal.needed)
    return larger._replace(requests=one.requests + other.requests)
