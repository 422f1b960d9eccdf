"""The routes of the platform stand-in."""

import hashlib
import json
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from marigoldpath_bench.faults import FaultInjector, parse_plan
from marigoldpath_bench.server import (
    HOST_HEADER,
    FaultInjectingHandler,
    error_response,
    make_server,
    now_ms,
)
from marigoldpath_core.registry import Registry, UnknownEntryError
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._hosts import HostList, UnknownHostError
from ._store import ConflictError, Store, StoredRow

ROWS = "/v1/rows/"
OBJECTS = "/v1/objects/"


class PlatformSettings(NamedTuple):
    """Settings of the stand-in; `hosts_lag_ms` delays changes of the host list."""

    ip: str = "127.0.0.1"
    port: int = 0
    hosts_lag_ms: int = 1_000
    workers: list[dict[str, Any]] = []  # noqa: RUF012
    entry_hosts: list[dict[str, Any]] = []  # noqa: RUF012


class PlatformState(NamedTuple):
    """What the routes work on."""

    store: Store
    hosts: HostList
    gate: FaultInjector
    reads: Counter[str]
    writes: Counter[str]


Route = Callable[[PlatformState, HttpRequest, str], HttpResponse]
routes: Registry[tuple[str, str], Route] = Registry("platform route")


class PlatformServer:
    """Serves the table, the objects and the host list on one socket."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._state = PlatformState(
            Store(),
            HostList(settings.workers, settings.entry_hosts, settings.hosts_lag_ms),
            FaultInjector(),
            Counter(),
            Counter(),
        )
        self._changed = curio.Event()
        self._faulty = FaultInjectingHandler(self._state.gate, self._answer, self._wait)
        self._server = make_server(settings.ip, settings.port, self._handle)

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._server.port

    async def run(self) -> None:
        """Serve until cancelled."""
        await self._server.run()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != "/control":
            return await self._faulty(request)
        response = _control(self._state, request)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        return response

    async def _wait(self) -> None:
        await self._changed.wait()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        counter = self._state.reads if request.method == "GET" else self._state.writes
        counter[request.headers.get(HOST_HEADER, "")] += 1
        return answer(self._state, request)


def answer(state: PlatformState, request: HttpRequest) -> HttpResponse:
    """Return the response to a request that no fault touches."""
    prefix, key = _split(request.path)
    try:
        return routes.get((request.method, prefix))(state, request, key)
    except UnknownEntryError as fault:
        return error_response(404, "no_route", str(fault))
    except ConflictError as fault:
        return json_response(
            412, {"code": "conflict", "message": str(fault), "version": fault.current}
        )
    except ValueError as fault:
        return error_response(400, "bad_request", str(fault))


def _split(path: str) -> tuple[str, str]:
    for prefix in (ROWS, OBJECTS):
        if path.startswith(prefix):
            return prefix, path.removeprefix(prefix)
    return path, ""


@routes.register(("GET", ROWS))
def _read_row(state: PlatformState, _request: HttpRequest, key: str) -> HttpResponse:
    row = state.store.read(key)
    if row is None:
        return error_response(404, "no_row", f"no row {key!r}")
    return json_response(200, row._asdict())


@routes.register(("PUT", ROWS))
def _write_row(state: PlatformState, request: HttpRequest, key: str) -> HttpResponse:
    row = state.store.write(key, json.loads(request.body), _expected(request))
    return json_response(200, row._asdict())


@routes.register(("DELETE", ROWS))
def _delete_row(state: PlatformState, request: HttpRequest, key: str) -> HttpResponse:
    expected = _expected(request)
    if expected is None:
        raise ValueError("a delete needs if-match with the row's version")
    state.store.delete(key, expected)
    return json_response(200, {"key": key})


@routes.register(("GET", "/v1/rows"))
def _list_rows(state: PlatformState, request: HttpRequest, _key: str) -> HttpResponse:
    rows: list[StoredRow] = state.store.list(request.query.get("prefix", ""))
    return json_response(200, {"rows": [row._asdict() for row in rows]})


@routes.register(("GET", OBJECTS))
def _read_object(state: PlatformState, _request: HttpRequest, key: str) -> HttpResponse:
    value = state.store.read_object(key)
    if value is None:
        return error_response(404, "no_object", f"no object {key!r}")
    return json_response(200, value)


@routes.register(("PUT", OBJECTS))
def _put_object(state: PlatformState, request: HttpRequest, key: str) -> HttpResponse:
    state.store.put_object(key, json.loads(request.body))
    return json_response(200, {"key": key})


@routes.register(("GET", "/v1/hosts"))
def _hosts(state: PlatformState, request: HttpRequest, _key: str) -> HttpResponse:
    """Return the host list, or 304 to a caller that has it already."""
    response = json_response(200, state.hosts.shown(now_ms()))
    tag = f'"{hashlib.sha256(response.body).hexdigest()[:16]}"'
    if request.headers.get("if-none-match") == tag:
        return HttpResponse(304, b"", {"etag": tag})
    return response._replace(headers={**response.headers, "etag": tag})


def _expected(request: HttpRequest) -> int | None:
    """Return the version that a write expects; None means that there is no row."""
    if request.headers.get("if-none-match") == "*":
        return None
    version = request.headers.get("if-match")
    if version is None:
        raise ValueError("a write needs if-match: VERSION or if-none-match: *")
    return int(version.strip('"'))


def _control(state: PlatformState, request: HttpRequest) -> HttpResponse:
    """Set faults, host states and the list's lag; show the counts."""
    if request.method == "POST":
        payload = json.loads(request.body)
        try:
            if "mode" in payload:
                state.gate.set_fault_plan(parse_plan(payload))
            if "hosts_lag_ms" in payload:
                state.hosts.set_lag(payload["hosts_lag_ms"])
            for name, host_state in payload.get("hosts", {}).items():
                state.hosts.set_state(name, host_state, now_ms())
        except (UnknownEntryError, UnknownHostError, ValueError) as fault:
            return error_response(400, "bad_control", str(fault))
    return json_response(
        200,
        {
            "mode": state.gate.plan.mode,
            "reads": state.reads.total(),
            "writes": state.writes.total(),
            "reads_by_host": dict(state.reads),
            "writes_by_host": dict(state.writes),
        },
    )
