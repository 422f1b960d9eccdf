"""The advice service in small: approves a fixed part of the workers of a step."""

import zlib
from typing import Any

import curio

from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._server import FakeServer

ANSWER_S = 0.02
REFUSED_IN_TEN = 3


class FakeAdviceService(FakeServer):
    """Approves the same workers of a step each time, and one of them for all steps."""

    def __init__(self, always: str = "w0") -> None:
        super().__init__()
        self._always = always

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Return the approved workers with their tickets."""
        await curio.sleep(ANSWER_S)
        approved = [
            [worker, f"{body['step']} {worker}"]
            for worker in body["workers"]
            if self._approves(body["step"], worker)
        ]
        return json_response(200, {"approved": approved})

    def _approves(self, step: str, worker: str) -> bool:
        if worker == self._always:
            return True
        return zlib.crc32(f"{step} {worker}".encode()) % 10 >= REFUSED_IN_TEN
