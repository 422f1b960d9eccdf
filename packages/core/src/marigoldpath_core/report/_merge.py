"""Merges the records of several zones into one."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

from ._day import DayRecord, KindDay, Refusal, TeamDay, WaitCause

Item = TypeVar("Item", bound=tuple)

SUMMED_KIND_FIELDS = (
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
    """Combine the records of several zones; raises ValueError if there are none."""
    days = list(records)
    if not days:
        raise ValueError("there is no record to merge")
    return DayRecord(
        day=max(day.day for day in days),
        availability_zones=tuple(z for day in days for z in day.availability_zones),
        kinds=_merge_groups((k for d in days for k in d.kinds), _kind_key, _add_kinds),
        teams=_merge_groups((t for d in days for t in d.teams), _team_key, _add_teams),
        wait_causes=_merge_groups(
            (w for d in days for w in d.wait_causes), _cause_key, _add_causes
        ),
        refusals=_merge_groups(
            (r for d in days for r in d.refusals), _refusal_key, _add_refusals
        ),
        floods=tuple(f for day in days for f in day.floods),
        hosts=tuple(h for day in days for h in day.hosts),
    )


def _merge_groups(
    items: Iterable[Item],
    key: Callable[[Item], Any],
    add: Callable[[Item, Item], Item],
) -> tuple[Item, ...]:
    groups: dict[Any, Item] = {}
    for item in items:
        group = key(item)
        groups[group] = add(groups[group], item) if group in groups else item
    return tuple(groups.values())


def _kind_key(item: KindDay) -> str:
    return item.kind


def _team_key(item: TeamDay) -> str:
    return item.team


def _cause_key(item: WaitCause) -> tuple[str, str]:
    return (item.kind, item.cause)


def _refusal_key(item: Refusal) -> tuple[str, str, str, str]:
    return (item.kind, item.team, item.code, item.field)


def _add_kinds(first: KindDay, second: KindDay) -> KindDay:
    counts = {
        field: getattr(first, field) + getattr(second, field)
        for field in SUMMED_KIND_FIELDS
    }
    return first._replace(
        **counts,
        done_by_hour=tuple(
            a + b for a, b in zip(first.done_by_hour, second.done_by_hour)
        ),
        waits=tuple(a + b for a, b in zip(first.waits, second.waits)),
    )


def _add_teams(first: TeamDay, second: TeamDay) -> TeamDay:
    return TeamDay(first.team, *(a + b for a, b in zip(first[1:], second[1:])))


def _add_causes(first: WaitCause, second: WaitCause) -> WaitCause:
    return first._replace(
        requests=first.requests + second.requests,
        total_ms=first.total_ms + second.total_ms,
    )


def _add_refusals(first: Refusal, second: Refusal) -> Refusal:
    larger = max(first, second, key=lambda refusal: refusal.needed)
    return larger._replace(requests=first.requests + second.requests)
