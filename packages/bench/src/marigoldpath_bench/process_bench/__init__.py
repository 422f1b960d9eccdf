"""Measures of the running system: daemons, stand-ins and callers as processes."""

from ._measures import MEASURES, measures

__all__ = ["MEASURES", "measures"]
