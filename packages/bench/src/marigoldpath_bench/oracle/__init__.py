"""Read the workers' records and count the violations of the scheduling rules."""

from ._checks import Interval, Verdict, judge
from ._files import read_records

__all__ = ["Interval", "Verdict", "judge", "read_records"]
