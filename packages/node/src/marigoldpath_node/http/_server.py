"""An HTTP/1.1 server on h11 and curio."""

import time
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import NamedTuple

import curio
import h11

from ._messages import HttpRequest, HttpResponse, Traffic, json_response

READ_SIZE_BYTES = 65_536
ACCEPT_RETRY_S = 0.05
# Most responses repeat an earlier head, and validating one costs about as much as the
# rest of the encoding.
MAX_CACHED_HEADS = 256

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class HttpServerSettings(NamedTuple):
    """Limits of a server; times in seconds, sizes in bytes.

    `idle_s` limits the wait for the next request on an open connection, `read_s` the
    time to receive a complete request and `write_s` the time to send a response, so
    that a slow client does not occupy a connection for long. Requests to targets
    that start with `large_body_prefix` may have a body of `max_large_body`.
    """

    host: str
    port: int
    max_body: int = 1_048_576
    max_connections: int = 4_096
    idle_s: float = 60.0
    read_s: float = 5.0
    write_s: float = 10.0
    large_body_prefix: str = ""
    max_large_body: int = 16_777_216

    def body_limit(self, target: str) -> int:
        """Return the limit on the body of a request to `target`."""
        if self.large_body_prefix and target.startswith(self.large_body_prefix):
            return self.max_large_body
        return self.max_body


class _InvalidRequestError(Exception):
    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.response = json_response(
            status,
            {"code": code, "field": "", "message": message, "outcome": "not_run"},
            {"connection": "close"},
        )


class _RequestReader:
    """Limits the time to receive one request, however many parts it arrives in."""

    def __init__(self, settings: HttpServerSettings) -> None:
        self._settings = settings
        self._deadline_s = time.monotonic() + settings.idle_s
        self.has_started = False

    async def receive(self, client: curio.io.Socket) -> bytes:
        """Return the next bytes; raises curio.TaskTimeout after the deadline."""
        remaining_s = max(0.0, self._deadline_s - time.monotonic())
        data = await curio.timeout_after(remaining_s, client.recv, READ_SIZE_BYTES)
        if not self.has_started:
            self.has_started = True
            self._deadline_s = time.monotonic() + self._settings.read_s
        return data


class HttpServer:
    """Passes the requests on a listening socket to a handler."""

    def __init__(self, settings: HttpServerSettings, handler: Handler) -> None:
        self._settings = settings
        self._handler = handler
        self._socket: curio.io.Socket | None = None
        self._connections = 0
        self._in_flight = 0
        self._draining = False
        self._traffic = Traffic()

    @property
    def traffic(self) -> Traffic:
        """Bytes sent and received since the start."""
        return self._traffic

    @property
    def in_flight(self) -> int:
        """The number of requests that are in flight."""
        return self._in_flight

    @property
    def address(self) -> str:
        """The listen address of the settings, as IP:PORT."""
        return f"{self._settings.host}:{self._settings.port}"

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        assert self._socket is not None
        return self._socket.getsockname()[1]

    def listen(self) -> None:
        """Bind the listening socket; raises OSError if the address is in use."""
        self._socket = curio.network.tcp_server_socket(
            self._settings.host, self._settings.port, backlog=1_024
        )

    def drain(self) -> None:
        """Close each connection after the response to its current request."""
        self._draining = True

    async def run(self) -> None:
        """Accept connections until cancelled."""
        assert self._socket is not None
        async with self._socket, curio.TaskGroup(wait=object) as tasks:
            while True:
                client = await self._accept()
                if self._connections >= self._settings.max_connections:
                    await client.close()
                    continue
                self._connections += 1
                await tasks.spawn(self._serve_connection, client, daemon=True)

    async def _accept(self) -> curio.io.Socket:
        assert self._socket is not None
        while True:
            try:
                client, _ = await self._socket.accept()
            except OSError:
                # No file descriptor is free, or the peer closed the connection
                # before it was accepted. Wait and retry instead of stopping the
                # server.
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            return client

    async def _serve_connection(self, client: curio.io.Socket) -> None:
        client.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
        connection = h11.Connection(h11.SERVER)
        try:
            async with client:
                while await self._serve_request(client, connection):
                    connection.start_next_cycle()
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self._connections -= 1

    async def _serve_request(
        self, client: curio.io.Socket, connection: h11.Connection
    ) -> bool:
        """Handle one request; return whether the connection can be reused."""
        try:
            request = await self._read_request(client, connection)
        except _InvalidRequestError as error:
            await self._send(client, connection, error.response)
            return False
        if request is None:
            return False
        self._in_flight += 1
        try:
            response = await self._handler(request)
            await self._send(client, connection, response)
        finally:
            self._in_flight -= 1
        return (
            not self._draining
            and connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    async def _read_request(
        self, client: curio.io.Socket, connection: h11.Connection
    ) -> HttpRequest | None:
        head: h11.Request | None = None
        chunks: list[bytes] = []
        size = 0
        reader = _RequestReader(self._settings)
        try:
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    data = await reader.receive(client)
                    self._traffic.received += len(data)
                    connection.receive_data(data)
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    size += len(event.data)
                    assert head is not None
                    self._check_size(size, head.target.decode("latin-1"))
                    chunks.append(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    assert head is not None
                    return _make_request(head, b"".join(chunks))
                else:
                    return None
        except curio.TaskTimeout:
            if not reader.has_started:
                return None
            raise _InvalidRequestError(
                408,
                "too_slow",
                f"the request did not arrive within {self._settings.read_s:g} s",
            ) from None
        except h11.RemoteProtocolError as error:
            if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return None
            raise _InvalidRequestError(
                error.error_status_hint, "bad_http", str(error)
            ) from None

    def _check_size(self, size: int, target: str) -> None:
        limit = self._settings.body_limit(target)
        if size > limit:
            raise _InvalidRequestError(
                413, "too_large", f"the body is over {limit} bytes"
            )

    async def _send(
        self,
        client: curio.io.Socket,
        connection: h11.Connection,
        response: HttpResponse,
    ) -> None:
        head = _response_head(
            response.status,
            len(response.body),
            tuple(response.headers.items()),
            closes=self._draining,
        )
        parts = [
            connection.send(head),
            connection.send(h11.Data(data=response.body)),
            connection.send(h11.EndOfMessage()),
        ]
        data = b"".join(part for part in parts if part)
        self._traffic.sent += len(data)
        await curio.timeout_after(self._settings.write_s, client.sendall, data)


@lru_cache(MAX_CACHED_HEADS)
def _response_head(
    status: int, body_size: int, headers: tuple[tuple[str, str], ...], *, closes: bool
) -> h11.Response:
    fields = [*headers, ("content-length", str(body_size))]
    if closes:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)


def _make_request(head: h11.Request, body: bytes) -> HttpRequest:
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return HttpRequest(
        head.method.decode("ascii"), head.target.decode("latin-1"), headers, body
    )
