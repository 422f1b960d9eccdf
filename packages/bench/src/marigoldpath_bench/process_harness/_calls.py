"""Requests of single callers to real entry hosts, with and without faults."""

import contextlib
import json
from collections.abc import Callable
from typing import Any

import curio

from marigoldpath_bench.server import now_ms

from ._run import ProcessHarness, Reply

LARGE_BODY = 32_000_000


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


async def submit(run: ProcessHarness, host: str, request: Any) -> Reply:
    """Return the reply of a host to a request of the team `counter`."""
    return await run.call(host, "POST", "/v1/requests", request, "counter")


async def submit_to_every_host(
    run: ProcessHarness, zone: str, count: int
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

            async def ask(host: str, request: Any, found: list[Reply]) -> None:
                found.append(await submit(run, host, request))

            for daemon in run.plan.daemons:
                await tasks.spawn(ask, daemon.name, request, found)
    return replies


async def submit_invalid_requests(
    run: ProcessHarness, host: str, rows: list[dict[str, str]]
) -> list[Reply]:
    """Return the replies to requests with faults, all sent at once."""
    async with curio.TaskGroup() as tasks:
        sent = [
            await tasks.spawn(FAULTS[row["fault"]], run, host, f"faulty-{now_ms()}")
            for row in rows
        ]
    return [task.result for task in sent]


async def _raw(run: ProcessHarness, host: str, body: bytes, length: int) -> Reply:
    """Return the reply to a body of which `length` is announced."""
    ip, _, port = run.address(host).rpartition(":")
    key = run.deployment.key_of("counter")
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
    except OSError as fault:
        if not received:
            return Reply(0, {"fault": repr(fault)})
    top, _, text = received.partition(b"\r\n\r\n")
    return Reply(int(top.split()[1]), json.loads(text))


async def _broken(run: ProcessHarness, host: str, _name: str) -> Reply:
    return await _raw(run, host, b'{"id": "x", ', 12)


async def _large(run: ProcessHarness, host: str, _name: str) -> Reply:
    return await _raw(run, host, b" " * LARGE_BODY, LARGE_BODY)


async def _stalled(run: ProcessHarness, host: str, _name: str) -> Reply:
    return await _raw(run, host, b'{"id": ', 100)


def _changed(**fields: Any) -> Callable[[ProcessHarness, str, str], Any]:
    async def send(run: ProcessHarness, host: str, name: str) -> Reply:
        return await submit(run, host, simple_request("zadar", name, **fields))

    return send


async def _reused(run: ProcessHarness, host: str, name: str) -> Reply:
    first = simple_request("zadar", f"reused-{name}")
    reply = await submit(run, host, first)
    assert reply.status == 200, reply
    return await submit(run, host, {**first, "kind": "cord_path_plan"})


async def _no_team(run: ProcessHarness, host: str, name: str) -> Reply:
    request = simple_request("zadar", name)
    del request["team"]
    return await submit(run, host, request)


FAULTS = {
    "broken JSON": _broken,
    "a body that is large": _large,
    "a body that stalls": _stalled,
    "an unknown kind": _changed(kind="alignment_cheque"),
    "a negative size": _changed(size={"cpu_millis": 500, "memory_mb": -1}),
    "an impossible size": _changed(size={"cpu_millis": 90_000, "memory_mb": 1}),
    "an id with new content": _reused,
    "an unknown field": _changed(sise={}),
    "no team": _no_team,
    "an unknown zone": _changed(availability_zone="split"),
}
