"""A fake advice service that approves a fixed subset of workers for each step."""

import zlib
from typing import Any

import curio

from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._server import FakeServer

REPLY_DELAY_S = 0.02
REJECTED_PER_TEN = 3


class FakeAdviceService(FakeServer):
    """Approve the same workers of a step each time, and one worker for all steps."""

    def __init__(self, always_approved: str = "w0") -> None:
        super().__init__()
        self._always_approved = always_approved

    async def respond(self, request: HttpRequest, body: Any) -> HttpResponse:
        """Return the approved workers with their tickets."""
        await curio.sleep(REPLY_DELAY_S)
        approved = [
            [worker, f"{body['step']} {worker}"]
            for worker in body["workers"]
            if self._approves(body["step"], worker)
        ]
        return json_response(200, {"approved": approved})

    def _approves(self, step: str, worker: str) -> bool:
        if worker == self._always_approved:
            return True
        return zlib.crc32(f"{step} {worker}".encode()) % 10 >= REJECTED_PER_TEN
