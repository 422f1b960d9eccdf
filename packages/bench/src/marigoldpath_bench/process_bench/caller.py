"""Caller process: `python -m marigoldpath_bench.process_bench.caller FILE`.

It encodes and parses HTTP itself, because a client based on h11 uses as much processor
time per request as the daemon under test.
"""

import json
import random
import sys
from pathlib import Path
from typing import Any

import curio

from marigoldpath_bench.server import now_ms

START_DELAY_MS = 50


class Caller:
    """Send requests in a closed or an open loop and record the replies.

    The settings are `targets` (`address` and `availability_zone`), `kinds` (`kind`,
    `team`, `key`, `share`, `run_ms`, `wait`, `repeatable`, `size`), `concurrency` and
    `most` for a closed loop or `rate` for an open one, `begin_ms`, `end_ms`, `name`,
    `seed` and `output`.
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._rng = random.Random(f"{settings['seed']}/{settings['name']}")
        self._idle_sockets: dict[str, list[curio.io.Socket]] = {}
        self._sent_count = 0
        self._lines: list[str] = []

    async def run(self) -> None:
        """Send requests until the end time and write the results."""
        await _sleep_until(self._settings["begin_ms"])
        if "rate" in self._settings:
            await self._run_open()
        else:
            await self._run_closed()
        Path(self._settings["output"]).write_text("\n".join(self._lines))

    async def _run_closed(self) -> None:
        async with curio.TaskGroup() as tasks:
            for _ in range(self._settings["concurrency"]):
                await tasks.spawn(self._run_caller)

    async def _run_caller(self) -> None:
        max_requests = self._settings.get("most") or sys.maxsize
        while now_ms() < self._settings["end_ms"] and self._sent_count < max_requests:
            await self._call(now_ms())

    async def _run_open(self) -> None:
        due_ms = float(self._settings["begin_ms"])
        async with curio.TaskGroup() as tasks:
            while due_ms < self._settings["end_ms"]:
                await _sleep_until(int(due_ms))
                await tasks.spawn(self._call, int(due_ms))
                due_ms += self._rng.expovariate(self._settings["rate"]) * 1_000

    async def _call(self, due_ms: int) -> None:
        """Send one request and record its reply together with its due time."""
        target = self._rng.choice(self._settings["targets"])
        kinds = self._settings["kinds"]
        kind = self._rng.choices(kinds, [each["share"] for each in kinds])[0]
        self._sent_count += 1
        payload = self._payload(kind, target["availability_zone"])
        try:
            status = await self._exchange(target["address"], kind["key"], payload)
        except (OSError, ValueError):
            status = 0
        name = f"{kind['team']}/{target['availability_zone']}/{payload['id']}"
        entry = {
            "name": name,
            "kind": kind["kind"],
            "due_ms": due_ms,
            "reply_ms": now_ms(),
            "status": status,
            "run_ms": payload["work"]["run_ms"],
        }
        self._lines.append(json.dumps(entry))

    def _payload(self, kind: dict[str, Any], zone: str) -> dict[str, Any]:
        run_ms = self._rng.randint(*kind["run_ms"])
        return {
            "id": f"{self._settings['name']}-{self._sent_count}",
            "team": kind["team"],
            "availability_zone": zone,
            "kind": kind["kind"],
            "size": kind["size"],
            "repeatable": kind["repeatable"],
            "wait": kind["wait"],
            "deadline_ms": 10_000,
            "tasks": 1,
            "run_ms": run_ms,
            "work": {"run_ms": run_ms, "repeatable": kind["repeatable"]},
        }

    async def _exchange(self, address: str, key: str, payload: dict[str, Any]) -> int:
        body = json.dumps(payload, separators=(",", ":")).encode()
        head = (
            f"POST /v1/requests HTTP/1.1\r\nhost: {address}\r\n"
            f"authorization: Bearer {key}\r\ncontent-length: {len(body)}\r\n\r\n"
        )
        idle = self._idle_sockets.setdefault(address, [])
        socket = idle.pop() if idle else await _connect(address)
        try:
            await socket.sendall(head.encode() + body)
            status = await _read_reply(socket)
        except BaseException:
            await socket.close()
            raise
        idle.append(socket)
        return status


async def _connect(address: str) -> curio.io.Socket:
    ip, _, port = address.rpartition(":")
    socket = curio.socket.socket(curio.socket.AF_INET, curio.socket.SOCK_STREAM)
    await socket.connect((ip, int(port)))
    socket.setsockopt(curio.socket.IPPROTO_TCP, curio.socket.TCP_NODELAY, 1)
    return socket


async def _read_reply(socket: curio.io.Socket) -> int:
    """Read a reply to its end and return its status; raise OSError or ValueError."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await _receive(socket)
    head, _, body = data.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
    size = len(body)
    while size < length:
        size += len(await _receive(socket))
    return int(head[9:12])


async def _receive(socket: curio.io.Socket) -> bytes:
    data = await socket.recv(65_536)
    if not data:
        raise ConnectionResetError("the entry host closed the connection")
    return data


async def _sleep_until(at_ms: int) -> None:
    left_ms = at_ms - now_ms()
    if left_ms > 0:
        await curio.sleep(left_ms / 1_000)


if __name__ == "__main__":
    curio.run(Caller(json.loads(Path(sys.argv[1]).read_text())).run)
