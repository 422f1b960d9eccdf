"""Builds requests from received bytes within limits, without a socket."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

import h11

from marigoldpath_core.request_budget import CloseReason

from ._body import BodyParts
from ._messages import HttpRequest, HttpResponse, json_response

# The objects of a header field, apart from its text.
HEADER_FIELD_BYTES = 256
# The text of h11 repeats the line that it does not accept.
MAX_REASON_LENGTH = 200


class ParserLimits(NamedTuple):
    """Limits of one request: its head, and its body by the target."""

    max_head_bytes: int
    body_limit: Callable[[str], int]


class Progress(Enum):
    """Why the parser returns without a request."""

    NEEDS_DATA = "needs data"
    HAS_MORE = "has more"
    ENDED = "ended"


class RefusedRequestError(Exception):
    """A request is refused before it is handled; `reason` is None for invalid HTTP."""

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        reason: CloseReason | None = None,
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self._status = status
        self._body = {"code": code, "field": "", "message": message}

    @property
    def status(self) -> int:
        """The status of a response that says that the request has not run."""
        return self._status

    def response(self, *, has_repeats: bool = False) -> HttpResponse:
        """Return the response; `has_repeats` is that of HttpServerSettings."""
        status, outcome = self._status, "not_run"
        if has_repeats:
            outcome = "unknown"
            status = 504 if status == 503 else status
        headers = {"connection": "close"}
        if self._status == 503:
            headers["retry-after"] = "1"
        return json_response(status, {**self._body, "outcome": outcome}, headers)


class RequestParser:
    """Parses the requests of one connection with h11.

    The caller passes received bytes to `feed` and calls `advance` until it needs data.
    `steps` counts the parts and the events of the current request.
    """

    def __init__(self, limits: ParserLimits) -> None:
        self._limits = limits
        self.discard()

    def _begin(self) -> None:
        self._head: h11.Request | None = None
        self._head_bytes = 0
        self._body = BodyParts()
        self._max_body = 0
        self.steps = 0

    @property
    def protocol(self) -> h11.Connection:
        """The state of the connection, which also encodes the responses."""
        return self._protocol

    @property
    def has_head(self) -> bool:
        """Whether the head of the current request is complete."""
        return self._head is not None

    @property
    def body_bytes(self) -> int:
        """The bytes of the current body so far."""
        return self._body.size

    @property
    def head_bytes(self) -> int:
        """The bytes of the complete head with an allowance for its fields."""
        return self._head_bytes

    @property
    def held_bytes(self) -> int:
        """The bytes that the current request holds, complete or not."""
        return self._unparsed_bytes + self._head_bytes + self._body.size

    def feed(self, data: bytes) -> None:
        """Add received bytes; empty for the end of the stream."""
        self._protocol.receive_data(data)
        self._unparsed_bytes += len(data)
        self.steps += 1

    def advance(self, max_events: int) -> HttpRequest | Progress:
        """Parse at most `max_events` events of h11.

        Returns the request once it is complete. Raises RefusedRequestError if it is
        invalid or over a limit.
        """
        try:
            for _ in range(max_events):
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    # The start of a head, or of the line before a chunk.
                    self._unparsed_bytes = len(self._protocol.trailing_data[0])
                    return Progress.NEEDS_DATA
                self.steps += 1
                if isinstance(event, h11.Request):
                    self._set_head(event)
                elif isinstance(event, h11.Data):
                    self._add_body(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return self._make_request()
                else:
                    return Progress.ENDED
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise RefusedRequestError(
                status,
                "bad_http",
                str(error)[:MAX_REASON_LENGTH],
                CloseReason.HEAD_TOO_LARGE if status == 431 else None,
            ) from None
        return Progress.HAS_MORE

    def discard(self) -> None:
        """Release all received bytes; the next bytes are the start of a request."""
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.max_head_bytes
        )
        self._unparsed_bytes = 0
        self._begin()

    def start_next_request(self) -> bool:
        """Prepare for the next request; return whether bytes of it have arrived."""
        self._protocol.start_next_cycle()
        self._begin()
        self._unparsed_bytes = len(self._protocol.trailing_data[0])
        return self._unparsed_bytes > 0

    def _set_head(self, head: h11.Request) -> None:
        text_bytes = len(head.target)
        announced_bytes = 0
        for name, value in head.headers:
            text_bytes += len(name) + len(value) + 4
            if name == b"content-length":
                # h11 has checked that the value is one number.
                announced_bytes = int(value)
        if text_bytes > self._limits.max_head_bytes:
            raise RefusedRequestError(
                431,
                "bad_http",
                f"the head is over {self._limits.max_head_bytes} bytes",
                CloseReason.HEAD_TOO_LARGE,
            )
        self._head = head
        self._head_bytes = text_bytes + len(head.headers) * HEADER_FIELD_BYTES
        self._unparsed_bytes = max(0, self._unparsed_bytes - text_bytes)
        self._max_body = self._limits.body_limit(head.target.decode("latin-1"))
        if announced_bytes > self._max_body:
            raise self._body_too_large()

    def _add_body(self, data: bytes | bytearray) -> None:
        if self._body.size + len(data) > self._max_body:
            raise self._body_too_large()
        self._body.add(data)
        self._unparsed_bytes = max(0, self._unparsed_bytes - len(data))

    def _body_too_large(self) -> RefusedRequestError:
        return RefusedRequestError(
            413,
            "too_large",
            f"the body is over {self._max_body} bytes",
            CloseReason.BODY_TOO_LARGE,
        )

    def _make_request(self) -> HttpRequest:
        assert self._head is not None
        headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in self._head.headers
        }
        body = self._body.join()
        self._body = BodyParts()
        self._unparsed_bytes = 0
        return HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("latin-1"),
            headers,
            body,
        )
