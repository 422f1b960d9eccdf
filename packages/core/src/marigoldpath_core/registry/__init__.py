"""Registries that are filled by decorators."""

from ._registry import Registry, UnknownEntryError

__all__ = ["Registry", "UnknownEntryError"]
