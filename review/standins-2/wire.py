"""A small HTTP/1.1 server and client on asyncio for the stand-ins."""

import asyncio
import json


async def read_message(reader):
    """Return the first line, the headers and the body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = (await reader.readline()).decode("latin-1").strip()
        if not field:
            break
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0"))
    body = await reader.readexactly(size) if size else b""
    return line.decode("latin-1").strip(), headers, body


class Server:
    """Passes requests to `handle(method, target, headers, body)`.

    The handler returns a status and a value for the JSON body.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.address = ""

    async def start(self, ip, port=0):
        """Listen on an address; port 0 takes a free one."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=4_194_304, backlog=1024
        )
        host, number = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{number}"

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, headers, body = message
                method, target = line.split(" ")[:2]
                value = json.loads(body) if body else {}
                status, reply = await self._handle(method, target, headers, value)
                data = json.dumps(reply, separators=(",", ":")).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


async def call(address, method, path, value=None, headers=None, timeout_s=5.0):
    """Return the status and the decoded body of a response.

    The status is 0 if no complete response arrives.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            body = b"" if value is None else json.dumps(value).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"host": address, **(headers or {})}
            fields["content-length"] = str(len(body))
            fields["connection"] = "close"
            lines += [f"{name}: {text}" for name, text in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader)
        if message is None:
            return 0, {}
        line, _, data = message
        return int(line.split()[1]), json.loads(data) if data else {}
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
