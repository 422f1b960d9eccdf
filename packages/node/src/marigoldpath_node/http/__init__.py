"""HTTP/1.1 server and client, built on h11 and curio."""

from ._client import HttpClient, HttpClientSettings
from ._connection import Handler
from ._errors import (
    ConnectionRefusedByPeerError,
    HttpError,
    NotSentError,
    ReplyLostError,
)
from ._guard import ClosedConnection, ConnectionGuard
from ._messages import (
    HttpRequest,
    HttpResponse,
    Traffic,
    decode_json,
    json_response,
)
from ._server import HttpServer
from ._settings import HttpServerSettings

__all__ = [
    "ClosedConnection",
    "ConnectionGuard",
    "ConnectionRefusedByPeerError",
    "Handler",
    "HttpClient",
    "HttpClientSettings",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "HttpServerSettings",
    "NotSentError",
    "ReplyLostError",
    "Traffic",
    "decode_json",
    "json_response",
]
