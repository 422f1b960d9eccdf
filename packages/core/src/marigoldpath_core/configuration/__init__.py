"""The configuration that a sheet brings into force."""

from ._codec import (
    ConfigurationPayload,
    decode_configuration,
    encode_configuration,
)
from ._diff import Change, ChangeSort, diff
from ._model import Configuration, TeamQuota, WorkKind

__all__ = [
    "Change",
    "ChangeSort",
    "Configuration",
    "ConfigurationPayload",
    "TeamQuota",
    "WorkKind",
    "decode_configuration",
    "diff",
    "encode_configuration",
]
