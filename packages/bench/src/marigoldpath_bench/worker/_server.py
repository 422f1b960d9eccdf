"""The HTTP routes of the fake worker, and a process that serves several workers."""

import json
import secrets
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, TextIO

import curio

from marigoldpath_bench.faults import FaultInjector, parse_fault_plan
from marigoldpath_bench.server import (
    FaultInjectingHandler,
    error_response,
    make_server,
    now_ms,
)
from marigoldpath_core.registry import Registry, UnknownEntryError
from marigoldpath_core.requests import Size
from marigoldpath_node.http import HttpRequest, HttpResponse, json_response

from ._messages import RunFaults, encode_event, encode_record, parse_start
from ._state_machine import WorkerStateMachine

MAX_WAIT_MS = 60_000


class WorkerSettings(NamedTuple):
    """One worker; `clock_offset_ms` shifts its clock from the machine's clock."""

    name: str
    port: int
    capacity: Size
    clock_offset_ms: int = 0


class WorkerProcessSettings(NamedTuple):
    """A process of fake workers, and the file that it appends their records to."""

    record: str
    workers: tuple[WorkerSettings, ...]
    ip: str = "127.0.0.1"
    usage_lag_ms: int = 2_000


Route = Callable[["WorkerServer", HttpRequest], Awaitable[HttpResponse]]
routes: Registry[tuple[str, str], Route] = Registry("worker route")


def parse_settings(payload: dict[str, Any]) -> WorkerProcessSettings:
    """Return the settings in a decoded settings file."""
    workers = tuple(
        WorkerSettings(**{**worker, "capacity": Size(**worker["capacity"])})
        for worker in payload["workers"]
    )
    return WorkerProcessSettings(**{**payload, "workers": workers})


async def run_workers(settings: WorkerProcessSettings) -> None:
    """Serve all workers of a process until cancelled."""
    with open(settings.record, "a", buffering=1) as record:
        servers = [
            WorkerServer(worker, settings, record) for worker in settings.workers
        ]
        async with curio.TaskGroup() as tasks:
            for server in servers:
                await tasks.spawn(server.run)


class WorkerServer:
    """Serve one worker on its own port."""

    def __init__(
        self, worker: WorkerSettings, settings: WorkerProcessSettings, record: TextIO
    ) -> None:
        self._offset_ms = worker.clock_offset_ms
        self._record = record
        self._state_machine = WorkerStateMachine(
            worker.name, worker.capacity, "", settings.usage_lag_ms
        )
        self._state_machine.boot(self.clock_ms(), secrets.token_hex(4))
        self._fault_injector = FaultInjector()
        self._run_faults = RunFaults()
        self._changed = curio.Event()
        self._fault_handler = FaultInjectingHandler(
            self._fault_injector, self._respond, self.wait_for_change
        )
        self._server = make_server(settings.ip, worker.port, self._handle)
        self._write_records()

    @property
    def state_machine(self) -> WorkerStateMachine:
        """The state machine of the worker."""
        return self._state_machine

    @property
    def run_faults(self) -> RunFaults:
        """The active faults of the runs."""
        return self._run_faults

    @property
    def port(self) -> int:
        """The port that the worker listens on."""
        return self._server.port

    def clock_ms(self) -> int:
        """Return the time on the worker's clock."""
        return now_ms() + self._offset_ms

    async def run(self) -> None:
        """Serve until cancelled."""
        async with curio.TaskGroup(wait=any) as tasks:
            await tasks.spawn(self._server.run)
            await tasks.spawn(self._run_timer)

    async def wait_for_change(self, timeout_ms: int | None = None) -> None:
        """Wait until the state may have changed, but at most `timeout_ms`."""
        event = self._changed
        if timeout_ms is None:
            await event.wait()
        else:
            await curio.ignore_after(max(0, timeout_ms) / 1_000, event.wait)

    async def advance(self) -> int:
        """Advance the state to the current time, publish a change, return the clock."""
        clock_ms = self.clock_ms()
        if self._state_machine.advance(clock_ms):
            await self.publish_change()
        return clock_ms

    async def publish_change(self) -> None:
        """Write the new records and wake the tasks that wait for a change."""
        self._write_records()
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    def make_reply(self, **fields: Any) -> HttpResponse:
        """Return a reply with the clock and the incarnation."""
        return json_response(
            200,
            {
                "clock_ms": self.clock_ms(),
                "incarnation": self._state_machine.incarnation,
                **fields,
            },
        )

    async def apply_control(self, payload: dict[str, Any]) -> None:
        """Apply a control message; raise UnknownEntryError for an unknown mode."""
        if "mode" in payload:
            self._fault_injector.set_fault_plan(parse_fault_plan(payload))
        names = [name for name in RunFaults._fields if name in payload]
        self._run_faults = self._run_faults._replace(
            **{name: payload[name] for name in names}
        )
        self._state_machine.set_run_faults(self._run_faults)
        if payload.get("restart", False):
            self._state_machine.boot(self.clock_ms(), secrets.token_hex(4))
        await self.publish_change()

    async def _run_timer(self) -> None:
        while True:
            due_ms = (
                None
                if self._fault_injector.is_frozen
                else self._state_machine.next_change_ms
            )
            left_ms = None if due_ms is None else due_ms - self.clock_ms()
            if left_ms is None or left_ms > 0:
                await self.wait_for_change(left_ms)
                continue
            await self.advance()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if request.path != "/control":
            return await self._fault_handler(request)
        try:
            await self.apply_control(json.loads(request.body or b"{}"))
        except (UnknownEntryError, ValueError) as error:
            return error_response(400, "bad_control", str(error))
        return self.make_reply(mode=self._fault_injector.plan.mode)

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return await routes.get((request.method, request.path))(self, request)
        except UnknownEntryError as error:
            return error_response(404, "no_route", str(error))
        except (KeyError, TypeError, ValueError) as error:
            return error_response(400, "bad_request", repr(error))

    def _write_records(self) -> None:
        for record in self._state_machine.take_records():
            line = json.dumps(encode_record(record, self._offset_ms))
            self._record.write(line + "\n")


