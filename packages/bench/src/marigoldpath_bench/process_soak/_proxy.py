"""A TCP proxy on the loopback address that injects faults into its connections."""

import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from marigoldpath_core.registry import Registry

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# SO_LINGER with a timeout of 0: closing sends a reset and discards unsent bytes.
LINGER_RESET = struct.pack("ii", 1, 0)


class Chunk(NamedTuple):
    """Bytes to forward; `is_reply` is true for the direction to the caller."""

    data: bytes
    is_reply: bool


class ResetError(Exception):
    """The connection must be reset."""


ConnectionFault = Callable[["_Connection", Chunk], Awaitable[bytes]]
# A connection fault returns the bytes to forward.
connection_faults: Registry[str, ConnectionFault] = Registry("connection fault")

DELAY_S = 0.25


class _Connection:
    def __init__(self, caller: curio.io.Socket, server: curio.io.Socket) -> None:
        self.caller = caller
        self.server = server
        self.task: curio.Task | None = None
        # Once set, the connection drops all data; only new connections work again.
        self.drops_data = False

    def enable_reset_on_close(self) -> None:
        """Make closing the sockets send a reset in both directions."""
        for socket in (self.caller, self.server):
            socket.setsockopt(
                curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, LINGER_RESET
            )


class LoopbackProxy:
    """Proxy that forwards connections to an address; `mode` selects the fault."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self._connections: set[_Connection] = set()
        self._socket = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=256)

    @property
    def address(self) -> str:
        """The address on which the proxy listens, as IP:PORT."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            caller, _ = await self._socket.accept()
            await curio.spawn(self._proxy_connection, caller, daemon=True)

    async def reset_all(self) -> None:
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.enable_reset_on_close()
            if connection.task is not None:
                await connection.task.cancel(blocking=False)

    async def _proxy_connection(self, caller: curio.io.Socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await curio.timeout_after(
                CONNECT_TIMEOUT_S, curio.open_connection, host, int(port)
            )
        except (OSError, curio.TaskTimeout):
            await caller.close()
            return
        connection = _Connection(caller, server)
        connection.task = await curio.current_task()
        self._connections.add(connection)
        try:
            async with curio.TaskGroup(wait=any) as forwarders:
                await forwarders.spawn(self._forward, connection, False)
                await forwarders.spawn(self._forward, connection, True)
        finally:
            self._connections.discard(connection)
            await caller.close()
            await server.close()

    async def _forward(self, connection: _Connection, is_reply: bool) -> None:
        source, target = connection.caller, connection.server
        if is_reply:
            source, target = target, source
        try:
            while data := await source.recv(READ_BYTES):
                apply_fault = connection_faults.get(self.mode)
                forwarded = await apply_fault(connection, Chunk(data, is_reply))
                if forwarded and not connection.drops_data:
                    await target.sendall(forwarded)
        except ResetError:
            connection.enable_reset_on_close()
        except OSError:
            # One side has closed its connection; the other side is closed in response.
            return


@connection_faults.register("pass")
async def _forward_unchanged(_connection: _Connection, chunk: Chunk) -> bytes:
    return chunk.data


@connection_faults.register("delay")
async def _delay(_connection: _Connection, chunk: Chunk) -> bytes:
    await curio.sleep(DELAY_S)
    return chunk.data


@connection_faults.register("one_way")
async def _drop_replies(connection: _Connection, chunk: Chunk) -> bytes:
    if not chunk.is_reply:
        return chunk.data
    connection.drops_data = True
    return b""


@connection_faults.register("silent")
async def _drop_all(connection: _Connection, _chunk: Chunk) -> bytes:
    connection.drops_data = True
    return b""


@connection_faults.register("reset")
async def _reset(_connection: _Connection, _chunk: Chunk) -> bytes:
    raise ResetError
