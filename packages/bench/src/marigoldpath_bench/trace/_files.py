"""Read and write trace files, which have one JSON object per line."""

import json
from collections.abc import Iterable
from pathlib import Path

from ._generate import TraceItem


def read_trace(path: Path) -> list[TraceItem]:
    """Return the requests of a trace file, sorted by offset."""
    items = [TraceItem(**json.loads(line)) for line in path.read_text().splitlines()]
    return sorted(items, key=lambda item: item.at_ms)


def write_trace(path: Path, items: Iterable[TraceItem]) -> None:
    """Write a trace file."""
    with path.open("w") as file:
        for item in items:
            file.write(json.dumps(item._asdict(), separators=(",", ":")) + "\n")
