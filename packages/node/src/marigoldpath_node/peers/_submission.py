"""The message that is sent to a zone's leader for one call."""

from typing import Any, NamedTuple

from marigoldpath_core.messages import CancelRequested, Event, RequestSubmitted
from marigoldpath_core.requests import (
    Origin,
    Outcome,
    OutcomeKind,
    Request,
    RequestKey,
    encode_request,
)

RETRY_AFTER_MS = 500


class Submission(NamedTuple):
    """A request, or the cancellation of `key` if `request` is None."""

    key: RequestKey
    request: Request | None
    traceparent: str = ""
    size_bytes: int = 500

    def with_shortened_deadline(self, elapsed_ms: int) -> "Submission":
        """Return the submission with its deadline shortened by `elapsed_ms`."""
        if self.request is None:
            return self
        remaining_ms = max(1, self.request.deadline_ms - elapsed_ms)
        return self._replace(request=self.request._replace(deadline_ms=remaining_ms))

    def event(self, origin: Origin) -> Event:
        """Return the event for this host's scheduler."""
        if self.request is None:
            return CancelRequested(self.key, origin)
        return RequestSubmitted(self.request, origin, self.traceparent)

    def payload(self, call: int) -> dict[str, Any]:
        """Return the JSON form for a peer."""
        if self.request is None:
            return {"call": call, "cancel": self.key._asdict(), "traceparent": ""}
        return {
            "call": call,
            "request": encode_request(self.request),
            "traceparent": self.traceparent,
        }


def not_run_outcome(key: RequestKey, code: str, message: str) -> Outcome:
    """Return the outcome of a request that was never submitted to a leader."""
    return Outcome(
        key, OutcomeKind.NOT_RUN, code, message, retry_after_ms=RETRY_AFTER_MS
    )


def unknown_outcome(key: RequestKey, message: str) -> Outcome:
    """Return the outcome of a request whose result could not be determined."""
    return Outcome(key, OutcomeKind.UNKNOWN, "no_reply", message)
