"""Serves the requests of one connection of the server."""

import socket
import struct
import time
from collections.abc import Awaitable, Callable
from functools import lru_cache, partial

import curio
import h11

from marigoldpath_core.request_budget import CloseReason, Phase

from ._guard import ConnectionGuard
from ._messages import HttpRequest, HttpResponse, Traffic
from ._parser import ParserLimits, Progress, RefusedRequestError, RequestParser
from ._settings import HttpServerSettings

READ_SIZE_BYTES = 65_536
HEAD_READ_SIZE_BYTES = 16_384
SEND_SIZE_BYTES = 65_536
# A request counts as expensive, and is parsed in turns with others, after this number
# of steps: received parts and parsed events. A body of 262,144 bytes has about 10 if
# the socket returns the largest parts. A slice of as many events takes less than 1 ms.
FREE_STEPS = 64
SLICE_EVENTS = 64
# A body, and the response to it, may take longer than its timeout while it is
# transferred at least at this rate.
MIN_BYTES_PER_S = 65_536
# The decoded JSON of a request counts as this many times its text.
DECODED_FACTOR = 2
# After a refusal the rest of the request is read and discarded up to these limits.
# Otherwise the kernel resets the connection, and the client loses the response.
LINGER_BYTES = 1_048_576
LINGER_S = 1.0
# The time to send the refusal on a connection that is closed at a limit. A client that
# does not read it at once does not get it.
FINAL_RESPONSE_S = 0.05
# Most responses repeat an earlier head, and validating one costs about as much as the
# rest of the encoding.
MAX_CACHED_HEADS = 256
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
# The value of SO_LINGER with which closing a socket resets the connection and discards
# what the client has not read.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


class ServerState:
    """What the connections of one server share."""

    def __init__(self) -> None:
        self.traffic = Traffic()
        self.connections = 0
        self.in_flight = 0
        self.is_draining = False


