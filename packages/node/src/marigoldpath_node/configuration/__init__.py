"""The configuration in force on this host, and its way between hosts."""

from ._service import ConfigurationService
from ._versions import HostVersion, PeerVersions
from ._work import SheetWork

__all__ = ["ConfigurationService", "HostVersion", "PeerVersions", "SheetWork"]
