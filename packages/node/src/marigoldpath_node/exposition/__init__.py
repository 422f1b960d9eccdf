"""Metrics as text; apart from observability, as its library takes 4 MB."""

from ._metrics import CellMetrics

__all__ = ["CellMetrics"]
