"""A proxy that delivers the bytes of a server at the rate of a slow link."""

import contextlib

import curio

SLICE_S = 0.02
CHUNK_BYTES = 65_536


class SlowLink:
    """Forwards connections to a server; replies share `bytes_per_s`.

    While `is_cut`, nothing is delivered in either direction and no connection is reset.
    """

    def __init__(self, upstream, bytes_per_s):
        self._upstream = upstream
        self._bytes_per_s = bytes_per_s
        self._lock = curio.Lock()
        self.is_cut = False
        self.delivered_bytes = 0
        self.address = ""

    async def start(self):
        listener = curio.network.tcp_server_socket("127.0.0.1", 0)
        port = listener.getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await curio.spawn(
            curio.network.run_server, listener, self._forward, daemon=True
        )

    async def _forward(self, client, _address):
        host, _, port = self._upstream.rpartition(":")
        server = await curio.open_connection(host, int(port))
        async with curio.TaskGroup(wait=any) as group:
            await group.spawn(self._send_requests, client, server)
            await group.spawn(self._send_replies, server, client)
        await server.close()

    async def _send_requests(self, client, server):
        with contextlib.suppress(OSError):
            while data := await client.recv(CHUNK_BYTES):
                await self._wait_until_healed()
                await server.sendall(data)

    async def _send_replies(self, server, client):
        slice_bytes = int(self._bytes_per_s * SLICE_S)
        with contextlib.suppress(OSError):
            while data := await server.recv(CHUNK_BYTES):
                for start in range(0, len(data), slice_bytes):
                    await self._deliver(client, data[start : start + slice_bytes])

    async def _deliver(self, client, data):
        async with self._lock:
            await curio.sleep(len(data) / self._bytes_per_s)
        await self._wait_until_healed()
        await client.sendall(data)
        self.delivered_bytes += len(data)

    async def _wait_until_healed(self):
        while self.is_cut:
            await curio.sleep(SLICE_S)
