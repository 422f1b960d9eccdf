"""Reads the bytes of an exported sheet into rows of cells by column name."""

import csv
import io
from typing import NamedTuple

from ._columns import COLUMNS
from ._model import SheetProblem

DELIMITERS = (",", ";", "\t")
MAX_SHOWN_LENGTH = 60


class TableRow(NamedTuple):
    """The non-empty cells of a row, by column name."""

    number: int
    cells: dict[str, str]


class Table(NamedTuple):
    """The columns of a sheet and its non-blank rows."""

    columns: tuple[str, ...]
    rows: tuple[TableRow, ...]


def read_table(data: bytes, problems: list[SheetProblem]) -> Table:
    """Return the columns and rows of a sheet.

    A problem is added to `problems` for each part that cannot be read.
    """
    text = _decode(data, problems)
    records = _parse_records(_split_lines(text), problems)
    filled = [(number, cells) for number, cells in records if any(cells)]
    if not filled:
        if not problems:
            problems.append(_file_problem("no rows", "must have a row of column names"))
        return Table((), ())
    header_number, header = filled[0]
    names = _parse_header(header_number, header, problems)
    rows = [
        TableRow(number, _cells_by_column(number, names, cells, problems))
        for number, cells in filled[1:]
    ]
    return Table(tuple(name for name in names if name), tuple(rows))


def shorten(text: str) -> str:
    """Return the text of a cell, truncated for display in a problem."""
    return text if len(text) <= MAX_SHOWN_LENGTH else f"{text[:MAX_SHOWN_LENGTH]}..."


def _file_problem(value: str, expected: str) -> SheetProblem:
    return SheetProblem(0, "", value, expected)


def _decode(data: bytes, problems: list[SheetProblem]) -> str:
    expected = "must be UTF-8: export it as 'CSV UTF-8'"
    if data.startswith((b"\xff\xfe", b"\xfe\xff")):
        problems.append(_file_problem("UTF-16", expected))
        return ""
    if b"\x00" in data:
        problems.append(_file_problem("binary data", "must be a CSV file"))
        return ""
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        number = data.count(b"\n", 0, error.start) + 1
        value = f"byte 0x{data[error.start]:02x}"
        problems.append(SheetProblem(number, "", value, expected))
        # The rows are still checked, with a replacement character for each invalid
        # byte.
        return data.decode("utf-8-sig", errors="replace")


def _split_lines(text: str) -> list[str]:
    """Return the lines without Excel's `sep=;` line, which has no row number."""
    lines = list(io.StringIO(text, newline=""))
    if lines and lines[0].strip().lower() in {f"sep={d}" for d in DELIMITERS}:
        return lines[1:]
    return lines


def _parse_records(
    lines: list[str], problems: list[SheetProblem]
) -> list[tuple[int, list[str]]]:
    reader = csv.reader(lines, delimiter=_detect_delimiter(lines), strict=True)
    records: list[tuple[int, list[str]]] = []
    number = 1
    try:
        for cells in reader:
            records.append((number, [cell.strip() for cell in cells]))
            number += 1
    except csv.Error as error:
        problems.append(
            SheetProblem(
                number, "", str(error), "must have a closing quote on each cell"
            )
        )
    return records


def _detect_delimiter(lines: list[str]) -> str:
    """Return the delimiter that yields the most known columns in the first row."""
    header = next((line for line in lines if line.strip(" ,;\t\r\n")), "")

    def count_known_columns(delimiter: str) -> int:
        names = header.strip("\r\n").split(delimiter)
        return sum(column_name(name) in COLUMNS for name in names)

    return max(DELIMITERS, key=count_known_columns)


def column_name(text: str) -> str:
    """Return the text of a header cell in the form of the keys of `COLUMNS`.

    It is in lower case, without quotes, and with single spaces.
    """
    return " ".join(text.strip().strip('"').replace("_", " ").casefold().split())


def _parse_header(
    number: int, cells: list[str], problems: list[SheetProblem]
) -> list[str]:
    names: list[str] = []
    for cell in cells:
        name = column_name(cell)
        if name and name not in COLUMNS:
            expected = f"known columns: {', '.join(COLUMNS)}"
            problems.append(SheetProblem(number, cell, shorten(cell), expected))
            name = ""
        elif name and name in names:
            problems.append(
                SheetProblem(number, cell, shorten(cell), "must be there only once")
            )
            name = ""
        names.append(name)
    if "row" not in names:
        problems.append(SheetProblem(number, "row", "", "the sheet needs this column"))
    return names


def _cells_by_column(
    number: int, names: list[str], cells: list[str], problems: list[SheetProblem]
) -> dict[str, str]:
    extra = [cell for cell in cells[len(names) :] if cell]
    if extra:
        problems.append(
            SheetProblem(number, "", shorten(extra[0]), "has no column name above it")
        )
    return {name: cell for name, cell in zip(names, cells) if name and cell}
