"""Errors of platform clients."""


class PlatformError(Exception):
    """A request to the platform failed."""


class PlatformUnreachableError(PlatformError):
    """Nothing was sent, because there was no connection to the platform."""


class PlatformReplyError(PlatformError):
    """The reply was lost or does not conform to the platform's protocol."""
