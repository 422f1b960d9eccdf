"""Client of the workers over HTTP and JSON."""

from collections.abc import Callable
from typing import Any, TypeVar

from marigoldpath_core.messages import (
    RenewLeases,
    StartsReplied,
    StartTasks,
    StopTasks,
    TaskUsage,
    ThrottleTasks,
    WorkerReport,
)
from marigoldpath_core.settings import DaemonSettings

from ..http import HttpClient, HttpError, HttpResponse, NotSentError
from ._client import WORKER_CLIENTS, WorkerClient, WorkerEvents
from ._codec import (
    decode_events,
    decode_report,
    decode_starts,
    decode_usages,
    encode_renewal,
    encode_starts,
)
from ._errors import WorkerReplyError, WorkerUnreachableError

# A renewal is sent every second. A reply that takes longer is superseded by the reply
# to the next renewal.
RENEW_REPLY_S = 1.0
REPLY_S = 2.0
POLL_MARGIN_S = 2.0

Decoded = TypeVar("Decoded")


def create_worker_client(
    settings: DaemonSettings, http: HttpClient, name: str = "http"
) -> WorkerClient:
    """Return the client registered as `name`; raise UnknownEntryError if none is."""
    return WORKER_CLIENTS.get(name)(settings, http)


@WORKER_CLIENTS.register("http")
class HttpWorkerClient:
    """Client of the workers' HTTP API; all methods raise WorkerError."""

    def __init__(self, settings: DaemonSettings, http: HttpClient) -> None:
        self._settings = settings
        self._http = http

    async def start(self, address: str, effect: StartTasks) -> StartsReplied:
        """Start tasks."""
        response = await self._send(
            "POST", address, "/v1/start", encode_starts(effect), REPLY_S
        )
        return _decode(response, lambda value: decode_starts(effect.worker, value))

    async def renew(self, address: str, effect: RenewLeases) -> WorkerReport:
        """Renew leases and list the tasks."""
        response = await self._send(
            "POST", address, "/v1/renew", encode_renewal(effect), RENEW_REPLY_S
        )
        return _decode(response, decode_report)

    async def tasks(self, address: str) -> WorkerReport:
        """List the tasks."""
        response = await self._send("GET", address, "/v1/tasks", None, REPLY_S)
        return _decode(response, decode_report)

    async def stop(self, address: str, effect: StopTasks) -> None:
        """Stop tasks."""
        body = {"tasks": list(effect.tasks), "checkpoint": effect.checkpoint}
        _check(await self._send("POST", address, "/v1/stop", body, REPLY_S))

    async def throttle(self, address: str, effect: ThrottleTasks) -> None:
        """Limit the CPU time of tasks."""
        body = {"tasks": list(effect.tasks), "percent": effect.percent}
        _check(await self._send("POST", address, "/v1/throttle", body, REPLY_S))

    async def events(self, address: str, after: int, wait_ms: int) -> WorkerEvents:
        """Wait up to `wait_ms` for events with numbers above `after`."""
        target = f"/v1/events?after={after}&wait_ms={wait_ms}"
        reply_s = wait_ms / 1_000 + POLL_MARGIN_S
        response = await self._send("GET", address, target, None, reply_s)
        return _decode(response, lambda value: decode_events(value, after))

    async def usage(self, address: str) -> tuple[TaskUsage, ...]:
        """Return the measured resource usage of the tasks."""
        response = await self._send("GET", address, "/v1/usage", None, REPLY_S)
        return _decode(response, decode_usages)

    async def _send(
        self, method: str, address: str, target: str, value: Any, reply_s: float
    ) -> HttpResponse:
        try:
            return await self._http.request(
                method,
                address,
                target,
                value=value,
                headers={"x-host": self._settings.host},
                reply_s=reply_s,
            )
        except NotSentError as error:
            raise WorkerUnreachableError(str(error)) from error
        except HttpError as error:
            raise WorkerReplyError(str(error)) from error


def _check(response: HttpResponse) -> None:
    if not 200 <= response.status < 300:
        raise WorkerReplyError(f"the worker answered {response.status}")


def _decode(response: HttpResponse, decode: Callable[[Any], Decoded]) -> Decoded:
    _check(response)
    try:
        return decode(response.json())
    except (TypeError, KeyError, ValueError, AttributeError) as error:
        raise WorkerReplyError(f"the reply is malformed: {error!r}") from error
