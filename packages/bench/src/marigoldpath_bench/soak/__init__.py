"""A seeded search for orders of faults that break what must always hold."""

from ._checks import Findings, check_invariants
from ._operations import ZoneSearch, operations

__all__ = ["Findings", "ZoneSearch", "check_invariants", "operations"]
