"""Stand-in for the platform: table, objects and the host list."""

from ._hosts import HostList
from ._server import PlatformServer, PlatformSettings
from ._store import ConflictError, Store

__all__ = ["ConflictError", "HostList", "PlatformServer", "PlatformSettings", "Store"]
