"""The active configuration of this host and its synchronization between hosts."""

from ._service import ConfigurationService
from ._sheet_requests import SheetRequestSubmitter
from ._version_sync import HostVersion, PeerVersionSync

__all__ = [
    "ConfigurationService",
    "HostVersion",
    "PeerVersionSync",
    "SheetRequestSubmitter",
]
