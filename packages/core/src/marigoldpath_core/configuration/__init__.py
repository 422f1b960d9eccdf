"""The configuration that operators apply with a sheet, and its versions."""

from ._codec import (
    ConfigurationPayload,
    decode_configuration,
    encode_configuration,
)
from ._diff import Change, ChangeType, diff
from ._exchange import (
    ApplyOutcome,
    ApplyRequested,
    ApplyStatus,
    ConfigurationChanged,
    ConfigurationEffect,
    ConfigurationEvent,
    PeerRecordReceived,
    ReplyToApply,
    SendToPeers,
)
from ._model import Configuration, TeamQuota, WorkKind
from ._record import (
    CURRENT_VERSION_KEY,
    RecordPayload,
    VersionPointer,
    VersionRecord,
    decode_record,
    encode_pointer,
    encode_record,
)
from ._versions import ConfigurationManager

__all__ = [
    "CURRENT_VERSION_KEY",
    "ApplyOutcome",
    "ApplyRequested",
    "ApplyStatus",
    "Change",
    "ChangeType",
    "Configuration",
    "ConfigurationChanged",
    "ConfigurationEffect",
    "ConfigurationEvent",
    "ConfigurationManager",
    "ConfigurationPayload",
    "PeerRecordReceived",
    "RecordPayload",
    "ReplyToApply",
    "SendToPeers",
    "TeamQuota",
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
