"""An HTTP/1.1 client on h11 and curio that reuses connections."""

import json
import socket
import time
from collections.abc import Awaitable, Callable
from functools import lru_cache
from typing import Any, NamedTuple

import curio
import h11

from ._body import BodyParts
from ._errors import ConnectionRefusedByPeerError, NotSentError, ReplyLostError
from ._messages import HttpResponse, Traffic

READ_SIZE_BYTES = 65_536
# A response in very many parts must not keep the loop busy, so other tasks run after
# this number of parsed events.
EVENTS_PER_TURN = 64
# Most requests repeat an earlier head, and validating one costs about as much as the
# rest of the encoding.
MAX_CACHED_HEADS = 1_024


class HttpClientSettings(NamedTuple):
    """Limits of a client; times in seconds, sizes in bytes.

    `connect_s` and `reply_s` are timeouts. `max_transfer_s` limits the duration of
    requests that have a `stall_s`. Each pool keeps at most
    `max_idle_connections` idle connections, each for about `max_idle_s`. With
    `distrusts_idle_after_timeout`, a request without a response closes those of its
    pool: they may be as dead as its own, and the next requests would time out on them.
    A response whose body is over `max_body` is not read. All incomplete responses
    together hold at most `max_held`; a single response always has room.
    """

    connect_s: float = 1.0
    reply_s: float = 5.0
    max_transfer_s: float = 60.0
    max_idle_connections: int = 8
    max_idle_s: float = 30.0
    distrusts_idle_after_timeout: bool = False
    max_body: int = 16_777_216
    max_held: int = 33_554_432


class _ReplyLimits(NamedTuple):
    """Timeouts of a response, in seconds.

    Without `stall_s`, the response must be complete after `reply_s`. With it, the
    response must begin within `reply_s`, and more of it must then arrive at least every
    `stall_s`.
    """

    reply_s: float
    stall_s: float | None
    max_transfer_s: float

    @property
    def total_s(self) -> float:
        """The time after which the whole request has failed."""
        return self.reply_s if self.stall_s is None else self.max_transfer_s

    def receive_s(self, received_bytes: int) -> float | None:
        """Return how long the next part of the response may take, None for no limit."""
        if self.stall_s is None:
            return None
        return self.stall_s if received_bytes else self.reply_s


class _Connection:
    def __init__(self, raw_socket: socket.socket) -> None:
        self.raw_socket = raw_socket
        self.socket = curio.io.Socket(raw_socket)
        self.protocol = h11.Connection(h11.CLIENT)
        self.idle_since_s = 0.0
        # Bytes received of the current response, and those of its body.
        self.received_bytes = 0
        self.held_bytes = 0


