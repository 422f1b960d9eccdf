"""Stand-in for the platform: table, objects and the host list."""

from ._hosts import HostList
from ._server import PlatformServer, PlatformSettings
from ._store import Store

__all__ = ["HostList", "PlatformServer", "PlatformSettings", "Store"]
