"""Reads the workers' records and counts what must never happen."""

from ._checks import Interval, Verdict, judge
from ._files import read_records

__all__ = ["Interval", "Verdict", "judge", "read_records"]
