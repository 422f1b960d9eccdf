"""Commands that show the fleet and that show or cancel requests."""

from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote

from ._client import EntryClient
from ._errors import CommandError
from ._exit_codes import ExitCode
from ._view import Block, Fields, Lines, Table, View, generic_blocks, table_of


async def show_status(client: EntryClient) -> View:
    """Return an entry host's view of leaders, workers and queues."""
    payload = await client.call("GET", "/v1/status")
    return View(payload, generic_blocks(payload))


async def show_requests(client: EntryClient) -> View:
    """Return the waiting requests and the counters of each zone's leader."""
    leaders, notes = await _leaders(client)
    rows = tuple(
        (zone, kind, waiting)
        for zone, scheduler in leaders.items()
        for kind, waiting in _object_field(scheduler, "waiting").items()
    )
    blocks: list[Block] = [Table("waiting", ("zone", "kind", "requests"), rows)]
    for zone, scheduler in leaders.items():
        counts = _object_field(scheduler, "counts")
        fields = {"held by the leader": scheduler.get("requests"), **counts}
        blocks.append(Fields(f"zone {zone}", fields))
    names = ("waiting", "requests", "counts")
    payload = {
        zone: {name: scheduler.get(name) for name in names}
        for zone, scheduler in leaders.items()
    }
    return View(payload, (*blocks, *notes))


async def show_hosts(client: EntryClient) -> View:
    """Return the workers of each zone, with notes on missing replies and leaders."""
    leaders, notes = await _leaders(client)
    rows = []
    for zone, scheduler in leaders.items():
        removed = _object_field(scheduler, "removed")
        for name, worker in _object_field(scheduler, "workers").items():
            if isinstance(worker, dict):
                rows.append(_worker_row(zone, name, worker, removed))
    columns = ("zone", "worker", "rack", "state", "cores", "memory GB", "slots")
    payload = {
        zone: {name: scheduler.get(name) for name in ("workers", "removed")}
        for zone, scheduler in leaders.items()
    }
    return View(payload, (Table("workers (used/all)", columns, tuple(rows)), *notes))


async def _leaders(
    client: EntryClient,
) -> tuple[dict[str, dict[str, Any]], tuple[Block, ...]]:
    """Return the scheduler status of each zone's leader, and notes on missing ones."""
    replies = await client.call_all("GET", "/v1/status")
    leaders: dict[str, dict[str, Any]] = {}
    zones: set[str] = set()
    notes = []
    for reply in replies.values():
        if isinstance(reply, CommandError):
            notes.append(str(reply))
            continue
        zone = str(reply.get("availability_zone", ""))
        zones.add(zone)
        scheduler = _object_field(reply, "scheduler")
        if scheduler.get("serving"):
            leaders[zone] = scheduler
    for zone in sorted(zones - set(leaders)):
        notes.append(f"no entry host that answered leads zone {zone}")
    return leaders, (Lines(tuple(notes)),) if notes else ()


def _worker_row(
    zone: str, name: str, worker: dict[str, Any], removed: dict[str, Any]
) -> tuple[Any, ...]:
    state = "ready" if worker.get("ready") else "not ready"
    if worker.get("leaving"):
        state = "leaving"
    if name in removed:
        state = f"out of service: {removed[name]}"
    used, capacity = _object_field(worker, "used"), _object_field(worker, "capacity")

    def used_of_capacity(dimension: str, divisor: int) -> str:
        amounts = [size.get(dimension) for size in (used, capacity)]
        return "/".join(
            f"{amount / divisor:g}" if isinstance(amount, int) else "?"
            for amount in amounts
        )

    return (
        zone,
        name,
        worker.get("rack", ""),
        state,
        used_of_capacity("cpu_millis", 1_000),
        used_of_capacity("memory_mb", 1_000),
        used_of_capacity("slots", 1),
    )


def _object_field(payload: dict[str, Any], name: str) -> dict[str, Any]:
    value = payload.get(name)
    return value if isinstance(value, dict) else {}


async def explain_request(client: EntryClient, name: str) -> View:
    """Return the state, the answer and the history of a request."""
    payload = await client.call("GET", _request_target(name))
    history = payload.get("history")
    if isinstance(history, list):
        history = [_with_time(entry) for entry in history]
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
    """Drain the entry host with this name or address, and no other."""
    replies = await client.call_all("GET", "/v1/health")
    mismatches = []
    for address, reply in replies.items():
        if isinstance(reply, CommandError):
            mismatches.append(str(reply))
            continue
        name = str(reply.get("host", ""))
        if host in (name, address):
            payload = await client.call_one("POST", address, "/v1/drain", {})
            return View(payload, (Fields(f"drain {host}", payload),))
        mismatches.append(f"{address} is {name}")
    message = f"no entry host {host!r} among those given: {'; '.join(mismatches)}"
    raise CommandError(ExitCode.NOT_FOUND, message)


def _with_time(entry: Any) -> Any:
    """Return a history entry with its time in readable form."""
    if not isinstance(entry, dict) or not isinstance(entry.get("at_ms"), int):
        return entry
    rest = {name: value for name, value in entry.items() if name != "at_ms"}
    try:
        at = datetime.fromtimestamp(entry["at_ms"] / 1_000, tz=UTC)
    except (OverflowError, ValueError, OSError):
        return entry
    return {"at": at.strftime("%Y-%m-%d %H:%M:%S.%f")[:-3] + "Z", **rest}


def _request_target(name: str) -> str:
    parts = name.split("/")
    if len(parts) != 3 or not all(parts):
        raise CommandError(
            ExitCode.WRONG_USE, f"request {name!r} must be given as TEAM/ZONE/ID"
        )
    return "/v1/requests/" + "/".join(quote(part, safe="") for part in parts)
