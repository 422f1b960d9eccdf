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


async def with_server(settings: HttpServerSettings, use) -> None:
    server = HttpServer(settings, echo)
    server.listen()
    task = await curio.spawn(server.run)
    try:
        await use(server)
    finally:
        await task.cancel()


async def raw_exchange(port: int, data: bytes) -> bytes:
    socket = await curio.open_connection("127.0.0.1", port)
    async with socket:
        await socket.sendall(data)
        return await curio.timeout_after(5, socket.recv, 65_536)


class HttpServerTests(unittest.TestCase):
    settings = HttpServerSettings("127.0.0.1", 0, max_body=100, read_s=0.2)

    def test_a_kept_connection_answers_several_requests(self) -> None:
        async def use(server: HttpServer) -> None:
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

        curio.run(with_server, self.settings, use)

    def test_a_body_over_the_limit_is_refused(self) -> None:
        async def use(server: HttpServer) -> None:
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 101\r\n\r\n"
            reply = await raw_exchange(server.port, head + b"x" * 101)
            self.assertIn(b" 413 ", reply)
            self.assertIn(b"too_large", reply)

        curio.run(with_server, self.settings, use)

    def test_a_slow_body_is_refused_instead_of_held(self) -> None:
        async def use(server: HttpServer) -> None:
            head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nx"
            self.assertIn(b" 408 ", await raw_exchange(server.port, head))

        curio.run(with_server, self.settings, use)

    def test_a_body_that_drips_in_is_refused_after_the_whole_time(self) -> None:
        async def use(server: HttpServer) -> None:
            socket = await curio.open_connection("127.0.0.1", server.port)
            async with socket:
                head = b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n"
                await socket.sendall(head)
                with self.assertRaises(OSError):
                    for _ in range(20):
                        await socket.sendall(b"x")
                        await curio.sleep(0.05)

        curio.run(with_server, self.settings, use)

    def test_bytes_that_are_not_http_get_an_error_response(self) -> None:
        async def use(server: HttpServer) -> None:
            self.assertIn(
                b" 400 ", await raw_exchange(server.port, b"\x00\x01\r\n\r\n")
            )

        curio.run(with_server, self.settings, use)


class KeptConnectionTests(unittest.TestCase):
    """A connection to a life that is over, or to another one, must not be used."""

    def use(self, settings, action):
        async def use(server: HttpServer) -> None:
            client = HttpClient(settings)
            await action(client, f"127.0.0.1:{server.port}")
            await client.close()

        curio.run(with_server, HttpServerSettings("127.0.0.1", 0), use)

    def test_a_kept_connection_serves_its_own_pool_alone(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/", pool="first")
            await client.request("GET", address, "/", pool="first", reuse_only=True)
            for pool in ("", "second"):
                with self.assertRaises(NotSentError):
                    await client.request(
                        "GET", address, "/", pool=pool, reuse_only=True
                    )

        self.use(HttpClientSettings(), action)

    def test_the_connections_of_a_pool_are_forgotten_together(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/", pool="first")
            await client.close_pool(address, "first")
            with self.assertRaises(NotSentError):
                await client.request("GET", address, "/", pool="first", reuse_only=True)

        self.use(HttpClientSettings(), action)

    def test_idle_connections_are_closed(self) -> None:
        async def action(client, address):
            await client.request("GET", address, "/")
            await client.close_idle()
            with self.assertRaises(NotSentError):
                await client.request("GET", address, "/", reuse_only=True)

        self.use(HttpClientSettings(max_idle_s=0.0), action)


class HttpClientTests(unittest.TestCase):
    def test_an_unreachable_peer_cannot_have_read_the_request(self) -> None:
        async def use() -> None:
            client = HttpClient(HttpClientSettings())
            with self.assertRaises(NotSentError):
                await client.request("GET", "127.0.0.1:1", "/")

        curio.run(use)

    def test_a_response_cut_off_half_way_is_an_error(self) -> None:
        async def cut(client, _address) -> None:
            async with client:
                await client.recv(1_000)
                await client.sendall(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"
                )

        async def use() -> None:
            listener = curio.network.tcp_server_socket("127.0.0.1", 0)
            port = listener.getsockname()[1]
            server = await curio.spawn(curio.network.run_server, listener, cut)
            client = HttpClient(HttpClientSettings())
            with self.assertRaises(ReplyLostError):
                await client.request("GET", f"127.0.0.1:{port}", "/")
            await server.cancel()

        curio.run(use)


if __name__ == "__main__":
    unittest.main()
