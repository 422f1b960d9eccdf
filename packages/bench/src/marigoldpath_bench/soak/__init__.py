"""A seeded search for orders of faults that break what must always hold."""

from ._checks import Findings, check_world
from ._operations import Search, operations

__all__ = ["Findings", "Search", "check_world", "operations"]
