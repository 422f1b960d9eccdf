"""HTTP requests and responses, independent of their encoding."""

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, unquote, urlsplit

Headers = list[tuple[str, str]]


class Traffic:
    """Counts the bytes of HTTP messages, without the headers of lower layers."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0


class HttpRequest(NamedTuple):
    """A request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without percent-encoding."""
        return unquote(urlsplit(self.target).path)

    @property
    def query(self) -> dict[str, str]:
        """The last value of each query parameter."""
        return dict(parse_qsl(urlsplit(self.target).query))


class HttpResponse(NamedTuple):
    """A complete response; header names are in lower case."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}  # noqa: RUF012

    def json(self) -> Any:
        """Return the decoded body; raises ValueError if it is not JSON."""
        return decode_json(self.body)


def decode_json(value: bytes) -> Any:
    """Decode JSON of another process.

    Raises ValueError if it is not JSON, or nested too deeply to be decoded.
    """
    try:
        return json.loads(value)
    except RecursionError as error:
        raise ValueError("the JSON is nested too deeply") from error
    except UnicodeDecodeError as error:
        # The representation of this error is the whole input, which may have API keys.
        reason = f"{error.reason} at byte {error.start}"
        raise ValueError(f"the JSON is not UTF-8: {reason}") from None


def json_response(
    status: int, value: Any, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Return a response with a JSON body."""
    body = json.dumps(value, separators=(",", ":")).encode()
    return HttpResponse(
        status, body, {"content-type": "application/json", **(headers or {})}
    )
