"""An HTTP/1.1 server on h11 and curio."""

import curio

from ._connection import Handler, ServerConnection, ServerState
from ._guard import ConnectionGuard
from ._messages import Traffic
from ._settings import HttpServerSettings

ACCEPT_RETRY_S = 0.05
# The kernel's buffers of a connection are not in the budget. The kernel doubles these
# sizes; by default it enlarges a buffer to several megabytes.
SOCKET_BUFFER_BYTES = 65_536


class HttpServer:
    """Passes the requests on a listening socket to a handler.

    All servers of a process share its `guard`, which limits what they hold together.
    """

    def __init__(
        self,
        settings: HttpServerSettings,
        handler: Handler,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self._settings = settings
        self._handler = handler
        self._guard = guard or ConnectionGuard()
        self._socket: curio.io.Socket | None = None
        self._state = ServerState()

    @property
    def traffic(self) -> Traffic:
        """Bytes sent and received since the start."""
        return self._state.traffic

    @property
    def in_flight(self) -> int:
        """The number of requests that are in flight."""
        return self._state.in_flight

    @property
    def address(self) -> str:
        """The listen address of the settings, as IP:PORT."""
        return f"{self._settings.host}:{self._settings.port}"

    @property
    def settings(self) -> HttpServerSettings:
        """The listen address and the limits in force."""
        return self._settings

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._socket is not None
        return self._socket.getsockname()[1]

    def apply_settings(self, settings: HttpServerSettings) -> None:
        """Replace the limits for the connections that are accepted from now on.

        The listen address stays.
        """
        self._settings = settings._replace(
            host=self._settings.host, port=self._settings.port
        )

    def listen(self) -> None:
        """Bind the listening socket; raises OSError if the address is in use."""
        self._socket = curio.network.tcp_server_socket(
            self._settings.host, self._settings.port, backlog=1_024
        )
        # Accepted sockets inherit the sizes.
        for option in (curio.socket.SO_RCVBUF, curio.socket.SO_SNDBUF):
            self._socket.setsockopt(
                curio.socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )

    def drain(self) -> None:
        """Close each connection after the response to its current request."""
        self._state.is_draining = True

    async def run(self) -> None:
        """Accept connections until cancelled."""
        assert self._socket is not None
        async with self._socket, curio.TaskGroup(wait=object) as tasks:
            while True:
                client, address = await self._accept()
                if not await self._has_room(client):
                    await client.close()
                else:
                    await tasks.spawn(self._serve, client, address, daemon=True)
                # `accept` does not wait while there are new connections.
                await curio.sleep(0)

    async def _accept(self) -> tuple[curio.io.Socket, str]:
        assert self._socket is not None
        while True:
            try:
                client, address = await self._socket.accept()
            except OSError:
                # No file descriptor is free, or the peer closed the connection
                # before it was accepted. Wait and retry instead of stopping the
                # server.
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            return client, str(address[0])

    async def _has_room(self, client: curio.io.Socket) -> bool:
        if self._state.connections >= self._settings.max_connections:
            return False
        return await self._guard.make_room(client.fileno())

    async def _serve(self, client: curio.io.Socket, address: str) -> None:
        self._state.connections += 1
        try:
            client.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
            connection = ServerConnection(
                client, address, self._guard, self._settings, self._state
            )
            await connection.serve(self._handler)
        finally:
            self._state.connections -= 1
