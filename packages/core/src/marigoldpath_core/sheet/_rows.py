"""Parses the rows of a sheet into kinds, quotas and workloads."""

from typing import Any, NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.requests import Size

from ._columns import COLUMNS
from ._model import RowType, SheetProblem, Workload
from ._table import TableRow, shorten

SIZE_COLUMNS = ("cpu cores", "memory gb", "accelerators", "slots", "connections")


class RowColumns(NamedTuple):
    """The required and the optional columns of a row type."""

    required: tuple[str, ...]
    optional: tuple[str, ...]


KIND_COLUMNS = RowColumns(
    ("name",),
    (
        "priority",
        "weight",
        "floor",
        "ceiling",
        "queue limit",
        "placement",
        "standing",
        "checkpoint",
    ),
)
TEAM_COLUMNS = RowColumns(("name", *SIZE_COLUMNS), ("weight",))
WORKLOAD_COLUMNS = RowColumns(
    ("id", "team", "availability zone", "kind", "cpu cores", "memory gb"),
    ("accelerators", "slots", "connections", "count", "repeatable", "work"),
)
COLUMNS_BY_TYPE = {
    RowType.KIND: KIND_COLUMNS,
    RowType.TEAM: TEAM_COLUMNS,
    RowType.SERVICE: WORKLOAD_COLUMNS,
    RowType.BATCH: WORKLOAD_COLUMNS,
    RowType.JOB: WORKLOAD_COLUMNS,
}


class ParsedRow(NamedTuple):
    """The object that a valid row describes, with the row number."""

    number: int
    item: WorkKind | TeamQuota | Workload


def parse_row(row: TableRow, problems: list[SheetProblem]) -> ParsedRow | None:
    """Return the parsed row, or None after adding its problems to `problems`."""
    row_type = _parse_row_type(row, problems)
    if row_type is None:
        return None
    before = len(problems)
    values = _parse_cells(row, row_type, problems)
    if len(problems) > before:
        return None
    if row_type is RowType.KIND:
        return ParsedRow(row.number, _to_kind(values))
    if row_type is RowType.TEAM:
        return ParsedRow(row.number, _to_quota(values))
    return ParsedRow(row.number, _to_workload(row_type, values))


def _parse_row_type(row: TableRow, problems: list[SheetProblem]) -> RowType | None:
    text = row.cells.get("row", "")
    try:
        return RowType(text.casefold())
    except ValueError:
        expected = f"must be one of {', '.join(RowType)}"
        problems.append(SheetProblem(row.number, "row", shorten(text), expected))
        return None


def _parse_cells(
    row: TableRow, row_type: RowType, problems: list[SheetProblem]
) -> dict[str, Any]:
    columns = COLUMNS_BY_TYPE[row_type]
    values: dict[str, Any] = {}
    for column, text in row.cells.items():
        if column == "row":
            continue
        if column not in columns.required and column not in columns.optional:
            expected = f"must be empty in a {row_type} row"
            problems.append(SheetProblem(row.number, column, shorten(text), expected))
            continue
        try:
            values[column] = COLUMNS.get(column)(text)
        except ValueError as error:
            problems.append(SheetProblem(row.number, column, shorten(text), str(error)))
    for column in columns.required:
        if column not in row.cells:
            expected = f"must be filled in a {row_type} row"
            problems.append(SheetProblem(row.number, column, "", expected))
    return values


def _to_kind(values: dict[str, Any]) -> WorkKind:
    return WorkKind(**{name.replace(" ", "_"): v for name, v in values.items()})


def _to_quota(values: dict[str, Any]) -> TeamQuota:
    return TeamQuota(values["name"], _to_size(values, 0), values.get("weight", 1))


def _to_workload(row_type: RowType, values: dict[str, Any]) -> Workload:
    return Workload(
        row_type=row_type,
        id=values["id"],
        team=values["team"],
        availability_zone=values["availability zone"],
        kind=values["kind"],
        size=_to_size(values, 1),
        tasks=values.get("count", 1),
        repeatable=values.get("repeatable", True),
        work=values.get("work", {}),
    )


def _to_size(values: dict[str, Any], default_count: int) -> Size:
    """Return the size in a row.

    `default_count` is the default of slots and connections.
    """
    return Size(
        cpu_millis=values["cpu cores"],
        memory_mb=values["memory gb"],
        accelerators=values.get("accelerators", 0),
        slots=values.get("slots", default_count),
        connections=values.get("connections", default_count),
    )
