"""The configuration in force on this host, and its way between hosts."""

from ._service import ConfigurationService
from ._sheet_requests import SheetRequestSubmitter
from ._version_sync import HostVersion, PeerVersionSync

__all__ = [
    "ConfigurationService",
    "HostVersion",
    "PeerVersionSync",
    "SheetRequestSubmitter",
]
