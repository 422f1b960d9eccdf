"""A fake platform with a table, an object store and a host list."""

from ._hosts import HostList
from ._server import PlatformServer, PlatformSettings
from ._store import ConflictError, Store

__all__ = ["ConflictError", "HostList", "PlatformServer", "PlatformSettings", "Store"]
