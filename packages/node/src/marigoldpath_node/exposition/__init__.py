"""Prometheus metrics, apart from observability: the library uses 4 MB of memory."""

from ._metrics import CellMetrics

__all__ = ["CellMetrics"]
