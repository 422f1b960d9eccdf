"""The configuration in force on this host, and its way between hosts."""

from ._service import ConfigurationService
from ._versions import HostVersion, PeerVersionSync
from ._work import SheetRequestSubmitter

__all__ = [
    "ConfigurationService",
    "HostVersion",
    "PeerVersionSync",
    "SheetRequestSubmitter",
]
