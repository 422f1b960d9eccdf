"""Builds the objects that the rows of a sheet describe."""

from typing import Any, NamedTuple

from marigoldpath_core.configuration import TeamQuota, WorkKind
from marigoldpath_core.requests import Size

from ._columns import COLUMNS
from ._model import RowType, SheetProblem, Workload
from ._table import TableRow, shown

SIZE_COLUMNS = ("cpu cores", "memory gb", "accelerators", "slots", "connections")


class RowShape(NamedTuple):
    """The columns that a row must and may fill."""

    required: tuple[str, ...]
    optional: tuple[str, ...]


KIND_SHAPE = RowShape(
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
TEAM_SHAPE = RowShape(("name", *SIZE_COLUMNS), ("weight",))
DESCRIPTION_SHAPE = RowShape(
    ("id", "team", "availability zone", "kind", "cpu cores", "memory gb"),
    ("accelerators", "slots", "connections", "count", "repeatable", "work"),
)
SHAPES = {
    RowType.KIND: KIND_SHAPE,
    RowType.TEAM: TEAM_SHAPE,
    RowType.SERVICE: DESCRIPTION_SHAPE,
    RowType.BATCH: DESCRIPTION_SHAPE,
    RowType.JOB: DESCRIPTION_SHAPE,
}


class BuiltRow(NamedTuple):
    """A row without faults of its own."""

    number: int
    item: WorkKind | TeamQuota | Workload


def build_row(row: TableRow, faults: list[SheetProblem]) -> BuiltRow | None:
    """Return the object of a row, or None after adding its faults."""
    sort = _sort(row, faults)
    if sort is None:
        return None
    before = len(faults)
    values = _values(row, sort, faults)
    if len(faults) > before:
        return None
    if sort is RowType.KIND:
        return BuiltRow(row.number, _kind(values))
    if sort is RowType.TEAM:
        return BuiltRow(row.number, _team(values))
    return BuiltRow(row.number, _description(sort, values))


def _sort(row: TableRow, faults: list[SheetProblem]) -> RowType | None:
    text = row.cells.get("row", "")
    try:
        return RowType(text.casefold())
    except ValueError:
        expected = f"must be one of {', '.join(RowType)}"
        faults.append(SheetProblem(row.number, "row", shown(text), expected))
        return None


def _values(row: TableRow, sort: RowType, faults: list[SheetProblem]) -> dict[str, Any]:
    shape = SHAPES[sort]
    values: dict[str, Any] = {}
    for column, text in row.cells.items():
        if column == "row":
            continue
        if column not in shape.required and column not in shape.optional:
            expected = f"must be empty in a {sort} row"
            faults.append(SheetProblem(row.number, column, shown(text), expected))
            continue
        try:
            values[column] = COLUMNS.get(column)(text)
        except ValueError as fault:
            faults.append(SheetProblem(row.number, column, shown(text), str(fault)))
    for column in shape.required:
        if column not in row.cells:
            expected = f"must be filled in a {sort} row"
            faults.append(SheetProblem(row.number, column, "", expected))
    return values


def _kind(values: dict[str, Any]) -> WorkKind:
    return WorkKind(**{name.replace(" ", "_"): v for name, v in values.items()})


def _team(values: dict[str, Any]) -> TeamQuota:
    return TeamQuota(values["name"], _size(values, 0), values.get("weight", 1))


def _description(sort: RowType, values: dict[str, Any]) -> Workload:
    return Workload(
        sort=sort,
        id=values["id"],
        team=values["team"],
        availability_zone=values["availability zone"],
        kind=values["kind"],
        size=_size(values, 1),
        tasks=values.get("count", 1),
        repeatable=values.get("repeatable", True),
        work=values.get("work", {}),
    )


def _size(values: dict[str, Any], units: int) -> Size:
    """Return the size in a row; `units` stands for empty slots and connections."""
    return Size(
        cpu_millis=values["cpu cores"],
        memory_mb=values["memory gb"],
        accelerators=values.get("accelerators", 0),
        slots=values.get("slots", units),
        connections=values.get("connections", units),
    )
