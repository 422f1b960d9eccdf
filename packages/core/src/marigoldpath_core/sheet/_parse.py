"""Parses and checks a whole sheet."""

from collections.abc import Iterable

from result import Err, Ok, Result

from marigoldpath_core.configuration import Configuration

from ._checks import check_rows, group_rows
from ._expand import to_configuration
from ._model import RowType, Sheet, SheetProblem
from ._rows import parse_row
from ._table import Table, read_table


def parse_sheet(
    data: bytes, availability_zones: Iterable[str] = ()
) -> Result[Sheet, list[SheetProblem]]:
    """Return the contents of an exported sheet, or all its problems sorted by row.

    Without `availability_zones` a workload may be in any zone.
    """
    problems: list[SheetProblem] = []
    table = read_table(data, problems)
    if "row" not in table.columns:
        return Err(problems)
    parsed_rows = [
        row
        for row in (parse_row(cells, problems) for cells in table.rows)
        if row is not None
    ]
    kinds = _names_in_rows(table, RowType.KIND)
    teams = _names_in_rows(table, RowType.TEAM)
    rows = group_rows(parsed_rows, kinds, teams, frozenset(availability_zones))
    problems.extend(check_rows(rows))
    if not kinds and not problems:
        problems.append(SheetProblem(0, "row", "no kind row", "must describe a kind"))
    if problems:
        return Err(sorted(problems, key=lambda problem: problem.row))
    return Ok(
        Sheet(
            tuple(kind for _, kind in rows.kinds),
            tuple(quota for _, quota in rows.teams),
            tuple(item for _, item in rows.workloads),
        )
    )


def read_configuration(
    text: str, version: int
) -> Result[Configuration, list[SheetProblem]]:
    """Return the configuration that a sheet describes, or all problems in the sheet."""
    return parse_sheet(text.encode("utf-8", "surrogatepass")).map(
        lambda sheet: to_configuration(sheet, version)
    )


def _names_in_rows(table: Table, row_type: RowType) -> frozenset[str]:
    return frozenset(
        row.cells["name"]
        for row in table.rows
        if row.cells.get("row", "").casefold() == row_type and "name" in row.cells
    )
