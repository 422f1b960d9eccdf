"""A seeded search for sequences of faults that violate an invariant."""

from ._checks import Findings, check_invariants
from ._operations import ZoneSearch, operations

__all__ = ["Findings", "ZoneSearch", "check_invariants", "operations"]
