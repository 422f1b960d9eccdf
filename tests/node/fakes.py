"""A fake scheduler and fake HTTP servers for the tests of the entry host."""

import json
import os
from collections.abc import Awaitable, Callable
from functools import wraps
from typing import Any

import curio

from marigoldpath_core.configuration import WorkKind
from marigoldpath_core.leadership import LeaderIdentity
from marigoldpath_core.messages import CancelRequested, RequestSubmitted, SendOutcome
from marigoldpath_core.report import DayRecord
from marigoldpath_core.requests import Answer, Outcome, OutcomeKind, RequestKey, Size
from marigoldpath_core.settings import DaemonSettings
from marigoldpath_node.daemon import Daemon
from marigoldpath_node.http import (
    HttpClient,
    HttpClientSettings,
    HttpRequest,
    HttpResponse,
    HttpServer,
    HttpServerSettings,
    json_response,
)
from marigoldpath_node.observability import Telemetry

_CLIENTS: list[HttpClient] = []
ZONES = ("zadar", "rijeka")
KEY = RequestKey("t", "zadar", "r1")
BODY = {
    "id": "r1",
    "team": "t",
    "availability_zone": "zadar",
    "kind": "echo",
    "size": Size(cpu_millis=1)._asdict(),
    "deadline_ms": 2_000,
}


def make_settings(host: str = "e1", zone: str = "zadar", **changes) -> DaemonSettings:
    settings = DaemonSettings(host, "jadran", zone, ZONES, "127.0.0.1:1")
    kinds = (WorkKind("echo"), WorkKind("hold"))
    return settings._replace(kinds=kinds, **changes)


