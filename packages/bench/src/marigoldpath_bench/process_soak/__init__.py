"""Soak test of the real program: host processes, fake services, injected faults."""

from ._run import SoakResult, SoakRun, SoakSettings

__all__ = ["SoakResult", "SoakRun", "SoakSettings"]
