"""Client of the platform's table, object store and host list."""

from ._client import Hosts, PlatformClient, WriteReply, platform_client
from ._errors import PlatformError, PlatformReplyError, PlatformUnreachableError
from ._http import HttpPlatformClient, create_platform_client

__all__ = [
    "Hosts",
    "HttpPlatformClient",
    "PlatformClient",
    "PlatformError",
    "PlatformReplyError",
    "PlatformUnreachableError",
    "WriteReply",
    "create_platform_client",
    "platform_client",
]
