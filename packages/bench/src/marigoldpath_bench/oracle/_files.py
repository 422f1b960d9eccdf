"""Read the record files of workers."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any


def read_records(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the records of all files, file by file, in the order of their lines.

    An incomplete last line is skipped: the process that wrote the file was killed.
    """
    records: list[dict[str, Any]] = []
    for path in paths:
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                records.append(json.loads(line))
    return records
