"""The HTTP routes of the fake platform."""

import hashlib
import json
from collections import Counter
from collections.abc import Callable
from typing import Any, NamedTuple

import curio

from marigoldpath_bench.faults import FaultInjector, parse_fault_plan
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

ROWS_PATH = "/v1/rows/"
OBJECTS_PATH = "/v1/objects/"


class PlatformSettings(NamedTuple):
    """Settings of the fake platform; `hosts_lag_ms` delays host list changes."""

    ip: str = "127.0.0.1"
    port: int = 0
    hosts_lag_ms: int = 1_000
    workers: list[dict[str, Any]] = []  # noqa: RUF012
    entry_hosts: list[dict[str, Any]] = []  # noqa: RUF012


class PlatformState(NamedTuple):
    """The state that the routes read and write."""

    store: Store
    hosts: HostList
    gate: FaultInjector
    reads: Counter[str]
    writes: Counter[str]


Route = Callable[[PlatformState, HttpRequest, str], HttpResponse]
routes: Registry[tuple[str, str], Route] = Registry("platform route")


class PlatformServer:
    """Serve the table, the objects and the host list on one socket."""

    def __init__(self, settings: PlatformSettings) -> None:
        self._state = PlatformState(
            Store(),
            HostList(settings.workers, settings.entry_hosts, settings.hosts_lag_ms),
            FaultInjector(),
            Counter(),
            Counter(),
        )
        self._changed = curio.Event()
        self._fault_handler = FaultInjectingHandler(
            self._state.gate, self._respond, self._wait_for_change
        )
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
            return await self._fault_handler(request)
        response = _control(self._state, request)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        return response

    async def _wait_for_change(self) -> None:
        await self._changed.wait()

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        counter = self._state.reads if request.method == "GET" else self._state.writes
        counter[request.headers.get(HOST_HEADER, "")] += 1
        return respond(self._state, request)


def respond(state: PlatformState, request: HttpRequest) -> HttpResponse:
    """Return the response to a request, without faults."""
    prefix, key = _split(request.path)
    try:
        return routes.get((request.method, prefix))(state, request, key)
    except UnknownEntryError as error:
        return error_response(404, "no_route", str(error))
    except ConflictError as error:
        return json_response(
            412, {"code": "conflict", "message": str(error), "version": error.current}
        )
    except ValueError as error:
        return error_response(400, "bad_request", str(error))


def _split(path: str) -> tuple[str, str]:
    for prefix in (ROWS_PATH, OBJECTS_PATH):
        if path.startswith(prefix):
            return prefix, path.removeprefix(prefix)
    return path, ""


@routes.register(("GET", ROWS_PATH))
def _read_row(state: PlatformState, _request: HttpRequest, key: str) -> HttpResponse:
    row = state.store.read(key)
    if row is None:
        return error_response(404, "no_row", f"no row {key!r}")
    return json_response(200, row._asdict())


@routes.register(("PUT", ROWS_PATH))
def _write_row(state: PlatformState, request: HttpRequest, key: str) -> HttpResponse:
    row = state.store.write(key, json.loads(request.body), _expected(request))
    return json_response(200, row._asdict())


@routes.register(("DELETE", ROWS_PATH))
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


@routes.register(("GET", OBJECTS_PATH))
def _read_object(state: PlatformState, _request: HttpRequest, key: str) -> HttpResponse:
    value = state.store.read_object(key)
    if value is None:
        return error_response(404, "no_object", f"no object {key!r}")
    return json_response(200, value)


@routes.register(("PUT", OBJECTS_PATH))
def _put_object(state: PlatformState, request: HttpRequest, key: str) -> HttpResponse:
    state.store.put_object(key, json.loads(request.body))
    return json_response(200, {"key": key})


@routes.register(("GET", "/v1/hosts"))
def _hosts(state: PlatformState, request: HttpRequest, _key: str) -> HttpResponse:
    """Return the host list, or 304 if the caller has the current version."""
    response = json_response(200, state.hosts.visible_hosts(now_ms()))
    tag = f'"{hashlib.sha256(response.body).hexdigest()[:16]}"'
    if request.headers.get("if-none-match") == tag:
        return HttpResponse(304, b"", {"etag": tag})
    return response._replace(headers={**response.headers, "etag": tag})


def _expected(request: HttpRequest) -> int | None:
    """Return the row version that a write expects, or None for a row to create."""
    if request.headers.get("if-none-match") == "*":
        return None
    version = request.headers.get("if-match")
    if version is None:
        raise ValueError("a write needs if-match: VERSION or if-none-match: *")
    return int(version.strip('"'))


def _control(state: PlatformState, request: HttpRequest) -> HttpResponse:
    """Set faults, host states and the lag of the host list; return request counts."""
    if request.method == "POST":
        payload = json.loads(request.body)
        try:
            if "mode" in payload:
                state.gate.set_fault_plan(parse_fault_plan(payload))
            if "hosts_lag_ms" in payload:
                state.hosts.set_lag(payload["hosts_lag_ms"])
            for name, host_state in payload.get("hosts", {}).items():
                state.hosts.set_state(name, host_state, now_ms())
        except (UnknownEntryError, UnknownHostError, ValueError) as error:
            return error_response(400, "bad_control", str(error))
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
