"""Errors of the HTTP layer."""


class HttpError(Exception):
    """A request failed without a complete response."""


class NotSentError(HttpError):
    """There was no connection, so the peer cannot have read the request."""


class ConnectionRefusedByPeerError(NotSentError):
    """The peer's host refused the connection: no process listens at the address."""


class ReplyLostError(HttpError):
    """At least part of the request was sent and no complete response came back."""
