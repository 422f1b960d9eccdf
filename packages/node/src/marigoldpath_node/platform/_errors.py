"""Errors of the platform's client."""


class PlatformError(Exception):
    """The platform did not answer as asked."""


class PlatformUnreachableError(PlatformError):
    """Nothing was sent: there was no connection to the platform."""


class PlatformReplyError(PlatformError):
    """The reply was lost or is not one that the platform's protocol defines."""
