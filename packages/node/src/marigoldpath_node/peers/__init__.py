"""Forwarding of requests and outcomes between entry hosts."""

from ._batches import BatchSender, Parcel, PeerBusyError, PeerLinks, PeerReplyError
from ._beacon import Beacon
from ._calls import Call, CallTable
from ._codec import decode_view, encode_outcome, encode_view
from ._delivery import OutcomeDelivery
from ._forwarder import Forwarder
from ._inbox import PeerInbox
from ._leaders import Leaders
from ._reports import DayReports, ZoneDay

__all__ = [
    "BatchSender",
    "Beacon",
    "Call",
    "CallTable",
    "DayReports",
    "Forwarder",
    "Leaders",
    "OutcomeDelivery",
    "Parcel",
    "PeerBusyError",
    "PeerInbox",
    "PeerLinks",
    "PeerReplyError",
    "ZoneDay",
    "decode_view",
    "encode_outcome",
    "encode_view",
]
