"""Benchmark of the running system: daemons, fakes and callers as processes."""

from ._measures import MEASURES, measures

__all__ = ["MEASURES", "measures"]
