"""Reads the workers' records and counts what must never happen."""

from ._count import Verdict, judge
from ._files import read_records

__all__ = ["Verdict", "judge", "read_records"]
