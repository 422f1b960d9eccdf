"""Renders views as text or as JSON."""

import json
from collections.abc import Callable
from typing import Any, TextIO

from rich.console import Console
from rich.table import Table as RichTable
from rich.text import Text

from marigoldpath_core.registry import Registry

from ._view import Document, Fields, Lines, Table, View

# Replaces the default of 80 columns if the output is no terminal, such as a pipe.
PIPE_WIDTH_COLUMNS = 200

Renderer = Callable[[Any, Console], None]
RENDERERS: Registry[type, Renderer] = Registry("renderer")
renders = RENDERERS.register


def render(view: View, as_json: bool, stream: TextIO) -> None:
    """Write a view to a stream."""
    if as_json:
        json.dump(view.payload, stream, indent=2, ensure_ascii=False)
        stream.write("\n")
        return
    width = None if stream.isatty() else PIPE_WIDTH_COLUMNS
    console = Console(file=stream, width=width, highlight=False)
    for block in view.blocks:
        RENDERERS.get(type(block))(block, console)


def printable(value: Any) -> str:
    """Return a value as text without control characters.

    Values come from the network and must not control the operator's terminal.
    """
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict | list):
        text = json.dumps(value, ensure_ascii=False)
    else:
        text = str(value)
    return "".join(c if c.isprintable() else " " for c in text)


@renders(Fields)
def _fields(block: Fields, console: Console) -> None:
    table = RichTable.grid(padding=(0, 2))
    for name, value in block.values.items():
        table.add_row(Text(printable(name)), Text(printable(value)))
    if block.title:
        console.print(Text(printable(block.title), style="bold"))
    console.print(table)


@renders(Table)
def _table(block: Table, console: Console) -> None:
    if block.title:
        console.print(Text(printable(block.title), style="bold"))
    if not block.rows:
        console.print("none")
        return
    table = RichTable(box=None, pad_edge=False, header_style="dim")
    for column in block.columns:
        numeric = all(
            isinstance(row[block.columns.index(column)], int | float)
            for row in block.rows
        )
        justify = "right" if numeric else "left"
        table.add_column(Text(printable(column)), justify=justify)  # type: ignore[arg-type]
    for row in block.rows:
        table.add_row(*(Text(printable(cell)) for cell in row))
    console.print(table)


@renders(Lines)
def _lines(block: Lines, console: Console) -> None:
    for line in block.lines:
        console.print(Text(printable(line)), soft_wrap=True)


@renders(Document)
def _document(block: Document, console: Console) -> None:
    console.file.write(block.text)
