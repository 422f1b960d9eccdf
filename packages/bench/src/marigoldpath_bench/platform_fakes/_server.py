"""The HTTP server that all fakes of the platform share."""

import json
from typing import Any

import curio

from marigoldpath_node.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
)


class FakeServer:
    """Serve `respond` on a free port and record the requests in `received`."""

    def __init__(self) -> None:
        self.received: list[tuple[str, str, Any]] = []
        self._server = HttpServer(HttpServerSettings("127.0.0.1", 0), self._handle)

    async def start(self) -> None:
        """Listen and serve until the process ends."""
        self._server.listen()
        await curio.spawn(self._server.run, daemon=True)

    @property
    def address(self) -> str:
        """The address of the server as IP:PORT."""
        return f"127.0.0.1:{self._server.port}"

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        body = json.loads(request.body) if request.body else None
        self.received.append((request.method, request.path, body))
        return await self.respond(request, body)

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Return the response to a request."""
        raise NotImplementedError
