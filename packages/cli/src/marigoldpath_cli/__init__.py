"""The operators' program."""

from ._app import main

__all__ = ["main"]
