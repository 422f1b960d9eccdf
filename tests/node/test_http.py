"""Tests of the HTTP server and client."""

import json
import unittest

import curio

from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    NotSentError,
    ReplyLostError,
    json_response,
)


async def echo(request: HttpRequest) -> HttpResponse:
    return json_response(
        200, {"path": request.path, "body": request.body.decode("latin-1")}
    )


async def with_server(settings: HttpServerSettings, check) -> None:
    server = HttpServer(settings, echo)
    server.listen()
    task = await curio.spawn(server.run)
    try:
        await check(server)
    finally:
        await task.cancel()


async def raw_exchange(port: int, data: bytes) -> bytes:
    socket = await curio.open_connection("127.0.0.1", port)
    async with socket:
        await socket.sendall(data)
        return await curio.timeout_after(5, socket.recv, 65_536)


class HttpServerTests(unittest.TestCase):
    settings = HttpServerSettings("127.0.0.1", 0, max_body=100, read_s=0.2)

    def test_a_connection_serves_several_requests(self) -> None:
        async def check(server: HttpServer) -> None:
            client = HttpClient(HttpClientSettings())
            for number in range(3):
                response = await client.request(
                    "POST",
                    f"127.0.0.1:{server.port}",
                    f"/n/{number}",
                    value={"n": number},
                )
                self.assertEqual(response.json()["path"], f"/n/{number}")
                self.assertEqual(json.loads(response.json()["body"]), {"n": number})
            await client.close()

        curio.run(with_server, self.settings, check)

    def test_a_body_over_the_limit_is_refused(self) -> None:
        async def check(server: HttpServer) -> None:
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n"
            reply = await raw_exchange(server.port, head + b"x" * 101)
            self.assertIn(b" 413 ", reply)
            self.assertIn(b"too_large", reply)

        curio.run(with_server, self.settings, check)

    def test_a_body_that_stalls_is_refused_after_the_read_timeout(self) -> None:
        async def check(server: HttpServer) -> None:
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nx"
            self.assertIn(b" 408 ", await raw_exchange(server.port, head))

        curio.run(with_server, self.settings, check)

    def test_the_read_timeout_covers_the_whole_request(self) -> None:
        """A client that sends single bytes must not keep its connection open."""

        async def check(server: HttpServer) -> None:
            socket = await curio.open_connection("127.0.0.1", server.port)
            async with socket:
                head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n"
                await socket.sendall(head)
                with self.assertRaises(OSError):
                    for _ in range(20):
                        await socket.sendall(b"x")
                        await curio.sleep(0.05)

        curio.run(with_server, self.settings, check)

    def test_bytes_that_are_not_http_get_an_error_response(self) -> None:
        async def check(server: HttpServer) -> None:
            self.assertIn(
                b" 400 ", await raw_exchange(server.port, b"\x00\x01\r\n\r\n")
            )

        curio.run(with_server, self.settings, check)


class ConnectionPoolTests(unittest.TestCase):
    """A connection to another incarnation of a process must not be reused."""

    def run_with_client(self, settings, action):
        async def check(server: HttpServer) -> None:
            client = HttpClient(settings)
            await action(client, f"127.0.0.1:{server.port}")
            await client.close()

        curio.run(with_server, HttpServerSettings("127.0.0.1", 0), check)

    def test_an_idle_connection_is_reused_only_within_its_pool(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/", pool="first")
            await client.request("GET", address, "/", pool="first", reuse_only=True)
            for pool in ("", "second"):
                with self.assertRaises(NotSentError):
                    await client.request(
                        "GET", address, "/", pool=pool, reuse_only=True
                    )

        self.run_with_client(HttpClientSettings(), action)

    def test_closing_a_pool_closes_its_idle_connections(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/", pool="first")
            await client.close_pool(address, "first")
            with self.assertRaises(NotSentError):
                await client.request("GET", address, "/", pool="first", reuse_only=True)

        self.run_with_client(HttpClientSettings(), action)

    def test_idle_connections_are_closed(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/")
            await client.close_idle()
            with self.assertRaises(NotSentError):
                await client.request("GET", address, "/", reuse_only=True)

        self.run_with_client(HttpClientSettings(max_idle_s=0.0), action)


class HttpClientTests(unittest.TestCase):
    def test_a_request_to_an_unreachable_peer_is_not_sent(self) -> None:
        async def check() -> None:
            client = HttpClient(HttpClientSettings())
            with self.assertRaises(NotSentError):
                await client.request("GET", "127.0.0.1:1", "/")

        curio.run(check)

    def test_a_truncated_response_is_an_error(self) -> None:
        async def truncate_response(client, _address) -> None:
            async with client:
                await client.recv(1_000)
                await client.sendall(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"
                )

        async def check() -> None:
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            port = listener.getsockname()[1]
            server = await curio.spawn(
                curio.network.run_server, listener, truncate_response
            )
            client = HttpClient(HttpClientSettings())
            with self.assertRaises(ReplyLostError):
                await client.request("GET", f"127.0.0.1:{port}", "/")
            await server.cancel()

        curio.run(check)


class StallTests(unittest.TestCase):
    """A transfer may take longer than the time limit, unless it stops."""

    def request(self, *pauses_s, settings=None):
        """Request a response whose parts follow after pauses, with a stall of 1 s.

        Return its body, or the error, and whether an idle connection is kept.
        """

        async def respond(client, _address):
            async with client:
                await client.recv(1_000)
                await client.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n.")
                await client.recv(1_000)
                head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(pauses_s)}\r\n\r\n"
                for number, pause_s in enumerate(pauses_s):
                    await curio.sleep(pause_s)
                    await client.sendall((head if not number else "").encode() + b"x")
                await client.recv(1_000)

        async def run():
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            await curio.spawn(curio.network.run_server, listener, respond, daemon=True)
            client = HttpClient(settings or HttpClientSettings())
            async with curio.TaskGroup() as group:
                # Two connections are opened at once, so that one stays idle below.
                for _ in range(2):
                    await group.spawn(client.request, "GET", address, "/")
            try:
                response = await client.request(
                    "GET", address, "/", reply_s=1.0, stall_s=1.0
                )
            except ReplyLostError as error:
                idle = client._idle.get((address, ""), [])
                return error, bool(idle)
            return response.body, True

        return curio.run(run)

    def test_a_response_may_take_longer_than_its_first_part(self):
        body, _ = self.request(*[0.25] * 6)
        self.assertEqual(body, b"x" * 6)

    def test_a_response_that_does_not_begin_or_stops_is_an_error(self):
        for pauses_s in ((5.0,), (0.0, 5.0)):
            with self.subTest(pauses_s=pauses_s):
                error, _ = self.request(*pauses_s)
                self.assertIsInstance(error, ReplyLostError)

    def test_a_timeout_closes_the_idle_connections_that_it_makes_suspect(self):
        """Guards against one timeout for each dead connection after a silent cut."""
        for distrusts in (False, True):
            with self.subTest(distrusts=distrusts):
                settings = HttpClientSettings(distrusts_idle_after_timeout=distrusts)
                _, keeps_idle = self.request(5.0, settings=settings)
                self.assertIs(keeps_idle, not distrusts)


if __name__ == "__main__":
    unittest.main()
