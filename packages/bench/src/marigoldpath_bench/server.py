"""Common parts of the fakes: settings files, fault injection and the server."""

import argparse
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio

from marigoldpath_bench.faults import FaultInjector
from marigoldpath_node.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    json_response,
)

HOST_HEADER = "x-host"
MAX_BODY_BYTES = 16_777_216
IDLE_TIMEOUT_S = 3_600.0


def now_ms() -> int:
    """Return the monotonic clock, which is the same for all processes on a machine."""
    return time.monotonic_ns() // 1_000_000


def read_settings_argument(program: str) -> Any:
    """Return the decoded JSON file named by the argument --settings."""
    parser = argparse.ArgumentParser(prog=program)
    parser.add_argument("--settings", required=True, type=Path)
    return json.loads(parser.parse_args().settings.read_text())


def make_server(
    ip: str, port: int, handler: Callable[[HttpRequest], Awaitable[HttpResponse]]
) -> HttpServer:
    """Return a listening server.

    Idle connections stay open for an hour. Otherwise a caller could reuse a connection
    that the fake has just closed, which would be a fault that no test injected.
    """
    settings = HttpServerSettings(
        ip, port, max_body=MAX_BODY_BYTES, idle_s=IDLE_TIMEOUT_S
    )
    server = HttpServer(settings, handler)
    server.listen()
    return server


def error_response(status: int, code: str, message: str) -> HttpResponse:
    """Return an error response in the format of the fake platform and workers."""
    return json_response(status, {"code": code, "message": message})


class FaultInjectingHandler:
    """Request handler that injects the faults of a fault plan."""

    def __init__(
        self,
        injector: FaultInjector,
        handle: Callable[[HttpRequest], Awaitable[HttpResponse]],
        wait_for_change: Callable[[], Awaitable[None]],
    ) -> None:
        self._injector = injector
        self._handle = handle
        self._wait_for_change = wait_for_change

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        """Reply to a request, or raise OSError to close its connection."""
        host = request.headers.get(HOST_HEADER, "")
        action = self._injector.next_action(host, request.method != "GET")
        if action.held:
            while self._injector.is_frozen:
                await self._wait_for_change()
        if action.delay_ms:
            await curio.sleep(action.delay_ms / 1_000)
        if not action.handled:
            raise ConnectionAbortedError("injected fault: the request is dropped")
        response = await self._handle(request)
        if not action.replied:
            raise ConnectionAbortedError("injected fault: the reply is dropped")
        return response
