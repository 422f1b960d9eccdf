"""Errors of the HTTP layer."""


class HttpError(Exception):
    """An exchange did not end with a whole response."""


class NotSentError(HttpError):
    """The peer cannot have read the request: there was no connection to it."""


class ReplyLostError(HttpError):
    """The request was sent, in part or whole, and no whole response came back."""
