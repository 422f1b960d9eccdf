"""Data types of admission."""

from typing import NamedTuple

from marigoldpath_core.requests import Origin, Request, RequestKey


class QueuedRequest(NamedTuple):
    """A request that waits in the queue.

    `sequence` numbers the requests of all kinds in their order of arrival. `volume` is
    the fraction of the zone's CPU that the request needs plus the fraction of the
    zone's memory that it needs.
    """

    request: Request
    origin: Origin | None
    since_ms: int
    expires_ms: int
    sequence: int
    volume: float = 0.0

    @property
    def key(self) -> RequestKey:
        """Return the identity of the request."""
        return self.request.key


class Refusal(NamedTuple):
    """The reason why a request is not queued.

    `retry_after_ms` is 0 if a retry cannot succeed.
    """

    code: str
    message: str
    field: str = ""
    retry_after_ms: int = 0
