"""Read the record files of workers."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any


def read_records(paths: Iterable[Path]) -> list[dict[str, Any]]:
    """Return the records of several files, each file in its own order.

    A last line that is incomplete because its process was killed is skipped.
    """
    records: list[dict[str, Any]] = []
    for path in paths:
        for line in path.read_text().splitlines(keepends=True):
            if line.endswith("\n"):
                records.append(json.loads(line))
    return records
