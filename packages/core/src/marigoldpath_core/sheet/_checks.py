"""Checks of rows against each other."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

from ._expand import request_ids
from ._model import RowType, SheetProblem, Workload
from ._rows import SIZE_COLUMNS, BuiltRow


class Rows(NamedTuple):
    """All rows of a sheet that are right one by one, with their numbers.

    `named_kinds` and `named_teams` also hold the names in rows with faults, so that
    one fault is not reported again by each row that refers to it.
    """

    kinds: tuple[tuple[int, WorkKind], ...]
    teams: tuple[tuple[int, TeamQuota], ...]
    workloads: tuple[tuple[int, Workload], ...]
    named_kinds: frozenset[str]
    named_teams: frozenset[str]
    availability_zones: frozenset[str]


SheetCheck = Callable[[Rows], Iterator[SheetProblem]]
SHEET_CHECKS: Registry[str, SheetCheck] = Registry("sheet check")


def split_rows(
    built: list[BuiltRow],
    named_kinds: frozenset[str],
    named_teams: frozenset[str],
    availability_zones: frozenset[str],
) -> Rows:
    """Return the rows by what they describe."""
    kinds = []
    teams = []
    workloads = []
    for number, item in built:
        if isinstance(item, WorkKind):
            kinds.append((number, item))
        elif isinstance(item, TeamQuota):
            teams.append((number, item))
        else:
            workloads.append((number, item))
    return Rows(
        tuple(kinds),
        tuple(teams),
        tuple(workloads),
        named_kinds,
        named_teams,
        availability_zones,
    )


def check_rows(rows: Rows) -> list[SheetProblem]:
    """Return the faults between rows."""
    faults: list[SheetProblem] = []
    for name in SHEET_CHECKS:
        faults.extend(SHEET_CHECKS.get(name)(rows))
    return faults


@SHEET_CHECKS.register("names")
def _names(rows: Rows) -> Iterator[SheetProblem]:
    kinds = [(number, kind.name) for number, kind in rows.kinds]
    teams = [(number, quota.team) for number, quota in rows.teams]
    for named in (kinds, teams):
        seen: dict[str, int] = {}
        for number, name in named:
            if name in seen:
                expected = f"must differ from row {seen[name]}"
                yield SheetProblem(number, "name", name, expected)
            seen.setdefault(name, number)


@SHEET_CHECKS.register("ids")
def _ids(rows: Rows) -> Iterator[SheetProblem]:
    seen: dict[tuple[str, str, str], int] = {}
    for number, item in rows.workloads:
        for request_id in request_ids(item):
            key = (item.team, item.availability_zone, request_id)
            if key in seen:
                expected = (
                    f"must differ from row {seen[key]}, which also makes the request "
                    f"{request_id!r} of this team and zone"
                )
                yield SheetProblem(number, "id", item.id, expected)
                break
            seen[key] = number


@SHEET_CHECKS.register("shares")
def _shares(rows: Rows) -> Iterator[SheetProblem]:
    floors = 0.0
    for number, kind in rows.kinds:
        floors += kind.floor
        if kind.floor > kind.ceiling:
            expected = f"must be at most the ceiling ({kind.ceiling:g})"
            yield SheetProblem(number, "floor", f"{kind.floor:g}", expected)
        if kind.ceiling == 0:
            expected = "must be above 0, or no work of this kind ever starts"
            yield SheetProblem(number, "ceiling", "0", expected)
    # Sums of decimal fractions are not exact: ten floors of 0.1 are a full zone.
    if floors > 1 + 1e-9:
        number = rows.kinds[-1][0]
        expected = "the floors of all kinds must add up to at most 1"
        yield SheetProblem(number, "floor", f"{floors:g} in total", expected)


@SHEET_CHECKS.register("kinds")
def _kinds(rows: Rows) -> Iterator[SheetProblem]:
    standing = {kind.name: kind.standing for _, kind in rows.kinds}
    for number, item in rows.workloads:
        if item.kind not in rows.named_kinds:
            known = ", ".join(sorted(rows.named_kinds)) or "none"
            expected = f"must be the name of a kind row in this sheet ({known})"
            yield SheetProblem(number, "kind", item.kind, expected)
            continue
        wanted = item.sort is RowType.SERVICE
        if item.kind in standing and standing[item.kind] != wanted:
            expected = (
                "a service needs a kind with standing yes"
                if wanted
                else f"a {item.sort} needs a kind with standing no"
            )
            yield SheetProblem(number, "kind", item.kind, expected)


@SHEET_CHECKS.register("teams")
def _teams(rows: Rows) -> Iterator[SheetProblem]:
    """A sheet without team rows sets no quotas, so any team may be named."""
    if not rows.named_teams:
        return
    for number, item in rows.workloads:
        if item.team not in rows.named_teams:
            expected = "must be the name of a team row in this sheet"
            yield SheetProblem(number, "team", item.team, expected)


@SHEET_CHECKS.register("zones")
def _zones(rows: Rows) -> Iterator[SheetProblem]:
    known = rows.availability_zones
    for number, item in rows.workloads:
        if known and item.availability_zone not in known:
            expected = f"must be one of {', '.join(sorted(known))}"
            yield SheetProblem(
                number, "availability zone", item.availability_zone, expected
            )


@SHEET_CHECKS.register("sizes")
def _sizes(rows: Rows) -> Iterator[SheetProblem]:
    limits = {quota.team: quota.limit for _, quota in rows.teams}
    for number, item in rows.workloads:
        if item.size.cpu_millis == 0:
            yield SheetProblem(number, "cpu cores", "0", "must be above 0")
        if item.size.memory_mb == 0:
            yield SheetProblem(number, "memory gb", "0", "must be above 0")
        if item.team in limits:
            yield from _over_quota(number, item, limits[item.team])


def _over_quota(number: int, item: Workload, limit: Size) -> Iterator[SheetProblem]:
    # The tasks of a batch can run one after the other; those of the others cannot.
    together = 1 if item.sort is RowType.BATCH else item.tasks
    for column, size, allowed in zip(SIZE_COLUMNS, item.size, limit):
        if size * together > allowed:
            unit = 1_000 if column in ("cpu cores", "memory gb") else 1
            expected = (
                f"{together} of these at once must fit the quota of team "
                f"{item.team}, which is {allowed / unit:g}"
            )
            yield SheetProblem(number, column, f"{size / unit:g}", expected)
