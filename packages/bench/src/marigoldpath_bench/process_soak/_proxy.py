"""A proxy on the loopback address that damages the connections through it."""

import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import curio

from marigoldpath_core.registry import Registry

READ_SIZE = 65_536
CONNECT_S = 1.0
# Closing with these options sends a reset instead of the bytes that are left.
RESET = struct.pack("ii", 1, 0)


class Chunk(NamedTuple):
    """Bytes on their way; `is_answer` tells the direction."""

    data: bytes
    is_answer: bool


class ResetError(Exception):
    """The connection is to be reset."""


Treatment = Callable[["_Connection", Chunk], Awaitable[bytes]]
# A treatment returns what is passed on.
treatments: Registry[str, Treatment] = Registry("treatment of a connection")

DELAY_S = 0.25


class _Connection:
    def __init__(self, caller: curio.io.Socket, server: curio.io.Socket) -> None:
        self.caller = caller
        self.server = server
        self.task: curio.Task | None = None
        # A connection that lost bytes is silent for good; only new ones work.
        self.is_silent = False

    def reset_when_closed(self) -> None:
        """Let the end of the connection be a reset in both directions."""
        for socket in (self.caller, self.server):
            socket.setsockopt(curio.socket.SOL_SOCKET, curio.socket.SO_LINGER, RESET)


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
            await curio.spawn(self._serve, caller, daemon=True)

    async def reset_all(self) -> None:
        """Reset the connections that are open."""
        for connection in list(self._connections):
            connection.reset_when_closed()
            if connection.task is not None:
                await connection.task.cancel(blocking=False)

    async def _serve(self, caller: curio.io.Socket) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server = await curio.timeout_after(
                CONNECT_S, curio.open_connection, host, int(port)
            )
        except (OSError, curio.TaskTimeout):
            await caller.close()
            return
        connection = _Connection(caller, server)
        connection.task = await curio.current_task()
        self._connections.add(connection)
        try:
            async with curio.TaskGroup(wait=any) as pumps:
                await pumps.spawn(self._pump, connection, False)
                await pumps.spawn(self._pump, connection, True)
        finally:
            self._connections.discard(connection)
            await caller.close()
            await server.close()

    async def _pump(self, connection: _Connection, is_answer: bool) -> None:
        source, target = connection.caller, connection.server
        if is_answer:
            source, target = target, source
        try:
            while data := await source.recv(READ_SIZE):
                treat = treatments.get(self.mode)
                passed = await treat(connection, Chunk(data, is_answer))
                if passed and not connection.is_silent:
                    await target.sendall(passed)
        except ResetError:
            connection.reset_when_closed()
        except OSError:
            # One side has closed; the other is closed with it.
            return


@treatments.register("pass")
async def _pass(_connection: _Connection, chunk: Chunk) -> bytes:
    return chunk.data


@treatments.register("delay")
async def _delay(_connection: _Connection, chunk: Chunk) -> bytes:
    await curio.sleep(DELAY_S)
    return chunk.data


@treatments.register("one_way")
async def _one_way(connection: _Connection, chunk: Chunk) -> bytes:
    if not chunk.is_answer:
        return chunk.data
    connection.is_silent = True
    return b""


@treatments.register("silent")
async def _silent(connection: _Connection, _chunk: Chunk) -> bytes:
    connection.is_silent = True
    return b""


@treatments.register("reset")
async def _reset_mode(_connection: _Connection, _chunk: Chunk) -> bytes:
    raise ResetError
