"""Requests of single callers to real entry hosts, with and without faults."""

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
    """Return the reply of a host to a request of the team `counter`."""
    return await harness.call(host, "POST", "/v1/requests", request, "counter")


async def submit_to_every_host(
    harness: ProcessHarness, zone: str, count: int
) -> dict[str, list[Reply]]:
    """Return the replies of all entry hosts to each of several requests."""
    replies: dict[str, list[Reply]] = {}
    stamp = now_ms()
    async with curio.TaskGroup() as tasks:
        for number in range(count):
            request = simple_request(
                zone, f"everywhere-{stamp}-{number}", repeatable=False
            )
            found = replies.setdefault(f"counter/{zone}/{request['id']}", [])

            async def submit_one(host: str, request: Any, found: list[Reply]) -> None:
                found.append(await submit(harness, host, request))

            for daemon in harness.plan.daemons:
                await tasks.spawn(submit_one, daemon.name, request, found)
    return replies


async def submit_invalid_requests(
    harness: ProcessHarness, host: str, rows: list[dict[str, str]]
) -> list[Reply]:
    """Return the replies to requests with faults, all sent at once."""
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
    """Return the reply to a body of which `length` is announced."""
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
            # A server may refuse a large body before all of it was sent.
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
