"""The columns of a sheet and the parsers of their cells."""

import json
import re
from collections.abc import Callable
from typing import Any

from marigoldpath_core.placement import placement_policies
from marigoldpath_core.registry import Registry

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
INTEGER_PATTERN = re.compile(r"(\d{1,12})(?:[.,]0{1,2})?")
DECIMAL_PATTERN = re.compile(r"\d{1,12}(?:[.,]\d{1,12})?")
# "1.500" means 1.5 in some locales and 1500 in others.
AMBIGUOUS_PATTERN = re.compile(r"[1-9]\d{0,2}[.,]\d{3}")
MAX_COUNT = 1_000
MAX_CORES = 1_000_000
MAX_MEMORY_GB = 1_000_000

# Spreadsheets export booleans in the language of the user: English, French, Croatian.
TRUE_WORDS = frozenset({"yes", "true", "1", "oui", "vrai", "da", "istina"})
FALSE_WORDS = frozenset({"no", "false", "0", "non", "faux", "ne", "neistina"})

CellReader = Callable[[str], Any]
COLUMNS: Registry[str, CellReader] = Registry("column")
column = COLUMNS.register


@column("row")
def _row(text: str) -> str:
    return text.casefold()


@column("name")
@column("id")
@column("team")
@column("availability zone")
@column("kind")
def _name(text: str) -> str:
    if not NAME_PATTERN.fullmatch(text):
        raise ValueError("must be 1 to 128 letters, digits or '._:-', without spaces")
    return text


@column("placement")
def _placement(text: str) -> str:
    if text not in placement_policies:
        raise ValueError(f"must be one of {', '.join(placement_policies)}")
    return text


@column("priority")
def _priority(text: str) -> int:
    return _integer(text, 0, 9)


@column("weight")
def _weight(text: str) -> int:
    return _integer(text, 1, 10_000)


@column("floor")
@column("ceiling")
def _share(text: str) -> float:
    if text.endswith("%"):
        return _decimal(text[:-1].rstrip(), 100, "from 0% to 100%") / 100
    return _decimal(text, 1, "from 0 to 1, such as 0.25 or 25%")


@column("queue limit")
def _queue_limit(text: str) -> int:
    return _integer(text, 0, 1_000_000)


@column("standing")
@column("checkpoint")
@column("repeatable")
def _flag(text: str) -> bool:
    word = text.casefold()
    if word in TRUE_WORDS:
        return True
    if word in FALSE_WORDS:
        return False
    raise ValueError("must be yes or no")


@column("cpu cores")
def _cores(text: str) -> int:
    """Return the number of CPU cores in millicores."""
    return round(1_000 * _decimal(text, MAX_CORES, f"from 0 to {MAX_CORES}"))


@column("memory gb")
def _memory(text: str) -> int:
    """Return megabytes; a gigabyte is 1,000 megabytes."""
    return round(1_000 * _decimal(text, MAX_MEMORY_GB, f"from 0 to {MAX_MEMORY_GB}"))


@column("accelerators")
@column("slots")
@column("connections")
def _units(text: str) -> int:
    return _integer(text, 0, 1_000_000)


@column("count")
def _count(text: str) -> int:
    return _integer(text, 1, MAX_COUNT)


@column("work")
def _work(text: str) -> dict[str, Any]:
    expected = 'must be a JSON object such as {"program": "watch"}'
    try:
        value = json.loads(text)
    except (ValueError, RecursionError):
        raise ValueError(expected) from None
    if not isinstance(value, dict):
        raise ValueError(expected)
    return value


def _integer(text: str, least: int, most: int) -> int:
    match = INTEGER_PATTERN.fullmatch(text)
    if match is None or not least <= int(match[1]) <= most:
        raise ValueError(
            f"must be a whole number from {least} to {most}, without separators"
        )
    return int(match[1])


def _decimal(text: str, most: float, allowed: str) -> float:
    if AMBIGUOUS_PATTERN.fullmatch(text):
        raise ValueError(
            "could be read as thousands or as a fraction: write 1500 or 1.5, not 1.500"
        )
    if not DECIMAL_PATTERN.fullmatch(text):
        raise ValueError(f"must be a number {allowed}")
    value = float(text.replace(",", "."))
    if value > most:
        raise ValueError(f"must be a number {allowed}")
    return value
