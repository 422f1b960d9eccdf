"""The configuration that a sheet brings into force."""

from ._model import Configuration, TeamQuota, WorkKind

__all__ = ["Configuration", "TeamQuota", "WorkKind"]