@routes.register(("POST", "/v1/start"))
async def _start(server: WorkerServer, request: HttpRequest) -> HttpResponse:
    payload = json.loads(request.body)
    items = [parse_start(item) for item in payload["starts"]]
    statuses = server.state_machine.start(server.clock_ms(), payload["holder"], items)
    await server.publish_change()
    return server.make_reply(statuses=statuses)


@routes.register(("POST", "/v1/renew"))
async def _renew(server: WorkerServer, request: HttpRequest) -> HttpResponse:
    payload = json.loads(request.body)
    server.state_machine.renew(
        server.clock_ms(),
        payload["holder"],
        payload["tasks"],
        payload["lease_until_ms"],
    )
    await server.publish_change()
    return await _tasks(server, request)


@routes.register(("POST", "/v1/stop"))
async def _stop(server: WorkerServer, request: HttpRequest) -> HttpResponse:
    server.state_machine.stop(server.clock_ms(), json.loads(request.body)["tasks"])
    await server.publish_change()
    return server.make_reply()


@routes.register(("POST", "/v1/throttle"))
async def _throttle(server: WorkerServer, request: HttpRequest) -> HttpResponse:
    payload = json.loads(request.body)
    server.state_machine.throttle(
        server.clock_ms(), payload["tasks"], payload["percent"]
    )
    await server.publish_change()
    return server.make_reply()


@routes.register(("GET", "/v1/tasks"))
async def _tasks(server: WorkerServer, _request: HttpRequest) -> HttpResponse:
    return server.make_reply(tasks=server.state_machine.tasks(await server.advance()))


@routes.register(("GET", "/v1/usage"))
async def _usage(server: WorkerServer, _request: HttpRequest) -> HttpResponse:
    return server.make_reply(usages=server.state_machine.usage(await server.advance()))


@routes.register(("GET", "/v1/events"))
async def _events(server: WorkerServer, request: HttpRequest) -> HttpResponse:
    """Reply when there are new events, or after `wait_ms`.

    If `after` is higher than the newest event, the worker has restarted; the reply is
    immediate so that the caller receives the new incarnation.
    """
    after = int(request.query.get("after", "0"))
    wait_ms = min(MAX_WAIT_MS, int(request.query.get("wait_ms", "0")))
    until_ms = server.clock_ms() + wait_ms
    incarnation = server.state_machine.incarnation
    while True:
        newest, events = server.state_machine.events(await server.advance(), after)
        left_ms = until_ms - server.clock_ms()
        restarted = server.state_machine.incarnation != incarnation
        if events or restarted or newest < after or left_ms <= 0:
            break
        await server.wait_for_change(left_ms)
    response = server.make_reply(
        next=newest, events=[encode_event(each) for each in events]
    )
    if events and server.run_faults.answer_delay_ms:
        await curio.sleep(server.run_faults.answer_delay_ms / 1_000)
    return response