class HttpClient:
    """Sends requests to addresses of the form `ip:port`.

    `on_open` gets the descriptor of each connection that is opened.
    """

    def __init__(
        self,
        settings: HttpClientSettings,
        on_open: Callable[[int], Awaitable[None]] | None = None,
    ) -> None:
        self._settings = settings
        self._on_open = on_open
        self._idle: dict[tuple[str, str], list[_Connection]] = {}
        self._traffic = Traffic()
        self._held_bytes = 0

    @property
    def traffic(self) -> Traffic:
        """Bytes sent and received since the start."""
        return self._traffic

    async def request(
        self,
        method: str,
        address: str,
        target: str,
        *,
        value: Any = None,
        headers: dict[str, str] | None = None,
        reply_s: float | None = None,
        stall_s: float | None = None,
        pool: str = "",
        reuse_only: bool = False,
    ) -> HttpResponse:
        """Send a request with `value` as its JSON body and return the response.

        Requests with the same address and `pool` share idle connections. With
        `reuse_only` no connection is opened.

        Raises NotSentError if there is no connection, and ReplyLostError if the
        complete response does not arrive within `reply_s` seconds. With `stall_s`, the
        response only has to begin within `reply_s`; it may take longer as long as its
        transfer never stops for `stall_s` seconds.
        """
        body = b"" if value is None else _encode_json(value)
        try:
            fields = tuple(headers.items()) if headers else ()
            head = _request_head(method, address, target, len(body), fields)
        except (ValueError, h11.ProtocolError) as error:
            # Addresses and header values can come from other processes.
            raise NotSentError(f"invalid request to {address}: {error!r}") from error
        limits = _ReplyLimits(
            self._settings.reply_s if reply_s is None else reply_s,
            stall_s,
            self._settings.max_transfer_s,
        )
        connection = await self._connect(address, pool, reuse_only)
        sent_s = time.monotonic()
        try:
            response = await curio.timeout_after(
                limits.total_s, self._exchange, connection, head, body, limits
            )
        except (OSError, h11.ProtocolError, curio.TaskTimeout) as error:
            await connection.socket.close()
            if self._settings.distrusts_idle_after_timeout and not isinstance(
                error, h11.ProtocolError | ConnectionError
            ):
                await self.close_pool(address, pool)
            took_s = time.monotonic() - sent_s
            raise ReplyLostError(
                f"{method} {address}{target}: {type(error).__name__} {error} "
                f"after {took_s:.2f} s and {connection.received_bytes} bytes"
            ) from error
        except BaseException:
            await connection.socket.close()
            raise
        finally:
            self._held_bytes -= connection.held_bytes
            connection.held_bytes = 0
        await self._release((address, pool), connection)
        return response

    async def close_pool(self, address: str, pool: str) -> None:
        """Close the idle connections of a pool."""
        for connection in self._idle.pop((address, pool), []):
            await connection.socket.close()

    async def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                await connection.socket.close()
        self._idle.clear()

    async def close_idle(self) -> None:
        """Close connections idle for over `max_idle_s`, such as to replaced hosts."""
        idle_before_s = time.monotonic() - self._settings.max_idle_s
        for key in list(self._idle):
            connections = self._idle[key]
            expired = [
                each for each in connections if each.idle_since_s < idle_before_s
            ]
            connections[:] = [each for each in connections if each not in expired]
            if not connections:
                del self._idle[key]
            for connection in expired:
                await connection.socket.close()

    async def _connect(self, address: str, pool: str, reuse_only: bool) -> _Connection:
        idle = self._idle.get((address, pool))
        while idle:
            connection = idle.pop()
            if not _is_closed_by_peer(connection):
                return connection
            await connection.socket.close()
        if reuse_only:
            raise NotSentError(f"no connection to {address} is kept")
        try:
            connection = await curio.timeout_after(
                self._settings.connect_s, _open_connection, address
            )
        except ConnectionRefusedError as error:
            raise ConnectionRefusedByPeerError(
                f"connection refused by {address}"
            ) from error
        except (OSError, ValueError, OverflowError, curio.TaskTimeout) as error:
            raise NotSentError(f"no connection to {address}: {error!r}") from error
        connection.raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_open is not None:
            await self._on_open(connection.raw_socket.fileno())
        return connection

    async def _release(self, key: tuple[str, str], connection: _Connection) -> None:
        idle = self._idle.setdefault(key, [])
        protocol = connection.protocol
        reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        if not reusable or len(idle) >= self._settings.max_idle_connections:
            await connection.socket.close()
            return
        protocol.start_next_cycle()
        connection.idle_since_s = time.monotonic()
        idle.append(connection)

    async def _exchange(
        self,
        connection: _Connection,
        head: h11.Request,
        body: bytes,
        limits: _ReplyLimits,
    ) -> HttpResponse:
        protocol = connection.protocol
        connection.received_bytes = 0
        parts = [
            protocol.send(head),
            protocol.send(h11.Data(data=body)),
            protocol.send(h11.EndOfMessage()),
        ]
        data = b"".join(part for part in parts if part)
        self._traffic.sent += len(data)
        await _send(connection, data, limits)
        await self._receive(connection, limits)
        response: h11.Response | None = None
        received = BodyParts()
        events = 0
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                await self._receive(connection, limits)
                continue
            events += 1
            if events % EVENTS_PER_TURN == 0:
                await curio.sleep(0)
            if isinstance(event, h11.Response):
                response = event
                self._check_announced_size(event)
            elif isinstance(event, h11.Data):
                self._hold(connection, len(event.data))
                received.add(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert response is not None
                return _make_response(response, received.join())
            elif isinstance(event, h11.ConnectionClosed):
                raise h11.RemoteProtocolError("the peer closed the connection")

    def _check_announced_size(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name == b"content-length" and int(value) > self._settings.max_body:
                raise h11.RemoteProtocolError("the response body is too large")

    def _hold(self, connection: _Connection, size: int) -> None:
        """Count bytes of a body; raises RemoteProtocolError if there is no room."""
        connection.held_bytes += size
        self._held_bytes += size
        if connection.held_bytes > self._settings.max_body:
            raise h11.RemoteProtocolError("the response body is too large")
        is_only_one = connection.held_bytes == self._held_bytes
        if self._held_bytes > self._settings.max_held and not is_only_one:
            raise h11.RemoteProtocolError("too many large responses at once")

    async def _receive(self, connection: _Connection, limits: _ReplyLimits) -> None:
        timeout_s = limits.receive_s(connection.received_bytes)
        if timeout_s is None:
            data = await connection.socket.recv(READ_SIZE_BYTES)
        else:
            data = await _progress_within(
                timeout_s, connection.socket.recv, READ_SIZE_BYTES
            )
        self._traffic.received += len(data)
        connection.received_bytes += len(data)
        connection.protocol.receive_data(data)


async def _send(connection: _Connection, data: bytes, limits: _ReplyLimits) -> None:
    """Send a request; with `stall_s` no part of it may take longer than that."""
    if limits.stall_s is None:
        await connection.socket.sendall(data)
        return
    view = memoryview(data)
    while view:
        sent = await _progress_within(limits.stall_s, connection.socket.send, view)
        view = view[sent:]


async def _progress_within(timeout_s: float, function: Any, *arguments: Any) -> Any:
    """Call a function of a socket; raises TimeoutError if it takes too long."""
    try:
        return await curio.timeout_after(timeout_s, function, *arguments)
    except curio.TaskTimeout as error:
        raise TimeoutError(f"no progress for {timeout_s} s") from error


async def _open_connection(address: str) -> _Connection:
    # curio.open_connection starts a thread per call to resolve the name. Addresses
    # here are IP addresses, which need no resolution.
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    connection = _Connection(socket.socket(family, socket.SOCK_STREAM))
    try:
        await connection.socket.connect((host.strip("[]"), int(port)))
    except BaseException:
        await connection.socket.close()
        raise
    return connection


def _encode_json(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


@lru_cache(MAX_CACHED_HEADS)
def _request_head(
    method: str,
    address: str,
    target: str,
    body_size: int,
    headers: tuple[tuple[str, str], ...],
) -> h11.Request:
    fields = [*{"host": address, **dict(headers)}.items()]
    if body_size:
        fields.append(("content-length", str(body_size)))
    return h11.Request(method=method, target=target, headers=fields)


def _make_response(head: h11.Response, body: bytes) -> HttpResponse:
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return HttpResponse(head.status_code, body, headers)


def _is_closed_by_peer(connection: _Connection) -> bool:
    """Return whether an idle connection was closed or holds unexpected bytes."""
    try:
        connection.raw_socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True
