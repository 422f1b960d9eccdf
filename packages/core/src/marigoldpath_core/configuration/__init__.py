"""The configuration that a sheet brings into force."""

from ._codec import (
    ConfigurationPayload,
    decode_configuration,
    encode_configuration,
)
from ._diff import Change, ChangeSort, diff
from ._exchange import (
    ApplyOutcome,
    ApplyRequested,
    ApplyStatus,
    ConfigurationChanged,
    KeeperEffect,
    KeeperEvent,
    PeerRecordHeard,
    ReplyApply,
    TellPeers,
)
from ._model import Configuration, TeamQuota, WorkKind
from ._record import (
    CURRENT_KEY,
    RecordPayload,
    VersionPointer,
    VersionRecord,
    decode_record,
    encode_pointer,
    encode_record,
)
from ._versions import ConfigurationKeeper

__all__ = [
    "CURRENT_KEY",
    "ApplyOutcome",
    "ApplyRequested",
    "ApplyStatus",
    "Change",
    "ChangeSort",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationKeeper",
    "ConfigurationPayload",
    "KeeperEffect",
    "KeeperEvent",
    "PeerRecordHeard",
    "RecordPayload",
    "ReplyApply",
    "TeamQuota",
    "TellPeers",
    "VersionPointer",
    "VersionRecord",
    "WorkKind",
    "decode_configuration",
    "decode_record",
    "diff",
    "encode_configuration",
    "encode_pointer",
    "encode_record",
]
