"""A soak of the real programs: processes, stand-ins and faults from outside them."""

from ._run import SoakResult, SoakRun, SoakSettings

__all__ = ["SoakResult", "SoakRun", "SoakSettings"]
