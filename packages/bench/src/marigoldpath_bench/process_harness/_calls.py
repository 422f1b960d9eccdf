"""Valid and invalid requests of single callers to running entry hosts."""

import contextlib
import json
from collections.abc import Callable
from typing import Any

import curio

from marigoldpath_bench.server import now_ms

from ._run import ProcessHarness, Reply

LARGE_BODY_BYTES = 32_000_000


def simple_request(zone: str, name: str, **fields: Any) -> dict[str, Any]:
    """Return a small request of the team `counter`."""
    return {
        "id": name,
        "team": "counter",
        "availability_zone": zone,
        "kind": "alignment_check",
        "size": {"cpu_millis": 500, "memory_mb": 256},
        "repeatable": True,
        "deadline_ms": 20_000,
        "work": {"run_ms": 50},
        **fields,
    }


async def submit(harness: ProcessHarness, host: str, request: Any) -> Reply:
    """Submit a request of the team `counter` to a host and return the reply."""
    return await harness.call(host, "POST", "/v1/requests", request, "counter")


async def submit_to_every_host(
    harness: ProcessHarness, zone: str, count: int
) -> dict[str, list[Reply]]:
    """Submit each of several requests to all entry hosts; return replies by request."""
    replies: dict[str, list[Reply]] = {}
    stamp = now_ms()
    async with curio.TaskGroup() as tasks:
        for number in range(count):
            request = simple_request(
                zone, f"everywhere-{stamp}-{number}", repeatable=False
            )
            request_replies = replies.setdefault(f"counter/{zone}/{request['id']}", [])

            async def submit_one(
                host: str, request: Any, request_replies: list[Reply]
            ) -> None:
                request_replies.append(await submit(harness, host, request))

            for daemon in harness.plan.daemons:
                await tasks.spawn(submit_one, daemon.name, request, request_replies)
    return replies


async def submit_invalid_requests(
    harness: ProcessHarness, host: str, rows: list[dict[str, str]]
) -> list[Reply]:
    """Submit invalid requests concurrently and return their replies.

    Each row names its entry of INVALID_REQUESTS in the column `fault`.
    """
    async with curio.TaskGroup() as tasks:
        sent = [
            await tasks.spawn(
                INVALID_REQUESTS[row["fault"]], harness, host, f"faulty-{now_ms()}"
            )
            for row in rows
        ]
    return [task.result for task in sent]


async def _send_raw(
    harness: ProcessHarness, host: str, body: bytes, length: int
) -> Reply:
    """Send a body with the given content-length and return the reply."""
    ip, _, port = harness.address(host).rpartition(":")
    key = harness.deployment.key_of("counter")
    head = (
        f"POST /v1/requests HTTP/1.1\r\nhost: {host}\r\n"
        f"authorization: Bearer {key}\r\ncontent-length: {length}\r\n\r\n"
    )
    received = b""
    try:
        stream = await curio.open_connection(ip, int(port))
        async with stream:
            # A server may reject a large body before it has received all of it.
            with contextlib.suppress(OSError):
                await stream.sendall(head.encode() + body)
            while data := await stream.recv(65_536):
                received += data
                if b"connection: close" not in received.lower():
                    break
    except OSError as error:
        if not received:
            return Reply(0, {"fault": repr(error)})
    top, _, text = received.partition(b"\r\n\r\n")
    return Reply(int(top.split()[1]), json.loads(text))


async def _send_malformed_json(harness: ProcessHarness, host: str, _name: str) -> Reply:
    return await _send_raw(harness, host, b'{"id": "x", ', 12)


async def _send_large_body(harness: ProcessHarness, host: str, _name: str) -> Reply:
    return await _send_raw(harness, host, b" " * LARGE_BODY_BYTES, LARGE_BODY_BYTES)


async def _send_stalled_body(harness: ProcessHarness, host: str, _name: str) -> Reply:
    return await _send_raw(harness, host, b'{"id": ', 100)


def _with_fields(**fields: Any) -> Callable[[ProcessHarness, str, str], Any]:
    async def send(harness: ProcessHarness, host: str, name: str) -> Reply:
        return await submit(harness, host, simple_request("zadar", name, **fields))

    return send


async def _send_reused_id(harness: ProcessHarness, host: str, name: str) -> Reply:
    first = simple_request("zadar", f"reused-{name}")
    reply = await submit(harness, host, first)
    assert reply.status == 200, reply
    return await submit(harness, host, {**first, "kind": "cord_path_plan"})


async def _send_without_team(harness: ProcessHarness, host: str, name: str) -> Reply:
    request = simple_request("zadar", name)
    del request["team"]
    return await submit(harness, host, request)


INVALID_REQUESTS = {
    "broken JSON": _send_malformed_json,
    "a body that is large": _send_large_body,
    "a body that stalls": _send_stalled_body,
    "an unknown kind": _with_fields(kind="alignment_cheque"),
    "a negative size": _with_fields(size={"cpu_millis": 500, "memory_mb": -1}),
    "an impossible size": _with_fields(size={"cpu_millis": 90_000, "memory_mb": 1}),
    "an id with new content": _send_reused_id,
    "an unknown field": _with_fields(sise={}),
    "no team": _send_without_team,
    "an unknown zone": _with_fields(availability_zone="split"),
}
