"""Data types of admission."""

from typing import NamedTuple

from marigoldpath_core.requests import Origin, Request, RequestKey


class QueuedRequest(NamedTuple):
    """A waiting request; `sequence` is the order of arrival over all kinds.

    `volume` is the sum of the parts of the zone's processors and memory it needs.
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
    """Why a request is not queued; `retry_after_ms` is 0 where retrying is no use."""

    code: str
    message: str
    field: str = ""
    retry_after_ms: int = 0
