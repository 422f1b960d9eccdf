"""A stand-in of the advice service.

It follows PROTOCOL.md: one call of each calling machine at a time, `decide-ms` plus
`period-ms` for each worker named, and 429 when 32 calls are waiting. It approves every
worker.
"""

import asyncio

from wire import Server

MAX_WAITING = 32
DECIDE_S = 0.45
PERIOD_S = 0.0065


class Advice:
    """Answers each call after its time, and counts the calls for each job.

    Each machine has an address of its own, as all of them call from 127.0.0.1.
    """

    def __init__(self):
        self.calls = {}
        self._waiting = 0

    async def listen(self, ip):
        """Serve one machine, and return the address for its settings."""
        lock = asyncio.Lock()

        async def handle(_method, _target, _headers, body):
            return await self._answer(lock, body)

        server = Server(handle)
        await server.start(ip)
        return server.address

    async def _answer(self, lock, body):
        if self._waiting >= MAX_WAITING:
            return 429, {}
        job_id = body["step"].partition(".")[0]
        self.calls[job_id] = self.calls.get(job_id, 0) + 1
        self._waiting += 1
        try:
            async with lock:
                await asyncio.sleep(DECIDE_S + PERIOD_S * len(body["workers"]))
        finally:
            self._waiting -= 1
        rows = [[worker, f"{body['step']}/{worker}"] for worker in body["workers"]]
        return 200, {"approved": rows}
