"""Data types of the benchmark and the registry of its parts."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from marigoldpath_bench.deployment import REPOSITORY_ROOT
from marigoldpath_bench.measure import Measure
from marigoldpath_core.registry import Registry


class BenchSettings(NamedTuple):
    """The seed, the daemons' Python interpreter and the folder for the runs' files."""

    seed: int
    daemon_python: str
    folder: Path


BenchmarkPart = Callable[[BenchSettings], Awaitable[list[Measure]]]

PARTS: Registry[str, BenchmarkPart] = Registry("process measure")


def measure(
    name: str,
    variant: str,
    value: float,
    unit: str,
    seed: int,
    *,
    target: float | None = None,
) -> Measure:
    """Return one output line; the target is an upper bound."""
    value = round(value, 3)
    return {
        "measure": name,
        "variant": variant,
        "value": value,
        "unit": unit,
        "target": target,
        "met": None if target is None else value <= target,
        "seed": seed,
    }


def default_daemon_python() -> str:
    """Return the Python interpreter of the daemons' environment in the repository."""
    return str(REPOSITORY_ROOT / ".venv-daemon" / "bin" / "python")


def percentile(values: list[float], percent: float) -> float:
    """Return the nearest-rank percentile, or NaN without values."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    rank = -(-len(ordered) * percent // 100)
    return ordered[max(0, int(rank) - 1)]
