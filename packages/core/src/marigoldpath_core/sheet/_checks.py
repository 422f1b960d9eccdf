"""Consistency checks between the rows of a sheet."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.registry import Registry
from marigoldpath_core.requests import Size

from ._expand import request_ids
from ._model import RowType, SheetProblem, Workload
from ._rows import SIZE_COLUMNS, ParsedRow


class SheetRows(NamedTuple):
    """The rows of a sheet that are each valid on their own, with their row numbers.

    `named_kinds` and `named_teams` include the names in rows with problems, so that one
    problem is not reported again for each row that refers to it. If
    `availability_zones` is empty, a workload may be in any zone.
    """

    kinds: tuple[tuple[int, WorkKind], ...]
    teams: tuple[tuple[int, TeamQuota], ...]
    workloads: tuple[tuple[int, Workload], ...]
    named_kinds: frozenset[str]
    named_teams: frozenset[str]
    availability_zones: frozenset[str]


SheetCheck = Callable[[SheetRows], Iterator[SheetProblem]]
sheet_checks: Registry[str, SheetCheck] = Registry("sheet check")


def group_rows(
    parsed_rows: list[ParsedRow],
    named_kinds: frozenset[str],
    named_teams: frozenset[str],
    availability_zones: frozenset[str],
) -> SheetRows:
    """Return the rows grouped into kinds, teams and workloads."""
    kinds = []
    teams = []
    workloads = []
    for number, item in parsed_rows:
        if isinstance(item, WorkKind):
            kinds.append((number, item))
        elif isinstance(item, TeamQuota):
            teams.append((number, item))
        else:
            workloads.append((number, item))
    return SheetRows(
        tuple(kinds),
        tuple(teams),
        tuple(workloads),
        named_kinds,
        named_teams,
        availability_zones,
    )


def check_rows(rows: SheetRows) -> list[SheetProblem]:
    """Return the problems between rows."""
    problems: list[SheetProblem] = []
    for name in sheet_checks:
        problems.extend(sheet_checks.get(name)(rows))
    return problems


@sheet_checks.register("names")
def _check_names(rows: SheetRows) -> Iterator[SheetProblem]:
    kinds = [(number, kind.name) for number, kind in rows.kinds]
    teams = [(number, quota.team) for number, quota in rows.teams]
    for named in (kinds, teams):
        seen: dict[str, int] = {}
        for number, name in named:
            if name in seen:
                expected = f"must differ from row {seen[name]}"
                yield SheetProblem(number, "name", name, expected)
            seen.setdefault(name, number)


@sheet_checks.register("ids")
def _check_ids(rows: SheetRows) -> Iterator[SheetProblem]:
    seen: dict[tuple[str, str, str], int] = {}
    for number, workload in rows.workloads:
        for request_id in request_ids(workload):
            key = (workload.team, workload.availability_zone, request_id)
            if key in seen:
                expected = (
                    f"must differ from row {seen[key]}, which also makes the request "
                    f"{request_id!r} of this team and zone"
                )
                yield SheetProblem(number, "id", workload.id, expected)
                break
            seen[key] = number


@sheet_checks.register("shares")
def _check_shares(rows: SheetRows) -> Iterator[SheetProblem]:
    floors = 0.0
    for number, kind in rows.kinds:
        floors += kind.floor
        if kind.floor > kind.ceiling:
            expected = f"must be at most the ceiling ({kind.ceiling:g})"
            yield SheetProblem(number, "floor", f"{kind.floor:g}", expected)
        if kind.ceiling == 0:
            expected = "must be above 0, or no work of this kind ever starts"
            yield SheetProblem(number, "ceiling", "0", expected)
    # Binary floating-point sums are inexact: ten floors of 0.1 add up to slightly less
    # than 1, and other floors to slightly more. Both must be accepted.
    if floors > 1 + 1e-9:
        number = rows.kinds[-1][0]
        expected = "the floors of all kinds must add up to at most 1"
        yield SheetProblem(number, "floor", f"{floors:g} in total", expected)


@sheet_checks.register("kinds")
def _check_kinds(rows: SheetRows) -> Iterator[SheetProblem]:
    standing = {kind.name: kind.standing for _, kind in rows.kinds}
    for number, workload in rows.workloads:
        if workload.kind not in rows.named_kinds:
            known = ", ".join(sorted(rows.named_kinds)) or "none"
            expected = f"must be the name of a kind row in this sheet ({known})"
            yield SheetProblem(number, "kind", workload.kind, expected)
            continue
        is_service = workload.row_type is RowType.SERVICE
        if workload.kind in standing and standing[workload.kind] != is_service:
            expected = (
                "a service needs a kind with standing yes"
                if is_service
                else f"a {workload.row_type} needs a kind with standing no"
            )
            yield SheetProblem(number, "kind", workload.kind, expected)


@sheet_checks.register("teams")
def _check_teams(rows: SheetRows) -> Iterator[SheetProblem]:
    """Check the teams of workloads; without team rows any team is allowed."""
    if not rows.named_teams:
        return
    for number, workload in rows.workloads:
        if workload.team not in rows.named_teams:
            expected = "must be the name of a team row in this sheet"
            yield SheetProblem(number, "team", workload.team, expected)


@sheet_checks.register("zones")
def _check_zones(rows: SheetRows) -> Iterator[SheetProblem]:
    known = rows.availability_zones
    for number, workload in rows.workloads:
        if known and workload.availability_zone not in known:
            expected = f"must be one of {', '.join(sorted(known))}"
            yield SheetProblem(
                number, "availability zone", workload.availability_zone, expected
            )


@sheet_checks.register("sizes")
def _check_sizes(rows: SheetRows) -> Iterator[SheetProblem]:
    limits = {quota.team: quota.limit for _, quota in rows.teams}
    for number, workload in rows.workloads:
        if workload.size.cpu_millis == 0:
            yield SheetProblem(number, "cpu cores", "0", "must be above 0")
        if workload.size.memory_mb == 0:
            yield SheetProblem(number, "memory gb", "0", "must be above 0")
        if workload.team in limits:
            yield from _check_quota(number, workload, limits[workload.team])


def _check_quota(
    number: int, workload: Workload, limit: Size
) -> Iterator[SheetProblem]:
    # The tasks of a batch can run one after the other; all tasks of a service or job
    # run at the same time.
    concurrent_tasks = 1 if workload.row_type is RowType.BATCH else workload.tasks
    for column, size, allowed in zip(SIZE_COLUMNS, workload.size, limit):
        if size * concurrent_tasks > allowed:
            unit = 1_000 if column in ("cpu cores", "memory gb") else 1
            expected = (
                f"{concurrent_tasks} of these at once must fit the quota of team "
                f"{workload.team}, which is {allowed / unit:g}"
            )
            yield SheetProblem(number, column, f"{size / unit:g}", expected)