class _ClosedAtLimitError(Exception):
    def __init__(self, reason: CloseReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class ServerConnection:
    """One accepted connection, its parser and its account in the budget."""

    def __init__(
        self,
        client: curio.io.Socket,
        address: str,
        guard: ConnectionGuard,
        settings: HttpServerSettings,
        state: ServerState,
    ) -> None:
        self._client = client
        with client.blocking() as raw_socket:
            self._raw_socket = raw_socket
        self._address = address
        self._guard = guard
        self._budget = guard.budget
        self._settings = settings
        self._parser = RequestParser(
            ParserLimits(settings.max_head, settings.body_limit)
        )
        self._state = state
        self._account = guard.budget.open(time.monotonic())
        self._has_served = False
        self._has_begun = False
        self._phase_began_s = 0.0

    async def serve(self, handler: Handler) -> None:
        """Serve requests until the connection ends."""
        self._guard.register(
            self._account, await curio.current_task(), self._parser.discard
        )
        try:
            async with self._client:
                await self._serve_within_limits(handler)
        except (OSError, h11.ProtocolError, curio.TaskTimeout):
            pass
        finally:
            self._guard.remove(self._account)

    async def _serve_within_limits(self, handler: Handler) -> None:
        try:
            while await self._serve_request(handler):
                pass
        except _ClosedAtLimitError as error:
            await self._close_at_limit(error.reason)
        except curio.CancelledError:
            if not self._account.is_closing:
                raise
            await self._close_at_limit(self._guard.reason(self._account))

    async def _serve_request(self, handler: Handler) -> bool:
        """Handle one request; return whether the connection can be reused."""
        try:
            request = await self._read_request()
            if request is None:
                return False
            self._admit(request)
        except RefusedRequestError as error:
            if self._account.is_closing:
                # The received bytes have been discarded, so the parser may have taken a
                # part of a body for a head.
                raise self._closed_at_limit() from None
            await self._refuse(error)
            return False
        self._state.in_flight += 1
        try:
            response = await handler(request)
            # The body is released before a client that reads slowly gets the response.
            del request
            await self._send(response)
        finally:
            self._state.in_flight -= 1
        return self._is_reusable() and await self._start_next_request()

    def _is_reusable(self) -> bool:
        protocol = self._parser.protocol
        return (
            not self._state.is_draining
            and protocol.our_state is h11.DONE
            and protocol.their_state is h11.DONE
        )

    async def _start_next_request(self) -> bool:
        self._has_served = True
        self._has_begun = False
        self._budget.await_request(self._account, time.monotonic())
        if self._parser.start_next_request():
            # The client sends requests without waiting for the responses. They could
            # keep the loop busy, as they never wait for the socket.
            self._begin_receiving()
            await self._guard.parse_queue.run(lambda: None)
        return True

    async def _read_request(self) -> HttpRequest | None:
        parser = self._parser
        if not self._has_begun:
            self._phase_began_s = time.monotonic()
        while True:
            if parser.steps < FREE_STEPS:
                outcome = parser.advance(FREE_STEPS - parser.steps)
            else:
                outcome = await self._guard.parse_queue.run(
                    partial(parser.advance, SLICE_EVENTS)
                )
            if isinstance(outcome, HttpRequest):
                return outcome
            if outcome is Progress.ENDED:
                return None
            now_s = time.monotonic()
            if self._has_begun:
                self._budget.hold(self._account, parser.held_bytes, now_s)
                if self._budget.is_full or self._account.is_closing:
                    await self._enforce_budget()
            remaining_s = self._deadline_s() - now_s
            if remaining_s <= 0:
                raise self._timeout_error()
            if outcome is Progress.NEEDS_DATA:
                await self._receive(remaining_s)

    async def _receive(self, remaining_s: float) -> None:
        has_head = self._parser.has_head
        size = READ_SIZE_BYTES if has_head else HEAD_READ_SIZE_BYTES
        try:
            if has_head and self._parser.protocol.they_are_waiting_for_100_continue:
                continue_head = self._parser.protocol.send(CONTINUE)
                await curio.timeout_after(
                    remaining_s, self._client.sendall, continue_head
                )
            data = await curio.timeout_after(remaining_s, self._client.recv, size)
        except curio.TaskTimeout:
            raise self._timeout_error() from None
        self._state.traffic.received += len(data)
        if data and not self._has_begun:
            self._begin_receiving()
        self._parser.feed(data)

    def _begin_receiving(self) -> None:
        self._has_begun = True
        self._phase_began_s = time.monotonic()
        self._budget.begin_receiving(self._account, self._phase_began_s)

    def _deadline_s(self) -> float:
        settings = self._settings
        if not self._has_begun:
            limit_s = settings.idle_s if self._has_served else settings.first_s
        elif not self._parser.has_head:
            limit_s = min(settings.head_s, settings.read_s)
        else:
            limit_s = settings.read_s + self._parser.body_bytes / MIN_BYTES_PER_S
        return self._phase_began_s + limit_s

    def _timeout_error(self) -> Exception:
        if not self._has_begun:
            return _ClosedAtLimitError(CloseReason.NO_REQUEST)
        reason = CloseReason.HEAD_TOO_SLOW
        if self._parser.has_head:
            reason = CloseReason.BODY_TOO_SLOW
        limit_s = self._deadline_s() - self._phase_began_s
        return RefusedRequestError(
            408,
            "too_slow",
            f"the request did not arrive within {limit_s:.3g} s",
            reason,
        )

    def _admit(self, request: HttpRequest) -> None:
        """Reserve what the request needs until its response; raise if there is no room.

        A refusal is sent before the handler is called, so it is true that the request
        has not run. Once this returns, the connection is not chosen to be closed before
        its response.
        """
        held_bytes = self._parser.head_bytes + (1 + DECODED_FACTOR) * len(request.body)
        if self._budget.begin_handling(self._account, held_bytes, time.monotonic()):
            return
        if self._account.is_closing:
            raise self._closed_at_limit()
        raise _overloaded(CloseReason.HANDLING_FULL)

    async def _enforce_budget(self) -> None:
        await self._guard.enforce_budget()
        if self._account.is_closing:
            raise self._closed_at_limit()

    def _closed_at_limit(self) -> _ClosedAtLimitError:
        return _ClosedAtLimitError(self._guard.reason(self._account))

    async def _refuse(self, error: RefusedRequestError) -> None:
        if error.reason is not None:
            self._report(error.reason)
        can_respond = self._can_respond()
        self._parser.discard()
        if can_respond:
            await self._send(self._refusal(error))
            if error.status != 408:
                await self._linger()

    async def _linger(self) -> None:
        """Discard the rest of a refused request until the client has the response."""
        self._budget.await_request(self._account, time.monotonic())
        await self._client.shutdown(socket.SHUT_WR)
        received_bytes = 0
        async with curio.ignore_after(LINGER_S):
            while received_bytes < LINGER_BYTES:
                # No variable keeps the part during the wait for the next one.
                size = len(await self._client.recv(READ_SIZE_BYTES))
                if not size:
                    return
                received_bytes += size
                self._state.traffic.received += size
                await curio.sleep(0)

    async def _close_at_limit(self, reason: CloseReason) -> None:
        """Close the connection; refuse an incomplete request, which has not run."""
        is_idle = reason is CloseReason.NO_REQUEST and self._has_served
        if not is_idle:
            self._report(reason)
        if self._account.phase is Phase.RECEIVING:
            self._parser.discard()
            data = b"".join(self._encode(self._refusal(_overloaded(reason))))
            async with curio.ignore_after(FINAL_RESPONSE_S):
                await self._client.sendall(data)
        elif self._account.phase is Phase.SENDING:
            self._client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def _refusal(self, error: RefusedRequestError) -> HttpResponse:
        return error.response(has_repeats=self._settings.has_repeats)

    def _report(self, reason: CloseReason) -> None:
        self._guard.report(self._account, reason, self._address)

    def _can_respond(self) -> bool:
        return self._parser.protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def _encode(self, response: HttpResponse) -> tuple[bytes, bytes]:
        """Return the head and the body as they are sent."""
        protocol = self._parser.protocol
        head = _response_head(
            response.status,
            len(response.body),
            tuple(response.headers.items()),
            closes=self._state.is_draining,
        )
        encoded_head = protocol.send(head)
        body = protocol.send(h11.Data(data=response.body))
        end = protocol.send(h11.EndOfMessage())
        return encoded_head or b"", (body or b"") + (end or b"")

    async def _send(self, response: HttpResponse) -> None:
        head, body = self._encode(response)
        size = len(head) + len(body)
        self._state.traffic.sent += size
        if size <= SEND_SIZE_BYTES:
            # The kernel takes most responses at once. They need no timer, and hold no
            # bytes that count.
            head, body = b"", self._send_at_once(head + body)
            size = len(body)
            if not size:
                return
        began_s = time.monotonic()
        self._budget.begin_sending(self._account, size, began_s)
        if self._budget.is_full:
            await self._enforce_budget()
        sent_bytes = 0
        for data in _parts(head, body):
            limit_s = self._settings.write_s + sent_bytes / MIN_BYTES_PER_S
            remaining_s = max(0.0, began_s + limit_s - time.monotonic())
            try:
                await curio.timeout_after(remaining_s, self._client.sendall, data)
            except curio.TaskTimeout:
                raise _ClosedAtLimitError(CloseReason.ANSWER_NOT_READ) from None
            sent_bytes += len(data)
            self._budget.hold(self._account, size - sent_bytes, time.monotonic())

    def _send_at_once(self, data: bytes) -> bytes:
        """Send what the kernel takes without waiting, and return the rest."""
        try:
            sent = self._raw_socket.send(data)
        except BlockingIOError:
            return data
        return data[sent:]


def _parts(head: bytes, body: bytes) -> "list[bytes | memoryview]":
    view = memoryview(body)
    starts = range(0, len(body), SEND_SIZE_BYTES)
    return [head, *(view[start : start + SEND_SIZE_BYTES] for start in starts)]


def _overloaded(reason: CloseReason) -> RefusedRequestError:
    return RefusedRequestError(
        503, "host_full", "the host has no room for the request", reason
    )


@lru_cache(MAX_CACHED_HEADS)
def _response_head(
    status: int, body_size: int, headers: tuple[tuple[str, str], ...], *, closes: bool
) -> h11.Response:
    fields = [*headers, ("content-length", str(body_size))]
    if closes:
        fields.append(("connection", "close"))
    return h11.Response(status_code=status, headers=fields)
