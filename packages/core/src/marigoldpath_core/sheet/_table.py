"""Turns the bytes of an exported sheet into rows of named cells."""

import csv
import io
from typing import NamedTuple

from ._columns import COLUMNS
from ._model import SheetProblem

DELIMITERS = (",", ";", "\t")
MAX_SHOWN = 60


class TableRow(NamedTuple):
    """The non-empty cells of a row by column."""

    number: int
    cells: dict[str, str]


class Table(NamedTuple):
    """The columns of a sheet and its rows that are not blank."""

    columns: tuple[str, ...]
    rows: tuple[TableRow, ...]


def read_table(data: bytes, faults: list[SheetProblem]) -> Table:
    """Return the rows of a sheet; what cannot be read is added to `faults`."""
    text = _decode(data, faults)
    records = _records(_lines(text), faults)
    filled = [(number, cells) for number, cells in records if any(cells)]
    if not filled:
        if not faults:
            faults.append(_file_fault("no rows", "must have a row of column names"))
        return Table((), ())
    header_number, header = filled[0]
    names = _header(header_number, header, faults)
    rows = [
        TableRow(number, _cells(number, names, cells, faults))
        for number, cells in filled[1:]
    ]
    return Table(tuple(name for name in names if name), tuple(rows))


def shown(text: str) -> str:
    """Return a cell as a fault shows it."""
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}..."


def _file_fault(value: str, expected: str) -> SheetProblem:
    return SheetProblem(0, "", value, expected)


def _decode(data: bytes, faults: list[SheetProblem]) -> str:
    advice = "must be UTF-8: export it as 'CSV UTF-8'"
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        faults.append(_file_fault("UTF-16", advice))
        return ""
    if b"\x00" in data:
        faults.append(_file_fault("binary data", "must be a CSV file"))
        return ""
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as fault:
        number = data.count(b"\n", 0, fault.start) + 1
        value = f"byte 0x{data[fault.start]:02x}"
        faults.append(SheetProblem(number, "", value, advice))
        # The rows are still checked, with a mark in place of each bad byte.
        return data.decode("utf-8-sig", errors="replace")


def _lines(text: str) -> list[str]:
    """Return the lines without Excel's `sep=;`, which it does not count as a row."""
    lines = list(io.StringIO(text, newline=""))
    if lines and lines[0].strip().lower() in {f"sep={d}" for d in DELIMITERS}:
        return lines[1:]
    return lines


def _records(
    lines: list[str], faults: list[SheetProblem]
) -> list[tuple[int, list[str]]]:
    reader = csv.reader(lines, delimiter=_delimiter(lines), strict=True)
    records: list[tuple[int, list[str]]] = []
    number = 1
    try:
        for cells in reader:
            records.append((number, [cell.strip() for cell in cells]))
            number += 1
    except csv.Error as fault:
        faults.append(
            SheetProblem(
                number, "", str(fault), "must have a closing quote on each cell"
            )
        )
    return records


def _delimiter(lines: list[str]) -> str:
    """Return the delimiter that makes the most column names of the first row."""
    header = next((line for line in lines if line.strip(" ,;\t\r\n")), "")

    def known(delimiter: str) -> int:
        names = header.strip("\r\n").split(delimiter)
        return sum(column_name(name) in COLUMNS for name in names)

    return max(DELIMITERS, key=known)


def column_name(text: str) -> str:
    """Return a header cell as columns are registered."""
    return " ".join(text.strip().strip('"').replace("_", " ").casefold().split())


def _header(number: int, cells: list[str], faults: list[SheetProblem]) -> list[str]:
    names: list[str] = []
    for cell in cells:
        name = column_name(cell)
        if name and name not in COLUMNS:
            expected = f"known columns: {', '.join(COLUMNS)}"
            faults.append(SheetProblem(number, cell, shown(cell), expected))
            name = ""
        elif name and name in names:
            faults.append(
                SheetProblem(number, cell, shown(cell), "must be there only once")
            )
            name = ""
        names.append(name)
    if "row" not in names:
        faults.append(SheetProblem(number, "row", "", "the sheet needs this column"))
    return names


def _cells(
    number: int, names: list[str], cells: list[str], faults: list[SheetProblem]
) -> dict[str, str]:
    extra = [cell for cell in cells[len(names) :] if cell]
    if extra:
        faults.append(
            SheetProblem(number, "", shown(extra[0]), "has no column name above it")
        )
    return {name: cell for name, cell in zip(names, cells) if name and cell}
