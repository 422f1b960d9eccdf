"""Registries that decorators fill."""

from ._registry import Registry, UnknownEntryError

__all__ = ["Registry", "UnknownEntryError"]
