"""Forwarding of requests and outcomes between entry hosts."""

from ._batches import (
    BatchItem,
    BatchSender,
    EntryHostClient,
    PeerReplyError,
    PeerUnavailableError,
)
from ._beacon import BeaconSender
from ._calls import PendingCall, PendingCalls
from ._codec import decode_view, encode_outcome, encode_view
from ._delivery import OutcomeDelivery
from ._forwarder import Forwarder
from ._leader_directory import LeaderDirectory
from ._reports import DayRecordCollector, ZoneDayRecord
from ._request_handler import PeerRequestHandler

__all__ = [
    "BatchItem",
    "BatchSender",
    "BeaconSender",
    "DayRecordCollector",
    "EntryHostClient",
    "Forwarder",
    "LeaderDirectory",
    "OutcomeDelivery",
    "PeerReplyError",
    "PeerRequestHandler",
    "PeerUnavailableError",
    "PendingCall",
    "PendingCalls",
    "ZoneDayRecord",
    "decode_view",
    "encode_outcome",
    "encode_view",
]
