"""Calls between the entry hosts of a cell."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from marigoldpath_core.jobs import AcceptedJob, JobState, TaskKey
from marigoldpath_core.registry import Registry
from marigoldpath_node.http import (
    HttpClient,
    HttpError,
    HttpRequest,
    HttpResponse,
    NotSentError,
    json_response,
)

from ._codec import decode_job, encode_job

PREFIX = "/v1/cell/"
NOT_LEADING = 409


class PeerError(Exception):
    """A peer did not answer as expected."""


class PeerUnreachableError(PeerError):
    """No connection to a peer could be made."""


class NotLeadingError(PeerError):
    """The peer answered that it does not lead."""


class LeaderView(NamedTuple):
    """What a process tells of itself; `epoch` is 0 while it does not lead.

    `token` names the life of the process, `store_age_s` is since the last commit. A
    leader that is cut off from the store and from most workers cannot order.
    """

    epoch: int
    token: str
    store_age_s: float
    pending: dict[str, int]
    can_order: bool = True


class HelpOffer(NamedTuple):
    """A host that the leader may ask for help or hand over to.

    It started `started_s` ago and has a processor of `cores`. A host that does not
    reach the store can ask for advice, but cannot lead.
    """

    address: str
    started_s: float
    cores: float = 1.0
    has_store: bool = True


class PeerClient:
    """Calls other entry hosts; raises PeerError."""

    def __init__(self, client: HttpClient, reply_s: float) -> None:
        self._client = client
        self._reply_s = reply_s

    async def view(self, address: str, offer: HelpOffer) -> LeaderView:
        """Return what the process at `address` tells, and offer it help."""
        data = await self._call(address, "view", offer._asdict())
        try:
            return LeaderView(**data)
        except TypeError as fault:
            raise PeerError(f"bad view of {address}: {fault}") from fault

    async def tell_job(self, address: str, job: AcceptedJob) -> None:
        """Tell the leader of a stored job."""
        await self._call(address, "job", {"job": encode_job(job).decode()})

    async def tell_cancel(self, address: str, job_id: str) -> None:
        """Tell the leader of a stored cancellation."""
        await self._call(address, "cancel", {"job": job_id})

    async def store_job(self, address: str, job: AcceptedJob) -> str:
        """Let a peer store a job and return the name of the outcome."""
        data = {"job": encode_job(job).decode()}
        return (await self._call(address, "store-job", data))["outcome"]

    async def state(self, address: str, job_id: str) -> JobState | None:
        """Return the leader's state of a job, None when it does not know it."""
        data = await self._call(address, "state", {"job": job_id})
        return JobState(data["state"]) if data["state"] else None

    async def pending(self, address: str) -> dict[str, int]:
        """Return the leader's counts of jobs that have not started."""
        return (await self._call(address, "pending", {}))["pending"]

    async def ask_advice(
        self, address: str, step: TaskKey, workers: tuple[str, ...], cost_ms: float
    ) -> dict[str, str] | None:
        """Let a peer ask the advice service."""
        data = {"step": list(step), "workers": list(workers), "cost_ms": cost_ms}
        reply_s = self._reply_s + 3 * cost_ms / 1000
        return (await self._call(address, "advice", data, reply_s))["tickets"]

    async def _call(
        self, address: str, name: str, data: Any, reply_s: float | None = None
    ) -> Any:
        try:
            response = await self._client.request(
                "POST",
                address,
                PREFIX + name,
                value=data,
                reply_s=reply_s or self._reply_s,
            )
            if response.status == NOT_LEADING:
                raise NotLeadingError(f"{address} does not lead")
            if response.status != 200:
                raise PeerError(f"{address} answered {response.status} to {name}")
            return response.json()
        except NotSentError as fault:
            raise PeerUnreachableError(str(fault)) from fault
        except (HttpError, ValueError) as fault:
            raise PeerError(str(fault)) from fault


PeerRoute = Callable[[Any, dict], Awaitable[dict | None]]
peer_routes: Registry[str, PeerRoute] = Registry("peer call")


async def serve_peer(host: Any, request: HttpRequest) -> HttpResponse:
    """Answer a peer; `host` is passed to the route."""
    name = request.path.removeprefix(PREFIX)
    if request.method != "POST" or name not in peer_routes:
        return json_response(404, {"message": f"no peer call {request.path}"})
    try:
        data = HttpResponse(200, request.body).json()
        answer = await peer_routes.get(name)(host, data)
    except (KeyError, TypeError, ValueError) as fault:
        return json_response(400, {"message": f"bad body of {name}: {fault!r}"})
    if answer is None:
        return json_response(NOT_LEADING, {"message": "this host does not lead"})
    return json_response(200, answer)


def job_in(data: dict) -> AcceptedJob:
    """Return the job of a peer's body; raises ValueError or KeyError."""
    return decode_job(data["job"].encode())


__all__ = [
    "HelpOffer",
    "LeaderView",
    "NotLeadingError",
    "PeerClient",
    "PeerError",
    "PeerUnreachableError",
    "job_in",
    "peer_routes",
    "serve_peer",
]
