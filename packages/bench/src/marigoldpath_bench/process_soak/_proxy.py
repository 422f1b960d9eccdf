"""A proxy on the loopback address that damages the connections through it."""

import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from marigoldpath_core.registry import Registry

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Closing with these options sends a reset instead of the bytes that are left.
LINGER_RESET = struct.pack("ii", 1, 0)


class Chunk(NamedTuple):
    """Bytes on their way; `is_reply` tells the direction."""

    data: bytes
    is_reply: bool


class ResetError(Exception):
    """The connection is to be reset."""


ConnectionFault = Callable[["_Connection", Chunk], Awaitable[bytes]]
# A treatment returns what is passed on.
connection_faults: Registry[str, ConnectionFault] = Registry(
    "treatment of a connection"
)

DELAY_S = 0.25


class _Connection:
    def __init__(self, caller: curio.io.Socket, server: curio.io.Socket) -> None:
        self.caller = caller
        self.server = server
        self.task: curio.Task | None = None
        # A connection that lost bytes is silent for good; only new ones work.
        self.drops_data = False

    def enable_reset_on_close(self) -> None:
        """Let the end of the connection be a reset in both directions."""
        for socket in (self.caller, self.server):
            socket.setsockopt(
                curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, LINGER_RESET
            )


class LoopbackProxy:
    """Passes connections on to an address, treated as `mode` says."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode = "pass"
        self._connections: set[_Connection] = set()
        self._socket = curio.network.tcp_server_socket("127.0.0.1", 0, backlog=256)

    @property
    def address(self) -> str:
        """Where it listens, as IP:PORT."""
        return f"127.0.0.1:{self._socket.getsockname()[1]}"

    async def run(self) -> None:
        """Accept connections until cancelled."""
        while True:
            caller, _ = await self._socket.accept()
            await curio.spawn(self._proxy_connection, caller, daemon=True)

    async def reset_all(self) -> None:
        """Reset the connections that are open."""
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
            # One side has closed; the other is closed with it.
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
