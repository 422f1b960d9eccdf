"""Forwarding of requests and outcomes between entry hosts."""

from ._batches import (
    BatchSender,
    EntryHostClient,
    Parcel,
    PeerReplyError,
    PeerUnavailableError,
)
from ._beacon import BeaconSender
from ._calls import Call, PendingCalls
from ._codec import decode_view, encode_outcome, encode_view
from ._delivery import OutcomeDelivery
from ._forwarder import Forwarder
from ._leader_directory import LeaderDirectory
from ._reports import DayRecordCollector, ZoneDayRecord
from ._request_handler import PeerRequestHandler

__all__ = [
    "BatchSender",
    "BeaconSender",
    "Call",
    "DayRecordCollector",
    "EntryHostClient",
    "Forwarder",
    "LeaderDirectory",
    "OutcomeDelivery",
    "Parcel",
    "PeerReplyError",
    "PeerRequestHandler",
    "PeerUnavailableError",
    "PendingCalls",
    "ZoneDayRecord",
    "decode_view",
    "encode_outcome",
    "encode_view",
]
