"""Checks a sheet as a whole."""

from collections.abc import Iterable

from result import Err, Ok, Result

from marigoldpath_core.configuration import Configuration

from ._checks import check_rows, split_rows
from ._expand import to_configuration
from ._model import RowType, Sheet, SheetProblem
from ._rows import build_row
from ._table import Table, read_table


def parse_sheet(
    data: bytes, availability_zones: Iterable[str] = ()
) -> Result[Sheet, list[SheetProblem]]:
    """Return the content of an exported sheet, or every fault in it by row.

    Without `availability_zones` a description may name any zone.
    """
    faults: list[SheetProblem] = []
    table = read_table(data, faults)
    if "row" not in table.columns:
        return Err(faults)
    built = [
        row
        for row in (build_row(cells, faults) for cells in table.rows)
        if row is not None
    ]
    kinds = _named(table, RowType.KIND)
    teams = _named(table, RowType.TEAM)
    rows = split_rows(built, kinds, teams, frozenset(availability_zones))
    faults.extend(check_rows(rows))
    if not kinds and not faults:
        faults.append(SheetProblem(0, "row", "no kind row", "must describe a kind"))
    if faults:
        return Err(sorted(faults, key=lambda fault: fault.row))
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
    """Return the configuration that the text of a sheet describes."""
    return parse_sheet(text.encode("utf-8", "surrogatepass")).map(
        lambda sheet: to_configuration(sheet, version)
    )


def _named(table: Table, sort: RowType) -> frozenset[str]:
    return frozenset(
        row.cells["name"]
        for row in table.rows
        if row.cells.get("row", "").casefold() == sort and "name" in row.cells
    )
