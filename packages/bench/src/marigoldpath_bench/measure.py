"""The type of a benchmark's output lines."""

from typing import TypedDict


class Measure(TypedDict):
    """One line of a benchmark's output."""

    measure: str
    variant: str
    value: float
    unit: str
    target: float | None
    met: bool | None
    seed: int
