"""Commands on the fleet and on requests."""

from typing import Any
from urllib.parse import quote

from ._client import EntryClient
from ._errors import CommandError
from ._exit_codes import ExitCode
from ._view import Block, Fields, Lines, View, generic_blocks, table_of

HOST_KEYS = ("hosts", "workers", "entry_hosts")
REQUEST_KEYS = ("requests", "queues", "running", "waiting")


async def show_status(client: EntryClient) -> View:
    """Return what an entry host knows of leaders, workers and queues."""
    payload = await client.call("GET", "/v1/status")
    return View(payload, generic_blocks(payload))


async def show_requests(client: EntryClient) -> View:
    """Return the requests and queues of the zones."""
    return _part(await client.call("GET", "/v1/status"), REQUEST_KEYS)


async def show_hosts(client: EntryClient) -> View:
    """Return the workers and entry hosts."""
    return _part(await client.call("GET", "/v1/status"), HOST_KEYS)


async def explain_request(client: EntryClient, name: str) -> View:
    """Return the state, the answer and the history of a request."""
    payload = await client.call("GET", _request_target(name))
    history = payload.get("history")
    fields = {key: value for key, value in payload.items() if key != "history"}
    blocks: list[Block] = [Fields(name, fields)]
    if isinstance(history, list) and all(isinstance(h, dict) for h in history):
        blocks.append(table_of("history", history))
    elif isinstance(history, list):
        blocks.append(Lines(tuple(str(line) for line in history)))
    return View(payload, tuple(blocks))


async def cancel_request(client: EntryClient, name: str) -> View:
    """Cancel a request."""
    payload = await client.call("DELETE", _request_target(name))
    return View(payload, (Fields(f"cancel {name}", payload),))


async def drain_host(client: EntryClient, host: str) -> View:
    """Ask that a host gets no new work."""
    payload = await client.call("POST", "/v1/drain", {"host": host})
    return View(payload, (Fields(f"drain {host}", payload),))


def _part(payload: dict[str, Any], keys: tuple[str, ...]) -> View:
    part = {key: payload[key] for key in keys if key in payload}
    if not part:
        return View(part, (Lines(("this entry host knows of none",)),))
    return View(part, generic_blocks(part))


def _request_target(name: str) -> str:
    parts = name.split("/")
    if len(parts) != 3 or not all(parts):
        raise CommandError(
            ExitCode.WRONG_USE, f"request {name!r} must be given as TEAM/ZONE/ID"
        )
    return "/v1/requests/" + "/".join(quote(part, safe="") for part in parts)
