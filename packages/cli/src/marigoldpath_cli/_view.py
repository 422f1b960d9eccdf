"""The result of a command, independent of the output format."""

from typing import Any, NamedTuple

from ._exit_codes import ExitCode


class Fields(NamedTuple):
    """Pairs of a name and a value."""

    title: str
    values: dict[str, Any]


class Table(NamedTuple):
    """Rows of cells under columns."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[Any, ...], ...]


class Lines(NamedTuple):
    """Lines of text."""

    lines: tuple[str, ...]


class Document(NamedTuple):
    """Text that is written unchanged, such as an HTML page or a schema."""

    text: str


Block = Fields | Table | Lines | Document


class View(NamedTuple):
    """The result of a command: `payload` for JSON output, `blocks` for text output."""

    payload: Any
    blocks: tuple[Block, ...]
    exit_code: ExitCode = ExitCode.OK


def generic_blocks(payload: dict[str, Any]) -> tuple[Block, ...]:
    """Return the blocks of a JSON object: its scalars, then its objects and lists."""
    plain = {}
    blocks: list[Block] = []
    for name, value in payload.items():
        title = name.replace("_", " ")
        if isinstance(value, list) and all(isinstance(v, dict) for v in value):
            blocks.append(table_of(title, value))
        elif isinstance(value, dict):
            blocks.append(Fields(title, value))
        else:
            plain[title] = value
    return (Fields("", plain), *blocks) if plain else tuple(blocks)


def table_of(title: str, items: list[dict[str, Any]]) -> Table:
    """Return a table with a column for each key of the items."""
    columns = list(dict.fromkeys(key for item in items for key in item))
    rows = tuple(tuple(item.get(key, "") for key in columns) for item in items)
    return Table(title, tuple(key.replace("_", " ") for key in columns), rows)