def null_telemetry(settings: DaemonSettings) -> Telemetry:
    return Telemetry(settings, os.open(os.devnull, os.O_WRONLY))


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Run a test in a curio kernel with a time limit of 20 s."""

    async def bounded() -> None:
        try:
            await curio.timeout_after(20, test)
        finally:
            while _CLIENTS:
                await _CLIENTS.pop().close()

    curio.run(bounded)


def kernel_test(test: Callable[[Any], Awaitable[None]]) -> Callable[[Any], None]:
    """Turn a coroutine function into a test method."""

    @wraps(test)
    def run_test(case: Any) -> None:
        run(lambda: test(case))

    return run_test


class FakeScheduler:
    """Completes `echo` requests immediately, queues others, and records all events.

    `replies` holds a function per event type that returns the effects.
    """

    def __init__(self, settings: DaemonSettings, is_leader: bool = True) -> None:
        self.settings = settings
        self.epoch = 1 if is_leader else 0
        self.events: list[Any] = []
        self.replies: dict[type, Callable[[Any], list]] = {
            RequestSubmitted: self.submitted,
            CancelRequested: self.cancelled,
        }
        self.leader: LeaderIdentity | None = None
        if is_leader:
            self.leader = LeaderIdentity(settings.host, settings.address, 1)
        self.states: dict[RequestKey, dict[str, Any]] = {}
        self.workers_to_poll: frozenset[str] = frozenset()
        self.is_drained = False
        self.tick_ms = 50

    def is_serving(self, now_ms: int) -> bool:
        return self.epoch > 0

    def wake_ms(self, now_ms: int) -> int:
        return now_ms + self.tick_ms

    def handle(self, event: Any, now_ms: int) -> list:
        self.events.append(event)
        reply = self.replies.get(type(event))
        return [] if reply is None else reply(event)

    def events_of_type(self, event_type: type) -> list[Any]:
        return [event for event in self.events if type(event) is event_type]

    def status(self, now_ms: int) -> dict[str, Any]:
        return {"waiting": {}}

    def request_state(self, key: RequestKey) -> dict[str, Any] | None:
        return self.states.get(key)

    def day_record(self, now_ms: int) -> DayRecord:
        return DayRecord("2031-05-07", (self.settings.availability_zone,))

    def configure(self, configuration: Any) -> None:
        pass

    def drain(self) -> None:
        self.is_drained = True

    def submitted(self, event: RequestSubmitted) -> list:
        key = event.request.key
        if event.request.kind != "echo":
            self.states[key] = {"state": "waiting", "outcome": None}
            return []
        answer = Answer(f"answer of {key}", len(f"answer of {key}"), "")
        outcome = Outcome(key, OutcomeKind.DONE, answer=answer)
        return [SendOutcome(event.origin, outcome)]

    def cancelled(self, event: CancelRequested) -> list:
        outcome = Outcome(event.key, OutcomeKind.NOT_RUN, "cancelled")
        return [SendOutcome(event.origin, outcome)]


class FakeHttpServer:
    """An HTTP server whose responses a test scripts by (method, path).

    A response is a JSON value, an HttpResponse, a function of the request, or "lost".
    """

    def __init__(self) -> None:
        self.requests: list[HttpRequest] = []
        self.responses: dict[tuple[str, str], Any] = {}
        self._server = HttpServer(HttpServerSettings("127.0.0.1", 0), self._respond)
        self._server.listen()
        self._task: curio.Task | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.port}"

    async def __aenter__(self) -> "FakeHttpServer":
        self._task = await curio.spawn(self._server.run)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        assert self._task is not None
        await self._task.cancel()

    def bodies(self, path: str) -> list[Any]:
        return [json.loads(r.body) for r in self.requests if r.path == path]

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.requests.append(request)
        response = self.responses.get((request.method, request.path))
        if callable(response):
            response = response(request)
            if hasattr(response, "__await__"):
                response = await response
        if response is None:
            return json_response(404, {})
        if response == "lost":
            raise ConnectionAbortedError("the reply is lost")
        return (
            response
            if isinstance(response, HttpResponse)
            else json_response(200, response)
        )


def make_client(reply_s: float = 1.0) -> HttpClient:
    client = HttpClient(HttpClientSettings(connect_s=0.5, reply_s=reply_s))
    _CLIENTS.append(client)
    return client


class EntryHostUnderTest:
    """A complete daemon with a fake scheduler."""

    def __init__(
        self, platform: FakeHttpServer, is_leader: bool = True, **settings: Any
    ) -> None:
        made = make_settings(platform_address=platform.address, **settings)
        self._leads = is_leader
        self.daemon = Daemon(made, self._create_core, null_telemetry(made))
        self.daemon.bind()
        self.client = make_client(reply_s=10)
        self.scheduler: FakeScheduler
        self._task: curio.Task | None = None

    @property
    def address(self) -> str:
        return self.daemon.settings.address

    def leader_row(self, **changes: Any) -> dict[str, Any]:
        """Return the reply to a read of a leader row that names this host."""
        value = {"epoch": 1, "host": self.daemon.settings.host, "address": self.address}
        return {"value": {**value, "released": False, **changes}, "version": 1}

    async def call(
        self, method: str, target: str, value: Any = None, key: str = ""
    ) -> tuple[int, Any]:
        headers = {"authorization": f"Bearer {key}"} if key else {}
        response = await self.client.request(
            method, self.address, target, value=value, headers=headers
        )
        return response.status, response.json()

    async def submit(self, **changes: Any) -> tuple[int, Any]:
        return await self.submit_with(changes)

    async def submit_with(self, changes: dict[str, Any]) -> tuple[int, Any]:
        return await self.call("POST", "/v1/requests", {**BODY, **changes})

    async def __aenter__(self) -> "EntryHostUnderTest":
        self._task = await curio.spawn(self.daemon.run)
        await curio.sleep(0.02)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        assert self._task is not None
        await self._task.cancel()

    def _create_core(
        self, settings: DaemonSettings, _incarnation: str
    ) -> FakeScheduler:
        self.scheduler = FakeScheduler(settings, self._leads)
        return self.scheduler
